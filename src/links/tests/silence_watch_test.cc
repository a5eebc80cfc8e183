// Guards against probes on account of single slow back ends, and against many during long silence.
#include "links/silence_watch.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  simulation::VirtualTime time;
  SeededRandom random{3};
  std::vector<MonotonicTime> calls;
  links::SilenceWatch watch{time, time, random,
                            [this](const Endpoint&) { calls.push_back(time.now()); }};

  void run(Duration span) { time.run_until(time.now() + span); }
};

const Endpoint kBackend("10.0.0.1:80");

}  // namespace

TEST_CASE("silence is noticed after 250 ms, and then at growing intervals") {
  Fixture f;
  const MonotonicTime start = f.time.now();
  f.watch.begin(kBackend);
  f.run(10s);
  REQUIRE(f.calls.size() >= 4);
  CHECK(f.calls[0] - start == 250ms);
  CHECK(f.calls[1] - start == 500ms);
  CHECK(f.calls[2] - start == 1000ms);
  CHECK(f.calls.size() <= 8);
}

TEST_CASE("a slow back end is not checked while others answer") {
  Fixture f;
  f.watch.begin(kBackend);
  for (int i = 0; i != 50; ++i) {
    f.run(100ms);
    f.watch.note_heard();
  }
  CHECK(f.calls.empty());
  f.run(300ms);
  CHECK(f.calls.size() == 1);
}

TEST_CASE("nothing is checked while no exchange waits, however long ago an answer came") {
  Fixture f;
  const auto exchange = f.watch.begin(kBackend);
  f.run(100ms);
  f.watch.end(exchange);
  f.run(10s);
  CHECK(f.calls.empty());
  f.watch.begin(kBackend);
  f.run(240ms);
  CHECK(f.calls.empty());
  f.run(10ms);
  CHECK(f.calls.size() == 1);
}
