#include "base/random.h"

#include <unistd.h>

#include <cmath>

namespace ochrespring {

namespace {
constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
constexpr int kBitsDropped = 11;
__extension__ using Uint128 = unsigned __int128;
}  // namespace

std::uint64_t RandomSource::below(std::uint64_t bound) {
  const auto product = static_cast<Uint128>(next()) * bound;
  return static_cast<std::uint64_t>(product >> 64U);
}

double RandomSource::unit() {
  return static_cast<double>(next() >> kBitsDropped) * kTwoToMinus53;
}

double RandomSource::exponential(double mean) {
  return -mean * std::log1p(-unit());
}

bool RandomSource::chance(double probability) {
  return unit() < probability;
}

Duration RandomSource::part_of(Duration span) {
  return from_seconds(to_seconds(span) * unit());
}

Duration RandomSource::jitter(Duration span, double fraction) {
  const double factor = 1.0 + fraction * (2.0 * unit() - 1.0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

std::uint64_t entropy_seed() {
  std::uint64_t seed = 0;
  if (::getentropy(&seed, sizeof(seed)) == 0) {
    return seed;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace ochrespring
