// A planned stop cuts nothing.
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

TEST_CASE("an idle node leaves at once, serves while callers notice, and then ends") {
  StopFixture world;
  world.stop.begin({});
  world.stop.begin({});
  CHECK(world.left == 1);
  world.advance(3400ms);
  CHECK(world.accepting);
  CHECK_FALSE(world.finished);
  world.advance(200ms);
  CHECK_FALSE(world.accepting);
  CHECK(world.finished);
}

TEST_CASE("a request that comes while the node lingers is answered before the end") {
  StopFixture world;
  world.stop.begin({});
  world.advance(3520ms);
  world.running = 1;
  world.advance(500ms);
  CHECK_FALSE(world.finished);
  world.running = 0;
  world.stop.on_idle();
  CHECK_FALSE(world.finished);
  world.advance(60ms);
  CHECK(world.finished);
}

TEST_CASE("a request that does not end is cut only when the grace is over") {
  StopFixture world;
  world.running = 1;
  world.stop.begin({});
  world.advance(7400ms);
  CHECK_FALSE(world.finished);
  world.advance(200ms);
  CHECK(world.finished);
}
