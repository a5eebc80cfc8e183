// Requests that wait until the configuration is known to be current.
#pragma once

#include <functional>
#include <vector>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::discovery {

/// Whoever waits is told when it is known, or, after as long as anybody is to wait, that it is not.
/// One loop.
class RefreshWaiters {
 public:
  using Done = std::function<void(bool current)>;

  /// `on_patience_over` is called before those who have waited for `patience` are told.
  RefreshWaiters(const Clock& clock, TimerService& timers, Duration patience,
                 std::function<void()> on_patience_over)
      : clock_(clock),
        patience_(patience),
        on_patience_over_(std::move(on_patience_over)),
        timer_(timers) {}

  bool empty() const { return waiting_.empty(); }
  void add(Done done);
  void answer(bool current);

 private:
  void limit();

  const Clock& clock_;
  Duration patience_;
  std::function<void()> on_patience_over_;
  Timer timer_;
  std::vector<Done> waiting_;
};

}  // namespace ochrespring::discovery
