// Tests the estimate while the wall clock jumps.
#include "usage/wall_clock_estimate.h"

#include <doctest/doctest.h>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::usage;
using namespace std::chrono_literals;

namespace {

/// Clock whose wall time can be offset.
class SettableClock final : public Clock {
 public:
  explicit SettableClock(const simulation::VirtualTime& time) : time_(time) {}
  MonotonicTime now() const override { return time_.now(); }
  WallTime wall_now() const override { return time_.wall_now() + ahead; }

  Duration ahead{1000s};

 private:
  const simulation::VirtualTime& time_;
};

}  // namespace

TEST_CASE("the estimate equals the wall clock, ignores temporary jumps and follows lasting ones") {
  simulation::VirtualTime time;
  SettableClock clock(time);
  const WallClockEstimate wall(clock, time);
  const auto error = [&] { return wall.now() - (time.wall_now() + 1000s); };
  time.run_until(time.now() + 20s);
  CHECK(error() == 0s);
  for (const Duration jump : {2000ms, -2000ms}) {
    clock.ahead = 1000s + jump;
    time.run_until(time.now() + 6s);
    CHECK(error() == 0s);
    clock.ahead = 1000s;
    time.run_until(time.now() + 30s);
    CHECK(error() == 0s);
  }
  clock.ahead = 1005s;
  time.run_until(time.now() + 20s);
  CHECK(error() == 5s);
}
