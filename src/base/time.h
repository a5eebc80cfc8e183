// Time types and clocks: a monotonic clock for deadlines, a wall clock for logs and usage windows.
#pragma once

#include <chrono>
#include <cstdint>

namespace ochrespring {

/// Time span in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock tag of monotonic time points, which must not be compared between machines.
struct MonotonicDomain {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicDomain>;
  static constexpr bool is_steady = true;
};

/// Time point of one machine's monotonic clock.
using MonotonicTime = std::chrono::time_point<MonotonicDomain, Duration>;

/// Time point of the wall clock. It may jump, so leases must not depend on it.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time, injected so that simulation can replace it. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Current monotonic time of this machine. Continues while the machine is suspended.
  virtual MonotonicTime now() const = 0;
  /// Current wall time of this machine.
  virtual WallTime wall_now() const = 0;
};

/// The clocks of the machine. No other code reads them.
class SystemClock final : public Clock {
 public:
  MonotonicTime now() const override;
  WallTime wall_now() const override;
};

/// Shared instance for code that is not given a clock.
const SystemClock& system_clock();

/// Converts a time span to seconds, for reports.
constexpr double to_seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Converts seconds to a time span, rounding towards zero.
constexpr Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace ochrespring
