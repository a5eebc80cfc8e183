// The planned stop of a gateway node.
#pragma once

#include <cstddef>
#include <functional>

#include "base/timer.h"

namespace ochrespring::gateway_node {

/// Times of the steps of a planned stop.
struct StopTimes {
  /// Delay from the stop signal until the gateway starts to refuse requests that may not complete
  /// within the grace period or would wait for a newer configuration. Callers expect that a request
  /// sent later than 3 s after the signal is answered; the 500 ms before that cover requests in
  /// transit. At most a third of the grace period, so it is shorter for a grace below 7.5 s.
  Duration refuse_long_after{std::chrono::milliseconds(2500)};
  /// Delay from the stop signal until the node stops accepting connections: the time for which
  /// callers may still use an old answer of the directory that contains this node. At most half of
  /// the grace period.
  Duration directory_staleness{std::chrono::milliseconds(3500)};
  /// Interval of the checks for idleness. Two checks in a row must find the node idle before it
  /// finishes.
  Duration idle_period{std::chrono::milliseconds(50)};
  /// From the stop signal until remaining requests are ended by force; the process finishes
  /// `idle_period` later.
  Duration grace{std::chrono::milliseconds(7500)};

  /// Returns the times for a grace period. The first two steps come sooner if it is short.
  static StopTimes within(Duration grace);
};

/// Ends the process once callers have had time to notice the stop and no request is in progress, or
/// by force when the grace period is over. Requests that arrive meanwhile are served. The number of
/// requests in progress is polled: a sequence that relied on a notification of each request's end
/// would cut off requests whose end is not notified. Not thread-safe; used on one event loop.
class StopSequence {
 public:
  struct Actions {
    std::function<void()> leave;  ///< Leave the directory and announce the close of connections.
    std::function<void()> stop_accepting;  ///< Accept no new connections.
    std::function<void()> finish;          ///< End the process.
    std::function<std::size_t()> running;  ///< Number of requests in progress.
    /// Start to refuse requests that may outlast the grace period; may be empty.
    std::function<void()> refuse_long_requests{};
    /// Give each request in progress its final answer; may be empty.
    std::function<void()> end_requests{};
  };

  StopSequence(TimerService& timers, Actions actions);

  /// Handles the stop signal; a second signal has no effect.
  void begin(const StopTimes& times);
  /// Called when the last request may have ended. Checks for idleness immediately and requires two
  /// idle checks from then on. Has no effect before `directory_staleness` has passed or after the
  /// forced end has begun.
  void on_idle();
  bool begun() const { return begun_; }

 private:
  void finish_if_idle();
  void force_finish();

  Actions actions_;
  StopTimes times_;
  Timer refuse_timer_;
  Timer step_timer_;
  Timer force_timer_;
  bool begun_ = false;
  bool stale_answers_expired_ = false;  ///< `directory_staleness` has passed.
  bool was_idle_ = false;               ///< At the last check.
};

}  // namespace ochrespring::gateway_node
