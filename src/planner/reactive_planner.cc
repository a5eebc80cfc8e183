#include "planner/reactive_planner.h"

#include <algorithm>

namespace ochrespring::planner {
namespace {

/// Load of the engines of one role, as reported.
struct Side {
  int engines = 0;
  double load = 0;
  const PlannerEngine* idlest = nullptr;
  double idlest_load = 0;

  double mean() const { return engines == 0 ? 0 : load / engines; }
};

void add(Side& side, const PlannerEngine& engine, double load) {
  ++side.engines;
  side.load += load;
  if (side.idlest == nullptr || load < side.idlest_load) {
    side.idlest = &engine;
    side.idlest_load = load;
  }
}

PlannedAction change(const PlannerEngine& engine, fleet::EngineRole role, std::string reason) {
  PlannedAction action;
  action.engine = engine.id;
  action.role = role;
  action.reason = std::move(reason);
  return action;
}

}  // namespace

std::vector<PlannedAction> ReactivePlanner::plan(const PlannerInput& input) {
  Side prefill;
  Side decode;
  for (const PlannerEngine& engine : input.engines) {
    if (engine.phase != engine::EnginePhase::kServing || engine.draining || !engine.reachable) {
      return {};  // One change at a time.
    }
    if (input.now - engine.last_changed < parameters_.cooldown) {
      return {};
    }
    if (engine.role == fleet::EngineRole::kPrefill) {
      add(prefill, engine, engine.load.queued_prefill_tokens);
    } else if (engine.role == fleet::EngineRole::kDecode) {
      add(decode, engine, engine.load.running_sequences + engine.load.queued_requests);
    }
  }
  const bool prefill_short = prefill.mean() > parameters_.prefill_queue_tokens;
  const bool decode_short = decode.mean() > parameters_.decode_running;
  if (prefill_short && !decode_short && decode.engines > 1) {
    return {change(*decode.idlest, fleet::EngineRole::kPrefill, "prefill queue above threshold")};
  }
  if (decode_short && !prefill_short && prefill.engines > 1) {
    return {change(*prefill.idlest, fleet::EngineRole::kDecode, "decode load above threshold")};
  }
  return {};
}

}  // namespace ochrespring::planner
