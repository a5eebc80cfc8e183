#include "digest/outbox.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace ochrespring::digest {

namespace {

constexpr double kBurstSeconds = 1.0;
constexpr std::size_t kCachesKept = 64;

std::size_t load_bytes(const LoadRecord& record) {
  return kRecordBytes + record.engines.size();
}

}  // namespace

void Outbox::reset(std::size_t dimensions) {
  queues_.assign(dimensions, Queue{});
}

void Outbox::add_load(std::uint32_t server, const std::vector<Hop>& hops) {
  for (const Hop& hop : hops) {
    queues_[hop.dimension].loads[server] = hop.range;
  }
}

void Outbox::add_aggregate(const ZoneKey& zone, const std::vector<Hop>& hops) {
  for (const Hop& hop : hops) {
    queues_[hop.dimension].aggregates[zone] = hop.range;
  }
}

void Outbox::add_cache(const CacheRecord& record, const std::vector<Hop>& hops) {
  for (const Hop& hop : hops) {
    auto& caches = queues_[hop.dimension].caches;
    if (caches.size() < kCachesKept) {
      caches.emplace_back(hop.range, record);
    }
  }
}

std::vector<RangeGroup> Outbox::take(std::size_t dimension, const LoadTable& loads,
                                     const ZoneAggregates& aggregates, MonotonicTime now) {
  refill(now);
  Groups groups;
  Queue& queue = queues_[dimension];
  take_aggregates(queue, aggregates, now, groups);
  take_loads(queue, loads, now, groups);
  take_caches(queue, groups);
  std::vector<RangeGroup> taken;
  taken.reserve(groups.size());
  for (auto& [range, group] : groups) {
    group.range = static_cast<std::uint32_t>(range);
    taken.push_back(std::move(group));
  }
  return taken;
}

void Outbox::refill(MonotonicTime now) {
  const auto rate = static_cast<double>(bytes_per_second_);
  allowance_ += rate * to_seconds(now - refilled_);
  allowance_ = std::min(allowance_, rate * kBurstSeconds);
  refilled_ = now;
}

void Outbox::take_aggregates(Queue& queue, const ZoneAggregates& aggregates, MonotonicTime now,
                             Groups& groups) {
  while (!queue.aggregates.empty() && allowance_ > 0) {
    const auto [zone, range] = *queue.aggregates.begin();
    queue.aggregates.erase(queue.aggregates.begin());
    auto aggregate = aggregates.find(zone, now);
    if (aggregate) {
      allowance_ -= static_cast<double>(wire::encode(*aggregate).size());
      groups[range].aggregates.push_back(std::move(*aggregate));
    }
  }
}

void Outbox::take_loads(Queue& queue, const LoadTable& loads, MonotonicTime now, Groups& groups) {
  std::vector<std::pair<std::size_t, LoadRecord>> records;
  std::size_t total = 0;
  for (const auto& [server, range] : queue.loads) {
    auto record = loads.record(server, now);
    if (record) {
      total += load_bytes(*record);
      records.emplace_back(range, std::move(*record));
    }
  }
  const bool tight = static_cast<double>(total) > allowance_;
  for (auto& [range, record] : records) {
    if (tight && record.level == DetailLevel::kFull) {
      ++statistics_.records_coarsened;
      record = *loads.coarse_record(record.server, now);
    }
    if (allowance_ <= 0) {
      ++statistics_.records_deferred;
      continue;
    }
    allowance_ -= static_cast<double>(load_bytes(record));
    ++statistics_.records_sent;
    queue.loads.erase(record.server);
    groups[range].loads.push_back(std::move(record));
  }
}

void Outbox::take_caches(Queue& queue, Groups& groups) {
  for (auto& [range, record] : queue.caches) {
    if (allowance_ > 0) {
      allowance_ -= static_cast<double>(wire::encode(record).size());
      groups[range].caches.push_back(std::move(record));
    }
  }
  queue.caches.clear();
}

}  // namespace ochrespring::digest
