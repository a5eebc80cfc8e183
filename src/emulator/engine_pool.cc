#include "emulator/engine_pool.h"

#include <algorithm>

#include "base/hash.h"

namespace ochrespring::emulator {
namespace {

/// Reports, control records and cache batches older than this no longer matter to anybody.
constexpr Duration kKeptHistory = std::chrono::seconds(20);

}  // namespace

EnginePool::EnginePool(const Deployment& deployment, const std::vector<fleet::EngineRole>& roles,
                       std::uint32_t chunk_tokens, std::uint64_t seed)
    : deployment_(deployment), random_(combine_hashes(seed, stable_hash("cache-events"))) {
  engine_model::EngineParameters parameters = deployment.engine;
  parameters.prefill_chunk_tokens = chunk_tokens;
  for (std::size_t i = 0; i < roles.size(); ++i) {
    engines_.emplace_back(EngineId("engine-" + std::to_string(i)), roles[i], parameters);
    engines_.back().zone = static_cast<std::uint32_t>(i % deployment.zones.size());
    engines_.back().control.push_back({MonotonicTime{}, roles[i], false});
  }
}

void EnginePool::schedule_wake(std::uint32_t engine, EventQueue& events) {
  EmulatedEngine& entry = engines_[engine];
  const auto next = entry.model.next_event_time();
  if (!next || (entry.wake_at && *entry.wake_at == *next)) {
    return;
  }
  ++entry.wake_generation;
  entry.wake_at = next;
  Event wake;
  wake.at = *next;
  wake.kind = EventKind::kEngineWake;
  wake.target = engine;
  wake.subject = entry.wake_generation;
  events.push(wake);
}

void EnginePool::publish(MonotonicTime now) {
  for (EmulatedEngine& engine : engines_) {
    if (engine.silent) {
      continue;
    }
    if (engine.model.phase() != engine::EnginePhase::kStarting) {
      engine.reports.emplace_back(now, engine.model.load_report(now));
    }
    publish_cache(engine, now);
    while (engine.reports.size() > 1 && engine.reports[1].first < now - kKeptHistory) {
      engine.reports.pop_front();
    }
    while (engine.control.size() > 1 && engine.control[1].at < now - kKeptHistory) {
      engine.control.pop_front();
    }
    while (!engine.cache_batches.empty() && engine.cache_batches.front().at < now - kKeptHistory) {
      engine.cache_batches.pop_front();
      ++engine.first_batch;
    }
  }
}

void EnginePool::publish_cache(EmulatedEngine& engine, MonotonicTime now) {
  CacheBatch batch;
  batch.at = now;
  batch.incarnation = engine.model.incarnation();
  for (engine::CacheEvent& event : engine.model.cache_events(engine.cache_read)) {
    engine.cache_read = event.sequence;
    if (!random_.chance(deployment_.cache_event_loss)) {
      batch.events.push_back(std::move(event));
    }
  }
  if (!batch.events.empty()) {
    engine.cache_batches.push_back(std::move(batch));
  }
}

void EnginePool::record_control(std::uint32_t engine, fleet::EngineRole role, bool draining,
                                MonotonicTime now) {
  engines_[engine].control.push_back({now, role, draining});
}

router::EngineView EnginePool::view(std::uint32_t engine, MonotonicTime now) const {
  const EmulatedEngine& entry = engines_[engine];
  router::EngineView view;
  view.id = entry.model.id();
  view.service = deployment_.model_service.name;
  view.model = deployment_.model.name;
  view.zone = deployment_.zones[entry.zone];
  view.dispatchable_until = now + std::chrono::seconds(2);
  for (const ControlRecord& record : entry.control) {
    if (record.at + deployment_.control_lag <= now) {
      view.role = record.role;
      view.draining = record.draining;
    }
  }
  if (entry.silent && entry.silent_since &&
      *entry.silent_since + deployment_.failure_detection <= now) {
    view.phase = engine::EnginePhase::kStarting;
  }
  for (auto report = entry.reports.rbegin(); report != entry.reports.rend(); ++report) {
    if (report->first + deployment_.report_lag <= now) {
      view.load = report->second;
      view.load_taken = report->first;
      break;
    }
  }
  return view;
}

std::vector<const CacheBatch*> EnginePool::visible_batches(std::uint32_t engine,
                                                           std::uint64_t& next,
                                                           MonotonicTime now) const {
  const EmulatedEngine& entry = engines_[engine];
  std::vector<const CacheBatch*> visible;
  next = std::max(next, entry.first_batch);
  while (next - entry.first_batch < entry.cache_batches.size()) {
    const CacheBatch& batch = entry.cache_batches[next - entry.first_batch];
    if (batch.at + deployment_.cache_event_lag > now) {
      break;
    }
    visible.push_back(&batch);
    ++next;
  }
  return visible;
}

}  // namespace ochrespring::emulator
