// Virtual time: a clock and timers that advance only when the simulation says so.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::simulation {

/// Event queue under virtual time. Events at the same instant run in the order they were scheduled,
/// so that one seed gives one history. Single-threaded.
class VirtualTime final : public Clock, public TimerService {
 public:
  MonotonicTime now() const override { return now_; }
  WallTime wall_now() const override { return WallTime(now_.time_since_epoch()); }
  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;

  /// Runs the next event, if any; returns whether one ran.
  bool step();
  /// Runs every event up to and including `end`, then sets the clock to `end`.
  void run_until(MonotonicTime end);
  /// Number of events waiting.
  std::size_t pending() const { return events_.size(); }

 private:
  using Position = std::pair<MonotonicTime, TimerId>;

  MonotonicTime now_{};
  TimerId next_timer_ = 1;
  std::map<Position, std::function<void()>> events_;
  std::unordered_map<TimerId, MonotonicTime> due_;
};

}  // namespace ochrespring::simulation
