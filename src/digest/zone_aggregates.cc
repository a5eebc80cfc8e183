#include "digest/zone_aggregates.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "digest/demand_collector.h"
#include "digest/quantize.h"

namespace ochrespring::digest {

namespace {

constexpr std::int64_t kLargestAgeMilliseconds = UINT16_MAX;

struct Sums {
  double engines = 0;
  double queued_requests = 0;
  double queued_prefill_tokens = 0;
  double running_sequences = 0;
  double context_tokens = 0;
  double kv_used = 0;
  double kv_capacity = 0;
  double prefill_rate = 0;
  double decode_rate = 0;
};

void add(Sums& sums, const engine::LoadReport& report) {
  sums.engines += 1;
  sums.queued_requests += report.queued_requests;
  sums.queued_prefill_tokens += report.queued_prefill_tokens;
  sums.running_sequences += report.running_sequences;
  sums.context_tokens += static_cast<double>(report.context_tokens);
  sums.kv_used += static_cast<double>(report.kv_tokens_used);
  sums.kv_capacity += static_cast<double>(report.kv_tokens_capacity);
  sums.prefill_rate += report.prefill_tokens_per_second;
  sums.decode_rate += report.decode_tokens_per_second;
}

KindLoad means(std::uint32_t kind, const Sums& sums) {
  KindLoad load;
  load.kind = kind;
  load.engines = static_cast<std::uint16_t>(sums.engines);
  load.queued_requests = quantize(sums.queued_requests / sums.engines, kRequestScale);
  load.queued_prefill_tokens = quantize(sums.queued_prefill_tokens / sums.engines, kTokenScale);
  load.running_sequences = quantize(sums.running_sequences / sums.engines, kRequestScale);
  load.context_tokens = quantize(sums.context_tokens / sums.engines, kTokenScale);
  load.kv_used = quantize(sums.kv_used / sums.engines, kFleetScale);
  load.kv_capacity = quantize(sums.kv_capacity / sums.engines, kFleetScale);
  load.prefill_rate = quantize(sums.prefill_rate / sums.engines, kRateScale);
  load.decode_rate = quantize(sums.decode_rate / sums.engines, kRateScale);
  return load;
}

template <class Number>
Number whole(std::uint8_t code, LogScale scale) {
  return static_cast<Number>(std::llround(restore(code, scale)));
}

engine::LoadReport to_report(const EngineId& engine, const KindLoad& load) {
  engine::LoadReport report;
  report.engine = engine;
  report.queued_requests = whole<std::uint32_t>(load.queued_requests, kRequestScale);
  report.queued_prefill_tokens = whole<std::uint32_t>(load.queued_prefill_tokens, kTokenScale);
  report.running_sequences = whole<std::uint32_t>(load.running_sequences, kRequestScale);
  report.context_tokens = whole<std::uint64_t>(load.context_tokens, kTokenScale);
  report.kv_tokens_used = whole<std::uint64_t>(load.kv_used, kFleetScale);
  report.kv_tokens_capacity = whole<std::uint64_t>(load.kv_capacity, kFleetScale);
  report.prefill_tokens_per_second = static_cast<float>(restore(load.prefill_rate, kRateScale));
  report.decode_tokens_per_second = static_cast<float>(restore(load.decode_rate, kRateScale));
  return report;
}

}  // namespace

std::uint32_t kind_hash(const fleet::Engine& engine) {
  const std::uint64_t names =
      combine_hashes(stable_hash(engine.service.value()), stable_hash(engine.model.value()));
  return static_cast<std::uint32_t>(combine_hashes(names, static_cast<std::uint64_t>(engine.role)));
}

std::vector<KindLoad> kind_loads(const std::vector<fleet::Engine>& engines, const ZoneKey& zone,
                                 const LoadTable& table, MonotonicTime now, Duration expiry) {
  std::map<std::uint32_t, Sums> kinds;
  for (const fleet::Engine& engine : engines) {
    if (engine.zone != zone.second || engine.region != zone.first) {
      continue;
    }
    const auto reading = table.find(engine.id);
    if (reading && now - reading->taken <= expiry) {
      add(kinds[kind_hash(engine)], reading->report);
    }
  }
  std::vector<KindLoad> loads;
  loads.reserve(kinds.size());
  for (const auto& [kind, sums] : kinds) {
    loads.push_back(means(kind, sums));
  }
  return loads;
}

bool ZoneAggregates::apply(const ZoneAggregate& aggregate, MonotonicTime now) {
  const ZoneKey key{aggregate.region, aggregate.zone};
  const MonotonicTime taken = now - std::chrono::milliseconds(aggregate.age_milliseconds);
  const auto found = zones_.find(key);
  if (found != zones_.end() && taken <= found->second.taken) {
    return false;
  }
  zones_[key] = {aggregate, taken};
  return true;
}

std::optional<ZoneAggregate> ZoneAggregates::find(const ZoneKey& zone, MonotonicTime now) const {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return std::nullopt;
  }
  ZoneAggregate aggregate = found->second.aggregate;
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second.taken).count();
  aggregate.age_milliseconds =
      static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, kLargestAgeMilliseconds));
  return aggregate;
}

std::optional<LoadReading> ZoneAggregates::load(const fleet::Engine& engine, MonotonicTime now,
                                                Duration expiry) const {
  const auto zone = zones_.find({engine.region, engine.zone});
  if (zone == zones_.end() || now - zone->second.taken > expiry) {
    return std::nullopt;
  }
  const std::uint32_t kind = kind_hash(engine);
  const auto& loads = zone->second.aggregate.loads;
  const auto found = std::find_if(loads.begin(), loads.end(),
                                  [&](const KindLoad& load) { return load.kind == kind; });
  if (found == loads.end()) {
    return std::nullopt;
  }
  return LoadReading{to_report(engine.id, *found), zone->second.taken, true};
}

std::vector<ModelDemand> ZoneAggregates::demand(const std::optional<RegionName>& region,
                                                MonotonicTime now, Duration expiry) const {
  std::vector<const std::vector<ModelDemand>*> parts;
  for (const auto& [key, entry] : zones_) {
    const bool wanted = !region || key.first == *region;
    if (wanted && now - entry.taken <= expiry) {
      parts.push_back(&entry.aggregate.demand);
    }
  }
  return sum_demand(parts);
}

}  // namespace ochrespring::digest
