// Requests that wait until the configuration is known to be current.
#pragma once

#include <functional>
#include <vector>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::discovery {

/// Calls each waiter back once the result is known, or with false after the timeout. Used on one
/// event loop.
class ConfigurationWaiters {
 public:
  using Done = std::function<void(bool current)>;

  /// `on_timeout` is called before the waiters that have timed out.
  ConfigurationWaiters(const Clock& clock, TimerService& timers, Duration timeout,
                       std::function<void()> on_timeout)
      : clock_(clock), timeout_(timeout), on_timeout_(std::move(on_timeout)), timer_(timers) {}

  bool empty() const { return callbacks_.empty(); }
  void add(Done done);
  void complete(bool current);

 private:
  void arm_timer();

  const Clock& clock_;
  Duration timeout_;
  std::function<void()> on_timeout_;
  Timer timer_;
  std::vector<Done> callbacks_;
};

}  // namespace ochrespring::discovery
