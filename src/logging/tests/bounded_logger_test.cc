// Bounds of logging under load.
#include "logging/bounded_logger.h"

#include <doctest/doctest.h>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::logging;
using namespace std::chrono_literals;

namespace {

struct CountingLogger final : Logger {
  void write(const Record& record) override {
    ++lines;
    last = record;
  }
  int lines = 0;
  Record last;
};

}  // namespace

TEST_CASE("a storm of lines is cut to the bound, and what was left out is told") {
  simulation::VirtualTime time;
  CountingLogger lines;
  BoundedLogger logger(lines, time, {10, 20});
  for (int i = 0; i != 100; ++i) {
    logger.write({Level::kInfo, "test", "line", {}});
  }
  CHECK(lines.lines == 18);
  CHECK(logger.dropped() == 82);
  logger.write({Level::kError, "test", "error", {}});
  CHECK(lines.last.message == "error");
  CHECK(lines.lines == 20);
  time.run_until(time.now() + 5s);
  logger.write({Level::kInfo, "test", "line", {}});
  CHECK(lines.lines == 21);
}
