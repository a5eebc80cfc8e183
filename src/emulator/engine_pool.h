// The emulated engines: models, their wake-ups, what they publish late, and what of it is lost.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/random.h"
#include "emulator/deployment.h"
#include "emulator/event_queue.h"
#include "engine_model/engine_model.h"
#include "router/fleet_view.h"

namespace ochrespring::emulator {

/// What the control plane has decided about an engine since a time.
struct ControlRecord {
  MonotonicTime at;
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  bool draining = false;
};

/// Cache events of one engine read at a time.
struct CacheBatch {
  MonotonicTime at;
  Incarnation incarnation;
  std::vector<engine::CacheEvent> events;
};

struct EmulatedEngine {
  EmulatedEngine(EngineId id, fleet::EngineRole role,
                 const engine_model::EngineParameters& parameters)
      : model(std::move(id), role, parameters) {}

  engine_model::EngineModel model;
  std::uint32_t zone = 0;
  bool silent = false;  ///< Its zone is down: nothing reaches it and nothing comes back.
  std::optional<MonotonicTime> silent_since;
  std::uint64_t wake_generation = 0;
  std::optional<MonotonicTime> wake_at;
  std::deque<std::pair<MonotonicTime, engine::LoadReport>> reports;
  std::deque<CacheBatch> cache_batches;
  std::uint64_t first_batch = 0;  ///< Number of the batch at the front of `cache_batches`.
  std::uint64_t cache_read = 0;   ///< Sequence of the last event published.
  std::deque<ControlRecord> control;
  MonotonicTime last_changed{};
};

/// All engines of the model service.
class EnginePool {
 public:
  EnginePool(const Deployment& deployment, const std::vector<fleet::EngineRole>& roles,
             std::uint32_t chunk_tokens, std::uint64_t seed);

  std::size_t size() const { return engines_.size(); }
  EmulatedEngine& at(std::uint32_t engine) { return engines_[engine]; }
  const EmulatedEngine& at(std::uint32_t engine) const { return engines_[engine]; }
  std::vector<EmulatedEngine>& all() { return engines_; }

  /// Schedules the wake-up the engine's model asks for.
  void schedule_wake(std::uint32_t engine, EventQueue& events);
  /// Publishes load and cache events as they are now; they are seen after their lag.
  void publish(MonotonicTime now);
  /// Records a decision of the control plane; proxies see it after control_lag.
  void record_control(std::uint32_t engine, fleet::EngineRole role, bool draining,
                      MonotonicTime now);
  /// Engine as proxies see it at `now`.
  router::EngineView view(std::uint32_t engine, MonotonicTime now) const;
  /// Batches published before `now` less the lag, from number `next` on; `next` is advanced.
  std::vector<const CacheBatch*> visible_batches(std::uint32_t engine, std::uint64_t& next,
                                                 MonotonicTime now) const;

 private:
  void publish_cache(EmulatedEngine& engine, MonotonicTime now);

  const Deployment& deployment_;
  SeededRandom random_;
  std::vector<EmulatedEngine> engines_;
};

}  // namespace ochrespring::emulator
