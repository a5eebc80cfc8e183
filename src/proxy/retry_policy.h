// When a failed attempt may be followed by another. Pure.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"

namespace ochrespring::proxy {

/// Bounds retries to a fraction of the requests, so that a failing zone does not multiply the load
/// on the others: each request deposits the fraction, each retry takes one.
class RetryBudget {
 public:
  /// `fraction` of requests may be retries, once `kReserve` have been saved up.
  explicit RetryBudget(double fraction) : fraction_(fraction) {}

  void set_fraction(double fraction) { fraction_ = fraction; }
  /// A request arrived.
  void deposit();
  /// Takes the price of one retry; false if there is none left.
  bool withdraw();

 private:
  /// Retries a quiet proxy may make at once.
  static constexpr double kReserve = 10;

  double fraction_;
  double balance_ = kReserve;
};

/// Exponential growth with full jitter.
struct BackoffSettings {
  Duration first{std::chrono::milliseconds(10)};
  Duration longest{std::chrono::seconds(1)};
};

/// Wait before retry number `retry`, from 0: uniform in [0, min(longest, first * 2^retry)).
Duration backoff_delay(const BackoffSettings& settings, std::uint32_t retry, RandomSource& random);

}  // namespace ochrespring::proxy
