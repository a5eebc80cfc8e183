// A fault that lasts until some time; faults of one kind that overlap become one.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace ochrespring::simulation {

class FaultWindow {
 public:
  /// Lasts at least until `until`, true time.
  void extend(MonotonicTime until) { until_ = std::max(until_, until); }
  /// Ends now.
  void end() { until_ = MonotonicTime{}; }
  bool active(MonotonicTime now) const { return now < until_; }
  /// Time until it ends.
  Duration left(MonotonicTime now) const { return std::max(until_ - now, Duration::zero()); }

 private:
  MonotonicTime until_;
};

}  // namespace ochrespring::simulation
