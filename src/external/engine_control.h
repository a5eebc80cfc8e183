// Control calls to engines: status, fenced orders, load, cache events, KV transfer.
#pragma once

#include <cstdint>
#include <vector>

#include "engine/types.h"
#include "external/errc.h"

namespace ochrespring::external {

/// Cache events after a sequence number.
struct CacheEventBatch {
  Incarnation incarnation;
  std::vector<engine::CacheEvent> events;
};

/// Asynchronous client of engines' control interface; one per event loop.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// The engine's own account of itself.
  virtual void status(const Endpoint& engine, ExternalCallback<engine::EngineStatus> done) = 0;
  /// Hands over a fenced order; succeeds when the engine has accepted it, not when it is done.
  virtual void order(const Endpoint& engine, const engine::EngineOrder& order,
                     ExternalCallback<engine::EngineStatus> done) = 0;
  /// Load reports of all engines at this endpoint's server.
  virtual void load(const Endpoint& engine,
                    ExternalCallback<std::vector<engine::LoadReport>> done) = 0;
  /// Cache events with sequence above `after`.
  virtual void cache_events(const Endpoint& engine, std::uint64_t after,
                            ExternalCallback<CacheEventBatch> done) = 0;
};

}  // namespace ochrespring::external
