#include "base/time.h"

#include <ctime>

namespace ochrespring {

/// Not the steady clock, which stands still while a machine is suspended: a lease would not end, a
/// view not age, a deadline not pass for the time that the rest of the world has lived through.
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
