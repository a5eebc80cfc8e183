// Limits the rate of log lines, so that a burst of requests does not cause a burst of lines.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "logging/logger.h"

namespace ochrespring::logging {

struct LogBounds {
  double lines_per_second = 400;
  double burst = 2000;  ///< Maximum number of lines at once.
};

/// Forwards records within the rate limit; a part of the burst is reserved for warnings and errors.
/// Once lines pass again, logs how many were dropped. Not thread-safe: one loop.
class BoundedLogger final : public Logger {
 public:
  BoundedLogger(Logger& next, const Clock& clock, LogBounds bounds = {});

  void write(const Record& record) override;
  std::uint64_t dropped() const { return dropped_; }

 private:
  /// Fraction of the burst reserved for warnings and errors.
  static constexpr double kWarningReserve = 0.1;

  void refill();

  Logger& next_;
  const Clock& clock_;
  LogBounds bounds_;
  double allowance_;
  MonotonicTime filled_at_;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_ = 0;  ///< Dropped since the last line that reported drops.
};

}  // namespace ochrespring::logging
