// Rate limit as the platform's services apply it.
#pragma once

#include "base/time.h"

namespace ochrespring::standin {

/// Fills at a steady rate up to a burst; each call takes from it. Single-threaded.
class TokenBucket {
 public:
  /// `per_second` units flow in each second, at most `burst` are kept. A rate of zero means no
  /// limit.
  TokenBucket(const Clock& clock, double per_second, double burst);

  /// Takes `amount` if it is there; otherwise takes nothing and returns false.
  bool take(double amount);
  /// Takes `amount` even if the bucket goes into debt; returns the time until the debt is paid.
  Duration reserve(double amount);
  /// Time until take(amount) can succeed, if nobody else takes.
  Duration wait_for(double amount);
  /// Replaces the rate and the burst.
  void set_rate(double per_second, double burst);

 private:
  void refill();
  Duration time_to_gain(double amount) const;

  const Clock& clock_;
  double per_second_;
  double burst_;
  double level_;
  MonotonicTime refilled_;
};

}  // namespace ochrespring::standin
