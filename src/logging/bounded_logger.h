// Bounds how much is logged, so that a storm of requests does not become a storm of lines.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "logging/logger.h"

namespace ochrespring::logging {

struct LogBounds {
  double lines_per_second = 400;
  double burst = 2000;  ///< Lines that may come at once.
};

/// Passes records on while the bound allows; warnings and errors may use a reserve of their own.
/// Tells how many lines were left out as soon as lines pass again. Not thread-safe: one loop.
class BoundedLogger final : public Logger {
 public:
  BoundedLogger(Logger& next, const Clock& clock, LogBounds bounds = {});

  void write(const Record& record) override;
  std::uint64_t dropped() const { return dropped_; }

 private:
  /// Part of the burst that only warnings and errors may use.
  static constexpr double kWarningReserve = 0.1;

  void refill();

  Logger& next_;
  const Clock& clock_;
  LogBounds bounds_;
  double allowance_;
  MonotonicTime filled_at_;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_ = 0;  ///< Dropped since the last line that told of it.
};

}  // namespace ochrespring::logging
