// One h2o event loop: timers, and messages from other threads.
#pragma once

#include <functional>
#include <memory>

#include "base/time.h"
#include "base/timer.h"

struct st_h2o_evloop_t;

namespace ochrespring::http {

/// Event loop owned by one thread. Timers are due by a clock that counts suspensions of the
/// machine; those that came due in one run up to 250 ms after it, behind what has come to sockets.
/// Everything but post() and stop() is called on that thread.
class EventLoop final : public TimerService {
 public:
  /// `clock` decides when timers are due and outlives the loop.
  explicit EventLoop(const Clock& clock = system_clock());
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until stop().
  void run();
  /// Makes run() return soon. Thread-safe.
  void stop();
  /// Runs `task` on the loop, in the order posted. Thread-safe.
  void post(std::function<void()> task);

  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;

  /// How long what comes to a socket now may have waited there because nothing ran: the machine was
  /// suspended, or the process paused. Zero as a rule.
  Duration stall_duration() const;

  /// The underlying h2o loop, for the HTTP and peer layers.
  st_h2o_evloop_t* native();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
