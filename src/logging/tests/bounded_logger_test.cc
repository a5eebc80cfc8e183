// Tests the log rate limit.
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

TEST_CASE("lines beyond the rate limit are dropped, and the number dropped is logged") {
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
