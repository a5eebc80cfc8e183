// The rate at which this node's requests of one service complete while others wait. No side
// effects; must be used from one event loop.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <optional>

#include "base/time.h"

namespace ochrespring::admission_queue {

/// Counts completions only while requests wait: at other times they show the demand, not the
/// capacity. All counts decay over time, so that an old overload does not affect decisions.
class CompletionRate {
 public:
  void set_waiting(bool waiting, MonotonicTime now) {
    fade(now);
    waiting_ = waiting;
  }
  void note_completion(MonotonicTime now) {
    fade(now);
    completions_ += waiting_ ? 1 : 0;
  }
  /// Returns none if the observed time is too short. Never returns zero, since one additional
  /// completion is assumed.
  std::optional<double> per_second(MonotonicTime now) const {
    CompletionRate current = *this;
    current.fade(now);
    if (current.busy_seconds_ < to_seconds(kMinObserved)) {
      return std::nullopt;
    }
    return (current.completions_ + 1) / current.busy_seconds_;
  }

 private:
  static constexpr Duration kHalfLife = std::chrono::seconds(2);
  static constexpr Duration kMinObserved = std::chrono::milliseconds(250);

  /// A clock that stops or goes backwards adds nothing.
  void fade(MonotonicTime now) {
    const Duration since = std::max(Duration::zero(), now - at_);
    const double half_lives = to_seconds(since) / to_seconds(kHalfLife);
    const double left = std::exp2(-half_lives);
    completions_ *= left;
    busy_seconds_ *= left;
    if (waiting_) {
      busy_seconds_ += to_seconds(kHalfLife) * (1 - left) / std::log(2.0);
    }
    at_ = std::max(at_, now);
  }

  double completions_ = 0;
  double busy_seconds_ = 0;
  bool waiting_ = false;
  MonotonicTime at_{};
};

}  // namespace ochrespring::admission_queue
