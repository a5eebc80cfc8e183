// Planning of roles and models. Pure: a snapshot in, the next actions out; no I/O, no clock of its
// own.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine/types.h"
#include "fleet/types.h"

namespace ochrespring::planner {

/// Demand for one model as proxies saw it over the last interval, whether served or not.
struct DemandSample {
  ModelName model;
  MonotonicTime taken;
  double requests_per_second = 0;
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;
  double queued_requests = 0;
};

/// One engine as the controller knows it.
struct PlannerEngine {
  EngineId id;
  ServiceName service;
  ZoneName zone;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  bool role_pinned = false;
  ModelName model;
  VersionName version;
  std::vector<AdapterName> adapters;
  engine::EnginePhase phase = engine::EnginePhase::kServing;
  bool draining = false;
  bool reachable = true;
  MonotonicTime last_changed;
  engine::LoadReport load;
  MonotonicTime load_taken;
};

struct PlannerInput {
  MonotonicTime now;
  fleet::Policy policy;
  std::vector<fleet::Service> services;
  std::vector<fleet::Model> models;
  std::vector<DemandSample> demand;  ///< Newest last; several per model.
  std::vector<PlannerEngine> engines;
};

/// One change the planner asks for, with the reason it would give an operator.
struct PlannedAction {
  EngineId engine;
  engine::OrderAction action = engine::OrderAction::kChangeRole;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  AdapterName adapter;
  std::uint32_t prefill_chunk_tokens = 0;
  double expected_gain = 0;  ///< Requests within limits per second gained.
  double expected_cost = 0;  ///< Requests within limits lost by the change.
  std::string reason;
};

/// Decides changes. Keeps only forecasts and cool-downs; deterministic. One per service shard.
class Planner {
 public:
  virtual ~Planner() = default;
  /// Actions to start now, most valuable first; empty in a steady state.
  virtual std::vector<PlannedAction> plan(const PlannerInput& input) = 0;
};

}  // namespace ochrespring::planner
