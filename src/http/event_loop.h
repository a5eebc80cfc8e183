// An h2o event loop with timers and tasks from other threads.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"
#include "base/timer.h"

struct st_h2o_evloop_t;

namespace ochrespring::http {

/// Event loop owned by one thread. Timers use a clock that counts the time while the machine is
/// suspended; those that expired during a suspension run up to 250 ms after it, after pending
/// socket input. All functions except post() and stop() must be called on that thread.
class EventLoop final : public TimerService {
 public:
  /// `clock` determines when timers are due; it must outlive the loop.
  explicit EventLoop(const Clock& clock = system_clock());
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until stop().
  void run();
  /// Makes run() return soon. Thread-safe.
  void stop();
  /// Runs `task` on the loop, in posting order. Thread-safe.
  void post(std::function<void()> task);

  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;

  /// How long input that is read now may have waited because the loop did not run, for instance
  /// while the machine was suspended or the process was stopped. Usually zero.
  Duration stall_duration() const;

  /// The underlying h2o loop, for the HTTP and peer layers.
  st_h2o_evloop_t* native();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
