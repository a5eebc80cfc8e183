#include "standin/model/token_bucket.h"

#include <algorithm>

namespace ochrespring::standin {

TokenBucket::TokenBucket(const Clock& clock, double per_second, double burst)
    : clock_(clock),
      per_second_(per_second),
      burst_(burst),
      level_(burst),
      refilled_(clock.now()) {}

bool TokenBucket::take(double amount) {
  if (per_second_ <= 0) {
    return true;
  }
  refill();
  if (level_ < amount) {
    return false;
  }
  level_ -= amount;
  return true;
}

Duration TokenBucket::reserve(double amount) {
  if (per_second_ <= 0) {
    return Duration::zero();
  }
  refill();
  level_ -= amount;
  return time_to_gain(-level_);
}

Duration TokenBucket::wait_for(double amount) {
  if (per_second_ <= 0) {
    return Duration::zero();
  }
  refill();
  return time_to_gain(amount - level_);
}

void TokenBucket::set_rate(double per_second, double burst) {
  refill();
  per_second_ = per_second;
  burst_ = burst;
  level_ = std::min(level_, burst_);
}

void TokenBucket::refill() {
  const MonotonicTime now = clock_.now();
  level_ = std::min(burst_, level_ + per_second_ * to_seconds(now - refilled_));
  refilled_ = now;
}

Duration TokenBucket::time_to_gain(double amount) const {
  return amount <= 0 ? Duration::zero() : from_seconds(amount / per_second_);
}

}  // namespace ochrespring::standin
