// Guards against requests that a planned stop cuts off.
#include "gateway_node/stop_sequence.h"

#include <doctest/doctest.h>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace std::chrono_literals;

namespace {

struct StopFixture {
  simulation::VirtualTime time;
  std::size_t running = 0;
  int left = 0;
  bool accepting = true;
  bool finished = false;
  StopSequence stop{time,
                    {[this] { ++left; }, [this] { accepting = false; }, [this] { finished = true; },
                     [this] { return running; }}};

  void advance(Duration span) { time.run_until(time.now() + span); }
};

}  // namespace

TEST_CASE("an idle node leaves at once, serves until callers have noticed, and then exits") {
  StopFixture fixture;
  fixture.stop.begin({});
  fixture.stop.begin({});
  CHECK(fixture.left == 1);
  fixture.advance(3400ms);
  CHECK(fixture.accepting);
  CHECK_FALSE(fixture.finished);
  fixture.advance(200ms);
  CHECK_FALSE(fixture.accepting);
  CHECK(fixture.finished);
}

TEST_CASE("a request that arrives during the stop is answered before the node exits") {
  StopFixture fixture;
  fixture.stop.begin({});
  fixture.advance(3520ms);
  fixture.running = 1;
  fixture.advance(500ms);
  CHECK_FALSE(fixture.finished);
  fixture.running = 0;
  fixture.stop.on_idle();
  CHECK_FALSE(fixture.finished);
  fixture.advance(60ms);
  CHECK(fixture.finished);
}

TEST_CASE("a request that does not finish is cut off only when the grace period ends") {
  StopFixture fixture;
  fixture.running = 1;
  fixture.stop.begin({});
  fixture.advance(7400ms);
  CHECK_FALSE(fixture.finished);
  fixture.advance(200ms);
  CHECK(fixture.finished);
}
