// Estimate of the wall-clock time that ignores temporary clock jumps.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::usage {

struct WallClockOptions {
  Duration period{std::chrono::seconds(1)};  ///< Interval between samples.
  /// Number of samples in the median. A jump that lasts for less than half of them, or for less
  /// than half of the time since the start, is ignored.
  std::size_t samples = 31;
};

/// The monotonic clock plus the median of the recent offsets of the wall clock from it. A temporary
/// jump of the wall clock does not affect the estimate; a lasting adjustment is followed once,
/// without going back and forth. Runs on one loop.
class WallClockEstimate {
 public:
  WallClockEstimate(const Clock& clock, TimerService& timers, WallClockOptions options = {});

  WallTime now() const;

 private:
  void sample();

  const Clock& clock_;
  WallClockOptions options_;
  Timer timer_;
  std::deque<Duration> wall_offsets_;  ///< Wall clock minus monotonic clock, oldest sample first.
  Duration median_offset_{};
};

}  // namespace ochrespring::usage
