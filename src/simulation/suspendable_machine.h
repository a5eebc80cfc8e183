// A machine that may be suspended, under virtual time: nothing runs there meanwhile, and one of its
// clocks stands still.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"
#include "base/timer.h"
#include "simulation/virtual_time.h"

namespace ochrespring::simulation {

/// The timers of one process on the machine, and the two clocks it could read. Timers are due by
/// the clock that counts suspensions, as those of http::EventLoop; a loop that sleeps when the
/// machine wakes goes on sleeping for a moment.
///
///     SuspendableMachine machine(time);
///     DutyLease lease({machine.clock(), machine, ...});
///     machine.suspend(5s);
class SuspendableMachine final : public TimerService {
 public:
  explicit SuspendableMachine(VirtualTime& time) : time_(time), still_(*this) {}

  /// Counts the time of suspensions: what the project's own clock does.
  const Clock& clock() const { return time_; }
  /// Does not: what a steady clock does on a machine that was suspended.
  const Clock& still_clock() const { return still_; }

  /// From now on; a longer suspension under way goes on.
  void suspend(Duration span) {
    const MonotonicTime end = time_.now() + span;
    if (!suspended()) {
      suspended_at_ = time_.now();
    }
    if (end > wakes_at_) {
      stood_still_ += end - std::max(wakes_at_, time_.now());
      wakes_at_ = end;
    }
  }
  bool suspended() const { return time_.now() < wakes_at_; }
  /// What comes now may have waited so long; see http::EventLoop::stall_duration().
  Duration held_up() const {
    return time_.now() == wakes_at_ ? wakes_at_ - suspended_at_ : Duration::zero();
  }
  /// Runs `callback` now, or once the machine has woken.
  void when_awake(std::function<void()> callback) {
    if (suspended()) {
      time_.schedule_after(wakes_at_ - time_.now(),
                           [this, callback = std::move(callback)] { when_awake(callback); });
    } else {
      callback();
    }
  }

  TimerId schedule_after(Duration delay, std::function<void()> callback) override {
    const TimerId id = ++last_;
    waiting_[id] = std::move(callback);
    time_.schedule_after(delay, [this, id] { run(id); });
    return id;
  }
  void cancel(TimerId timer) override { waiting_.erase(timer); }

 private:
  /// Of a sleep that the suspension interrupted.
  static constexpr Duration kRestOfSleep{std::chrono::milliseconds(200)};

  class StillClock final : public Clock {
   public:
    explicit StillClock(const SuspendableMachine& machine) : machine_(machine) {}
    MonotonicTime now() const override {
      const MonotonicTime now = machine_.time_.now();
      const Duration to_come = std::max(machine_.wakes_at_ - now, Duration::zero());
      return now - (machine_.stood_still_ - to_come);
    }
    WallTime wall_now() const override { return machine_.time_.wall_now(); }

   private:
    const SuspendableMachine& machine_;
  };

  void run(TimerId id) {
    if (suspended()) {
      time_.schedule_after(wakes_at_ + kRestOfSleep - time_.now(), [this, id] { run(id); });
      return;
    }
    auto waiting = waiting_.extract(id);
    if (!waiting.empty()) {
      waiting.mapped()();
    }
  }

  VirtualTime& time_;
  StillClock still_;
  TimerId last_ = 0;
  std::map<TimerId, std::function<void()>> waiting_;
  MonotonicTime suspended_at_{};
  MonotonicTime wakes_at_{};
  Duration stood_still_{};  ///< Of all suspensions, the one under way counted whole.
};

}  // namespace ochrespring::simulation
