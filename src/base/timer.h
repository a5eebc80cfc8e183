// Timer interfaces: one service per event loop, and a one-shot timer that owns its registration.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace ochrespring {

/// Identifies one scheduled callback within its TimerService.
using TimerId = std::uint64_t;

/// Runs callbacks later on the same event loop. Not thread-safe: must be called on that loop.
class TimerService {
 public:
  virtual ~TimerService() = default;
  /// Runs `callback` once, not earlier than `delay` from now.
  virtual TimerId schedule_after(Duration delay, std::function<void()> callback) = 0;
  /// Cancels a callback; has no effect if it has already run.
  virtual void cancel(TimerId timer) = 0;
};

/// One-shot timer that cancels itself on destruction.
///
///     Timer retry(timers);
///     retry.arm(100ms, [this] { try_again(); });
class Timer {
 public:
  explicit Timer(TimerService& service) : service_(service) {}
  ~Timer() { disarm(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Schedules `callback` and cancels any earlier one.
  void arm(Duration delay, std::function<void()> callback) {
    disarm();
    timer_ = service_.schedule_after(delay, [this, run = std::move(callback)] {
      timer_.reset();
      run();
    });
  }

  /// Cancels the scheduled callback, if any.
  void disarm() {
    if (timer_) {
      service_.cancel(*timer_);
      timer_.reset();
    }
  }

  /// Whether a callback is scheduled.
  bool armed() const { return timer_.has_value(); }

 private:
  TimerService& service_;
  std::optional<TimerId> timer_;
};

}  // namespace ochrespring
