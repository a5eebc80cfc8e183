// Messages between the nodes' digest components.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "digest/load_record.h"
#include "engine/types.h"

namespace ochrespring::digest {

/// Demand for one model, summed over some nodes.
struct ModelDemand {
  std::uint32_t model = 0;  ///< Hash of the model's name.
  std::uint64_t deci_requests_per_second = 0;
  std::uint64_t prefill_tokens_per_second = 0;
  std::uint64_t decode_tokens_per_second = 0;
  std::uint64_t queued_requests = 0;

  bool operator==(const ModelDemand&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& model& deci_requests_per_second& prefill_tokens_per_second& decode_tokens_per_second&
        queued_requests;
  }
};

/// Demand of a node and of those below it, sent to its parent.
struct DemandReport {
  std::vector<ModelDemand> models;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& models;
  }
};

/// Mean load of the engines of one kind in a zone, as codes.
struct KindLoad {
  std::uint32_t kind = 0;  ///< kind_hash() of service, model and role.
  std::uint16_t engines = 0;
  std::uint8_t queued_requests = 0;
  std::uint8_t queued_prefill_tokens = 0;
  std::uint8_t running_sequences = 0;
  std::uint8_t context_tokens = 0;
  std::uint8_t kv_used = 0;
  std::uint8_t kv_capacity = 0;
  std::uint8_t prefill_rate = 0;
  std::uint8_t decode_rate = 0;

  bool operator==(const KindLoad&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& kind& engines& queued_requests& queued_prefill_tokens& running_sequences&
        context_tokens& kv_used& kv_capacity& prefill_rate& decode_rate;
  }
};

/// What other zones know of a zone (or all of a small fleet, then without names).
struct ZoneAggregate {
  RegionName region;
  ZoneName zone;
  std::uint16_t age_milliseconds = 0;
  std::vector<ModelDemand> demand;
  std::vector<KindLoad> loads;

  bool operator==(const ZoneAggregate&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& region& zone& age_milliseconds& demand& loads;
  }
};

/// Cache events of one engine, as its poller read them.
struct CacheRecord {
  EngineId engine;
  Incarnation incarnation;
  std::vector<engine::CacheEvent> events;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& incarnation& events;
  }
};

/// Records whose receiver has to serve the same number of members.
struct RangeGroup {
  std::uint32_t range = 0;
  std::vector<LoadRecord> loads;
  std::vector<ZoneAggregate> aggregates;
  std::vector<CacheRecord> caches;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& range& loads& aggregates& caches;
  }
};

/// What one node passes to another in one slot.
struct Batch {
  std::uint16_t phase_milliseconds = 0;  ///< Of the sender in its cycle.
  std::vector<RangeGroup> groups;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& phase_milliseconds& groups;
  }
};

/// Aggregate of the sender's zone for another zone.
struct ZoneLink {
  ZoneAggregate aggregate;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& aggregate;
  }
};

/// The machine list says that a machine is leaving, or is not any more. Flooded once.
struct LeavingNotice {
  std::string machine;
  bool leaving = true;
  std::uint32_t age_milliseconds = 0;  ///< Since the list was read.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& machine& leaving& age_milliseconds;
  }
};

using Message = std::variant<Batch, DemandReport, ZoneLink, LeavingNotice>;

}  // namespace ochrespring::digest
