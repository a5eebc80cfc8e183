// One simulated process: its drifting clock, its timers, and its life. Everything a process does
// runs through here, so that it can be paused, woken and killed at any instant.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "base/time.h"
#include "base/timer.h"
#include "simulation/virtual_time.h"

namespace ochrespring::simulation {

/// How a process's monotonic clock relates to the simulation's time.
struct ClockDrift {
  double rate = 1.0;  ///< Local seconds per true second.
  Duration offset{};  ///< Local time at true time zero; arbitrary, as on real machines.
};

/// Clock and timer service of one process. Timers and messages that fall due while the process is
/// paused are held back and run when it wakes; after kill() nothing runs any more. Held by
/// shared_ptr so that messages under way can outlive it harmlessly.
class ProcessRuntime final : public Clock,
                             public TimerService,
                             public std::enable_shared_from_this<ProcessRuntime> {
 public:
  ProcessRuntime(VirtualTime& world, ClockDrift drift) : world_(world), drift_(drift) {}
  ~ProcessRuntime() override { kill(); }
  ProcessRuntime(const ProcessRuntime&) = delete;
  ProcessRuntime& operator=(const ProcessRuntime&) = delete;

  MonotonicTime now() const override;
  WallTime wall_now() const override { return world_.wall_now(); }
  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;

  /// Runs `work` on the process's loop: soon if it runs, on waking if it is paused, never if it
  /// has been killed.
  void post(std::function<void()> work);

  /// Stops the process as SIGSTOP does; its clock goes on.
  void pause() { paused_ = true; }
  /// Runs what was held back, in the order in which it fell due.
  void wake();
  /// Ends the process; forgets all timers and messages.
  void kill();

  bool paused() const { return paused_; }
  bool alive() const { return alive_; }

 private:
  struct Entry {
    TimerId world_timer = 0;
    std::function<void()> callback;
  };

  void start(TimerId timer, Duration true_delay);
  void on_due(TimerId timer);

  VirtualTime& world_;
  ClockDrift drift_;
  bool paused_ = false;
  bool alive_ = true;
  TimerId next_timer_ = 1;
  std::unordered_map<TimerId, Entry> entries_;
  std::deque<TimerId> held_;  ///< Fell due while paused.
};

}  // namespace ochrespring::simulation
