// Paces that one engine has reported, and what its samples are to be divided by.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// A pace is believed for the length of a typical slowdown after its report. The usual pace tells
/// an engine that is always slow from one that has been slowed down for a moment. Pure.
class PaceHistory {
 public:
  void add(double pace, MonotonicTime now);
  /// Pace during work that has just ended; none: it was not as usual, and when that began or ended
  /// is not known, so that a sample divided by it might be far too small.
  std::optional<double> pace_during_sample(MonotonicTime now) const;

 private:
  /// Reports closer together than this may be of the same slowdown.
  static constexpr Duration kMinSpacing = std::chrono::seconds(1);
  static constexpr Duration kPaceLifetime = std::chrono::milliseconds(600);
  static constexpr std::uint8_t kMaxSpacedReports = 4;
  /// With fewer spaced reports the usual pace is 1. With slowdowns in 15% of the time, three
  /// reports are all of slowdowns once in 300 times.
  static constexpr std::uint8_t kMinSpacedReports = 3;
  static constexpr double kTolerance = 1.25;

  double baseline() const;

  std::array<float, kMaxSpacedReports> spaced_{};
  std::uint8_t size_ = 0;
  std::uint8_t next_ = 0;
  float last_ = 1;
  MonotonicTime last_at_{};
  MonotonicTime spaced_at_{};
};

}  // namespace ochrespring::engine_profiles
