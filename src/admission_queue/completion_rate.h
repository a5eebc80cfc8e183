// The rate at which this node's requests of one service complete while others wait. Performs
// no I/O and uses no timers; must be used from one event loop.
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
    decay(now);
    waiting_ = waiting;
  }
  void note_completion(MonotonicTime now) {
    decay(now);
    completions_ += waiting_ ? 1 : 0;
  }
  /// Returns none if the observed time is too short. Never returns zero, since one additional
  /// completion is assumed.
  std::optional<double> per_second(MonotonicTime now) const {
    CompletionRate current = *this;
    current.decay(now);
    if (current.waiting_seconds_ < to_seconds(kMinObserved)) {
      return std::nullopt;
    }
    return (current.completions_ + 1) / current.waiting_seconds_;
  }

 private:
  static constexpr Duration kHalfLife = std::chrono::seconds(2);
  static constexpr Duration kMinObserved = std::chrono::milliseconds(250);

  /// A clock that stops or goes backwards adds nothing.
  void decay(MonotonicTime now) {
    const Duration since = std::max(Duration::zero(), now - updated_at_);
    const double half_lives = to_seconds(since) / to_seconds(kHalfLife);
    const double decay_factor = std::exp2(-half_lives);
    completions_ *= decay_factor;
    waiting_seconds_ *= decay_factor;
    if (waiting_) {
      waiting_seconds_ += to_seconds(kHalfLife) * (1 - decay_factor) / std::log(2.0);
    }
    updated_at_ = std::max(updated_at_, now);
  }

  double completions_ = 0;
  double waiting_seconds_ = 0;
  bool waiting_ = false;
  MonotonicTime updated_at_{};
};

}  // namespace ochrespring::admission_queue
