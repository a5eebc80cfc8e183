// Random number sources, injected so that every run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace ochrespring {

/// Source of random numbers. Not thread-safe: each event loop has its own.
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
  /// Uniform duration in [0, span), to spread events that would otherwise coincide.
  Duration part_of(Duration span);
  /// `span` scaled by a uniform factor in [1 - fraction, 1 + fraction].
  Duration jitter(Duration span, double fraction);
};

/// Mersenne Twister with a fixed seed.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// Seed for production use, from getentropy() rather than a CPU instruction, so that runs are
/// reproducible where the operating system is simulated. Falls back to std::random_device.
std::uint64_t entropy_seed();

}  // namespace ochrespring
