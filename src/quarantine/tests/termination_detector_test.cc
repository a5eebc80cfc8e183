// Tests which broken connections are treated as the termination of a back end.
#include "quarantine/termination_detector.h"

#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

const gateway::BackendId kBackend("i-1");

struct DetectorFixture {
  DetectorFixture() {
    fleet.put(make_backend(false));
    time.run_until(time.now() + 1s);
  }
  static gateway::Backend make_backend(bool draining) {
    gateway::Backend backend;
    backend.id = kBackend;
    backend.address = Endpoint("s:1");
    backend.draining = draining;
    return backend;
  }
  void fail_attempt(gateway::AttemptFailureKind kind = gateway::AttemptFailureKind::kClosed,
                    std::uint64_t request = 1) {
    detector.note_failed_attempt(
        {{0, request}, ServiceName("s"), kBackend, time.now() - 100ms, kind});
  }
  void advance(Duration span) { time.run_until(time.now() + span); }
  void answer_probe(http::ProbeResult result) {
    REQUIRE_FALSE(probes.empty());
    probes.front()(result);
    probes.pop_front();
  }

  simulation::VirtualTime time;
  gateway::FleetState fleet;
  std::deque<std::function<void(http::ProbeResult)>> probes;
  std::vector<std::size_t> terminated;  ///< Number of attempts of each reported termination.
  TerminationDetector detector{time, time, fleet,
                               [this](const Endpoint& address, auto done) {
                                 CHECK(address == Endpoint("s:1"));
                                 probes.push_back(std::move(done));
                               },
                               [this](const gateway::BackendId& backend, const auto& attempts) {
                                 CHECK(backend == kBackend);
                                 terminated.push_back(attempts.size());
                               }};
};

}  // namespace

TEST_CASE("a refused probe reports the termination with all attempts that failed at the back end") {
  DetectorFixture fixture;
  fixture.fail_attempt(gateway::AttemptFailureKind::kClosed, 1);
  fixture.fail_attempt(gateway::AttemptFailureKind::kClosed, 2);
  CHECK(fixture.probes.empty());
  CHECK(fixture.detector.suspected_terminations({0, 1}) == CrashLedger::BackendIds{kBackend});
  fixture.advance(50ms);
  REQUIRE(fixture.probes.size() == 1);
  fixture.answer_probe(http::ProbeResult::kRefused);
  CHECK(fixture.terminated == std::vector<std::size_t>{2});
  CHECK(fixture.detector.idle());
  // An attempt that failed with the others is reported; one that started after the termination is
  // not.
  fixture.fail_attempt(gateway::AttemptFailureKind::kClosed, 3);
  fixture.advance(1s);
  fixture.fail_attempt(gateway::AttemptFailureKind::kClosed, 4);
  CHECK(fixture.terminated == std::vector<std::size_t>{2, 1});
  CHECK(fixture.probes.empty());
}

TEST_CASE("an accepted probe reports no termination") {
  DetectorFixture fixture;
  fixture.fail_attempt();
  fixture.advance(50ms);
  fixture.answer_probe(http::ProbeResult::kAccepted);
  CHECK(fixture.terminated.empty());
  CHECK(fixture.detector.idle());
  // For a while an unresponsive attempt does not cause another probe, but a closed connection does.
  fixture.fail_attempt(gateway::AttemptFailureKind::kUnresponsive);
  CHECK(fixture.detector.idle());
  fixture.fail_attempt(gateway::AttemptFailureKind::kClosed);
  CHECK_FALSE(fixture.detector.idle());
}

TEST_CASE("if the probe is not answered, the fleet view decides") {
  DetectorFixture fixture;
  fixture.fail_attempt(gateway::AttemptFailureKind::kUnresponsive);
  CHECK(fixture.detector.suspected_terminations({0, 1}).empty());
  fixture.advance(50ms);
  fixture.answer_probe(http::ProbeResult::kNoAnswer);
  CHECK(fixture.terminated.empty());
  SUBCASE("the back end is removed from the view") {
    fixture.advance(4s);
    fixture.detector.note_backend_removed(DetectorFixture::make_backend(false));
    CHECK(fixture.terminated == std::vector<std::size_t>{1});
  }
  SUBCASE("the back end is removed after announcing that it leaves") {
    fixture.detector.note_backend_removed(DetectorFixture::make_backend(true));
    CHECK(fixture.terminated.empty());
  }
  SUBCASE("the view does not change before the timeout") {
    fixture.advance(11s);
    CHECK(fixture.detector.idle());
    fixture.detector.note_backend_removed(DetectorFixture::make_backend(false));
    CHECK(fixture.terminated.empty());
  }
}

TEST_CASE("back ends that are draining or no longer in the view are not investigated") {
  DetectorFixture fixture;
  fixture.fleet.put(DetectorFixture::make_backend(true));
  fixture.fail_attempt();
  CHECK(fixture.detector.idle());
  fixture.fleet.remove(kBackend);
  fixture.fail_attempt();
  CHECK(fixture.detector.idle());
}
