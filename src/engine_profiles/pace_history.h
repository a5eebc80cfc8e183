// Paces that one engine has reported, by which its samples are normalized.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// Determines the pace by which a measured sample is divided. A pace is the ratio of the time that
/// work takes now to the time it usually takes; 2 means half the speed. A reported pace is assumed
/// to hold for the length of a typical slowdown. The baseline is the minimum of several reports; it
/// distinguishes an engine that is always slow from one that is temporarily slowed down. Performs
/// no I/O and uses no timers.
class PaceHistory {
 public:
  void add(double pace, MonotonicTime now);
  /// Returns the pace during work that has just ended. Returns none if a recently reported pace
  /// differs from the baseline: the start or end of that slowdown is unknown, and a sample divided
  /// by that pace might be far too small.
  std::optional<double> pace_during_sample(MonotonicTime now) const;

 private:
  /// Reports closer together than this may belong to the same slowdown.
  static constexpr Duration kMinBaselineInterval = std::chrono::seconds(1);
  static constexpr Duration kPaceLifetime = std::chrono::milliseconds(600);
  static constexpr std::uint8_t kMaxBaselineReports = 4;
  /// With fewer reports the baseline is 1. With slowdowns in 15% of the time, all of three
  /// reports fall into slowdowns once in 300 times.
  static constexpr std::uint8_t kMinBaselineReports = 3;
  static constexpr double kTolerance = 1.25;

  double baseline() const;

  std::array<float, kMaxBaselineReports> baseline_reports_{};
  std::uint8_t size_ = 0;
  std::uint8_t next_ = 0;
  float last_ = 1;
  MonotonicTime last_at_{};
  MonotonicTime baseline_updated_at_{};
};

}  // namespace ochrespring::engine_profiles
