// Random numbers, injected so that every run can be repeated from its seed.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace ochrespring {

/// Source of random numbers. Not thread-safe: one per event loop.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  /// Next 64 uniformly distributed bits.
  virtual std::uint64_t next() = 0;

  /// Uniform integer in [0, bound); `bound` must be positive.
  std::uint64_t below(std::uint64_t bound);
  /// Uniform real in [0, 1).
  double unit();
  /// Exponentially distributed real with the given mean.
  double exponential(double mean);
  /// True with the given probability.
  bool chance(double probability);
  /// A uniform part of `span`: those that wait so long come apart.
  Duration part_of(Duration span);
  /// `span` scaled by a uniform factor in [1 - fraction, 1 + fraction].
  Duration jitter(Duration span, double fraction);
};

/// Mersenne Twister under a fixed seed.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// Seed drawn from the operating system, for production use. Asked of the system, not of the
/// processor: where the system is simulated, one play is the same twice.
std::uint64_t entropy_seed();

}  // namespace ochrespring
