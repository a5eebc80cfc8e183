// Records waiting for their slots, one queue a distance, and the byte budget they are sent under.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"
#include "digest/broadcast_tree.h"
#include "digest/load_table.h"
#include "digest/messages.h"
#include "digest/zone_aggregates.h"

namespace ochrespring::digest {

/// Counters of the budget.
struct BudgetStatistics {
  std::uint64_t records_sent = 0;
  std::uint64_t records_coarsened = 0;  ///< By this node, to stay within the budget.
  std::uint64_t records_deferred = 0;   ///< Left for the next cycle, which replaces most of them.
};

/// Holds names of records, not records: what is sent is the newest known at that time.
class Outbox {
 public:
  explicit Outbox(std::size_t bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// Forgets everything; the ring has changed.
  void reset(std::size_t dimensions);
  void add_load(std::uint32_t server, const std::vector<Hop>& hops);
  void add_aggregate(const ZoneKey& zone, const std::vector<Hop>& hops);
  void add_cache(const CacheRecord& record, const std::vector<Hop>& hops);

  /// What goes to the neighbour of a dimension now, within the budget.
  std::vector<RangeGroup> take(std::size_t dimension, const LoadTable& loads,
                               const ZoneAggregates& aggregates, MonotonicTime now);

  const BudgetStatistics& statistics() const { return statistics_; }

 private:
  struct Queue {
    std::map<std::uint32_t, std::size_t> loads;  ///< Server to range.
    std::map<ZoneKey, std::size_t> aggregates;   ///< Zone to range.
    std::vector<std::pair<std::size_t, CacheRecord>> caches;
  };
  using Groups = std::map<std::size_t, RangeGroup>;

  void refill(MonotonicTime now);
  void take_loads(Queue& queue, const LoadTable& loads, MonotonicTime now, Groups& groups);
  void take_aggregates(Queue& queue, const ZoneAggregates& aggregates, MonotonicTime now,
                       Groups& groups);
  void take_caches(Queue& queue, Groups& groups);

  std::size_t bytes_per_second_;
  std::vector<Queue> queues_;
  double allowance_ = 0;  ///< Bytes that may be sent now.
  MonotonicTime refilled_;
  BudgetStatistics statistics_;
};

}  // namespace ochrespring::digest
