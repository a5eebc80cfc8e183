#include "logging/bounded_logger.h"

#include <algorithm>
#include <utility>

namespace ochrespring::logging {

BoundedLogger::BoundedLogger(Logger& next, const Clock& clock, LogBounds bounds)
    : next_(next),
      clock_(clock),
      bounds_(bounds),
      allowance_(bounds.burst),
      filled_at_(clock.now()) {}

void BoundedLogger::write(const Record& record) {
  refill();
  const double required = record.level < Level::kWarning ? 1 + kWarningReserve * bounds_.burst : 1;
  if (allowance_ < required) {
    ++dropped_;
    ++unreported_;
    return;
  }
  if (unreported_ != 0) {
    next_.write({Level::kWarning,
                 "logging",
                 "log lines dropped",
                 {{"lines", std::exchange(unreported_, 0)}}});
  }
  allowance_ -= 1;
  next_.write(record);
}

void BoundedLogger::refill() {
  const MonotonicTime now = clock_.now();
  allowance_ =
      std::min(bounds_.burst, allowance_ + to_seconds(now - filled_at_) * bounds_.lines_per_second);
  filled_at_ = now;
}

}  // namespace ochrespring::logging
