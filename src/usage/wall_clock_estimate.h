// True time on a machine whose time of day may jump for a while.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::usage {

struct WallClockOptions {
  Duration period{std::chrono::seconds(1)};  ///< Between two samples.
  /// Samples that vote. A jump that lasts less than half of them, or half of the time since the
  /// start, is not followed.
  std::size_t samples = 31;
};

/// The monotonic clock plus the median of how far the wall clock was ahead of it lately: a jump
/// that is taken back soon, or a clock that is set right, never makes the estimate go back and
/// forth with it. One loop.
class WallClockEstimate {
 public:
  WallClockEstimate(const Clock& clock, TimerService& timers, WallClockOptions options = {});

  WallTime now() const;

 private:
  void sample();

  const Clock& clock_;
  WallClockOptions options_;
  Timer timer_;
  std::deque<Duration> wall_offsets_;  ///< Of the monotonic clock, oldest first.
  Duration median_offset_{};
};

}  // namespace ochrespring::usage
