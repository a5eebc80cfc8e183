#include "base/time.h"

#include <ctime>

namespace ochrespring {

/// Uses CLOCK_BOOTTIME instead of the steady clock, which stops while the machine is suspended:
/// leases, cached views and deadlines would then not account for the time that passed elsewhere.
MonotonicTime SystemClock::now() const {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return MonotonicTime(std::chrono::seconds(time.tv_sec) + Duration(time.tv_nsec));
}

const SystemClock& system_clock() {
  static const SystemClock clock;
  return clock;
}

WallTime SystemClock::wall_now() const {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}  // namespace ochrespring
