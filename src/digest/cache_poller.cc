#include "digest/cache_poller.h"

#include <algorithm>
#include <utility>

namespace ochrespring::digest {

namespace {

constexpr double kLeastUsefulShare = 40;  // Bytes a second; below it nothing is read.
constexpr double kBurstSeconds = 4;
constexpr std::size_t kEventBytes = 6;
constexpr std::size_t kBlockBytes = 10;

double bytes_of(const engine::CacheEvent& event) {
  return static_cast<double>(kEventBytes + kBlockBytes * event.blocks.size());
}

}  // namespace

void CachePoller::set_servers(const std::vector<ServerLayout>& servers, std::size_t group_nodes) {
  bytes_per_second_ = static_cast<double>(settings_.cache_bytes_per_second) /
                      static_cast<double>(std::max<std::size_t>(group_nodes, 1));
  if (polled_.empty()) {
    allowance_ = bytes_per_second_ * kBurstSeconds;
  }
  std::map<EngineId, std::shared_ptr<Engine>> kept = std::move(polled_);
  polled_.clear();
  if (bytes_per_second_ < kLeastUsefulShare) {
    return;
  }
  for (const ServerLayout& server : servers) {
    for (std::size_t i = 0; i < server.engines.size(); ++i) {
      const auto known = kept.find(server.engines[i]);
      auto engine = known == kept.end() ? std::make_shared<Engine>() : known->second;
      engine->id = server.engines[i];
      engine->endpoint = server.endpoints[i];
      polled_[engine->id] = std::move(engine);
    }
  }
}

void CachePoller::poll(MonotonicTime now) {
  allowance_ += bytes_per_second_ * to_seconds(now - refilled_);
  allowance_ = std::min(allowance_, bytes_per_second_ * kBurstSeconds);
  refilled_ = now;
  for (const auto& [id, engine] : polled_) {
    if (engine->outstanding || now < engine->next) {
      continue;
    }
    engine->outstanding = true;
    engine->next = now + settings_.cache_poll_interval;
    engines_.cache_events(
        engine->endpoint, engine->after,
        [this, engine = engine, guard = std::weak_ptr<bool>(alive_)](auto result) {
          if (guard.expired()) {
            return;
          }
          engine->outstanding = false;
          if (result.has_value()) {
            on_events(*engine, result.value());
          }
        });
  }
}

void CachePoller::on_events(Engine& engine, const external::CacheEventBatch& batch) {
  if (batch.incarnation != engine.incarnation) {
    engine.incarnation = batch.incarnation;
    engine.after = 0;
  }
  CacheRecord record{engine.id, batch.incarnation, {}};
  for (const engine::CacheEvent& event : batch.events) {
    engine.after = std::max(engine.after, event.sequence);
    // A cleared cache must be known; others may be lost like any event.
    const bool fits = allowance_ >= bytes_of(event);
    if (fits || event.change == engine::CacheChange::kCleared) {
      allowance_ -= bytes_of(event);
      record.events.push_back(event);
    } else {
      ++events_dropped_;
    }
  }
  if (!record.events.empty()) {
    sink_(record);
  }
}

}  // namespace ochrespring::digest
