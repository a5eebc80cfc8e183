// The planned stop of a node, step by step: refuse new requests, finish or hand over what there is,
// hand over leases and claims, leave. Free of I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::node {

/// What the sequence makes happen; each `done` is called once, on the control loop.
struct StopActions {
  /// Refuses new requests as not run; `done` when the last request of all proxies has ended.
  std::function<void(std::function<void()> done)> drain_proxies;
  /// Announces the leave, hands over leases and claims.
  std::function<void(std::function<void()> done)> leave;
  /// Everything is over, or the hand-over took too long: end the process.
  std::function<void(bool handed_over)> finish;
};

/// Runs once, on the control loop. Requests in flight are never cut: draining has no limit of its
/// own, since each request has its deadline. Only the hand-over after it is bounded, because its
/// receivers may be gone.
class StopSequence {
 public:
  StopSequence(TimerService& timers, StopActions actions,
               Duration hand_over_limit = std::chrono::seconds(10));

  /// Begins; further calls change nothing.
  void begin();
  bool begun() const { return begun_; }

 private:
  void on_drained();
  void on_left();
  void finish(bool handed_over);

  StopActions actions_;
  Duration hand_over_limit_;
  Timer limit_;
  bool begun_ = false;
  bool drained_ = false;
  bool left_ = false;
  bool finished_ = false;
};

}  // namespace ochrespring::node
