// The emulated ordinary back ends: a fixed service time, a few requests at once, a queue.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "emulator/deployment.h"
#include "emulator/event_queue.h"
#include "emulator/request_state.h"

namespace ochrespring::emulator {

/// One attempt at a back end.
struct OrdinaryAttempt {
  RequestIndex request = 0;
  std::uint32_t attempt = 0;
};

struct OrdinaryBackend {
  EngineId id;
  std::uint32_t zone = 0;
  bool silent = false;
  MonotonicTime out_until{};  ///< Crashed until then; refuses connections.
  std::deque<OrdinaryAttempt> queue;
  std::vector<OrdinaryAttempt> running;
};

/// All back ends of the ordinary service.
class OrdinaryPool {
 public:
  explicit OrdinaryPool(const Deployment& deployment);

  std::size_t size() const { return backends_.size(); }
  OrdinaryBackend& at(std::uint32_t index) { return backends_[index]; }
  /// Takes an attempt; false when the back end refuses, which is a truthful "not run".
  bool accept(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now, EventQueue& events);
  /// An attempt is done; false if it was lost meanwhile.
  bool complete(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now,
                EventQueue& events);
  /// Loses everything; returns what was running or queued.
  std::vector<OrdinaryAttempt> crash(std::uint32_t index, MonotonicTime until);
  /// Back end as proxies see it.
  router::EngineView view(std::uint32_t index, MonotonicTime now) const;

 private:
  void start(std::uint32_t index, OrdinaryAttempt attempt, MonotonicTime now, EventQueue& events);

  const Deployment& deployment_;
  std::vector<OrdinaryBackend> backends_;
};

}  // namespace ochrespring::emulator
