// Aggregates of zones: built from the own zone's loads, kept for the others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/time.h"
#include "digest/load_table.h"
#include "digest/messages.h"
#include "fleet/types.h"

namespace ochrespring::digest {

/// Hash that names a kind of engine: what engines of one kind do is interchangeable.
std::uint32_t kind_hash(const fleet::Engine& engine);

/// Mean load of each kind among engines of `zone` whose load is known and not older than `expiry`.
std::vector<KindLoad> kind_loads(const std::vector<fleet::Engine>& engines, const ZoneKey& zone,
                                 const LoadTable& table, MonotonicTime now, Duration expiry);

/// Used on the control loop only.
class ZoneAggregates {
 public:
  /// Takes an aggregate if it is newer; returns whether it was.
  bool apply(const ZoneAggregate& aggregate, MonotonicTime now);
  /// The aggregate with its age as of `now`.
  std::optional<ZoneAggregate> find(const ZoneKey& zone, MonotonicTime now) const;
  /// Load of an engine taken from its zone's aggregate; none if unknown or older than `expiry`.
  std::optional<LoadReading> load(const fleet::Engine& engine, MonotonicTime now,
                                  Duration expiry) const;
  /// Demand of all zones, or of one region, not older than `expiry`.
  std::vector<ModelDemand> demand(const std::optional<RegionName>& region, MonotonicTime now,
                                  Duration expiry) const;
  std::size_t size() const { return zones_.size(); }

 private:
  struct Entry {
    ZoneAggregate aggregate;
    MonotonicTime taken;
  };
  std::map<ZoneKey, Entry> zones_;
};

}  // namespace ochrespring::digest
