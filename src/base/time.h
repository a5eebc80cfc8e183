// Time as every subsystem sees it: a monotonic clock for deadlines, a wall clock for logs only.
#pragma once

#include <chrono>
#include <cstdint>

namespace ochrespring {

/// Span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Marks time points of the local monotonic clock; never compared between machines.
struct MonotonicDomain {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicDomain>;
  static constexpr bool is_steady = true;
};

/// Point on one machine's monotonic clock.
using MonotonicTime = std::chrono::time_point<MonotonicDomain, Duration>;

/// Point on the wall clock; for display, never for a safety decision.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time, injected so that simulation can replace it. Implementations are thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Current monotonic time of this machine. Goes on while the machine is suspended.
  virtual MonotonicTime now() const = 0;
  /// Current wall time of this machine.
  virtual WallTime wall_now() const = 0;
};

/// The machine's own clocks. The only place that reads them.
class SystemClock final : public Clock {
 public:
  MonotonicTime now() const override;
  WallTime wall_now() const override;
};

/// The one that whoever has no clock of its own goes by.
const SystemClock& system_clock();

/// Converts a span to seconds for reports.
constexpr double to_seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

/// Converts seconds to a span, rounding towards zero.
constexpr Duration from_seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace ochrespring
