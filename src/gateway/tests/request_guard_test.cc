// Requests that are kept from back ends because back ends have ended under them.
#include "gateway/request_guard.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

namespace {

/// A guard that says what the test wants.
class FakeGuard final : public RequestGuard {
 public:
  bool watching() const override { return watches; }
  SendVerdict judge(const RequestFingerprint& /*request*/) override {
    CHECK(watches);
    ++judged;
    return verdict;
  }
  Duration retry_after(const RequestFingerprint& /*request*/) const override { return 10s; }
  void claim_trial(const RequestFingerprint& /*request*/, std::function<void(bool)> done) override {
    claims.push_back(std::move(done));
  }
  void note_break(const FailedAttempt& attempt) override { breaks.push_back(attempt); }
  void note_answer(const AnsweredAttempt& attempt) override { answers.push_back(attempt); }

  bool watches = true;
  SendVerdict verdict = SendVerdict::kAllowed;
  int judged = 0;
  std::vector<std::function<void(bool)>> claims;
  std::vector<FailedAttempt> breaks;
  std::vector<AnsweredAttempt> answers;
};

struct GuardedFixture : GatewayFixture {
  GuardedFixture() {
    for (const char* id : {"b1", "b2", "b3"}) {
      add_backend(id, "relay");
    }
    for (const char* id : {"e1", "e2", "e3"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
  }
  /// The fingerprint of what send() sends.
  static RequestFingerprint print_of(const std::string& path) {
    return fingerprint_of({"POST", path, "", {{"host", "h"}}, "body"}, "");
  }

  FakeGuard guard;
  Gateway guarded{environment_with(&guard, nullptr), [](auto done) { done(true); }};

  std::shared_ptr<gateway::testing::FakeCaller> ask(const std::string& path) {
    auto caller = std::make_shared<gateway::testing::FakeCaller>();
    guarded.handle({"POST", path, "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"}, caller);
    return caller;
  }
};

}  // namespace

TEST_CASE("a quarantined request is refused at once as not run, with when to come back") {
  GuardedFixture world;
  world.guard.verdict = SendVerdict::kRefused;
  for (const char* path : {"/once/x", "/idempotent/x", "/stream/x", "/resumable/x"}) {
    const auto caller = world.ask(path);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(10));
  }
  CHECK(world.sends() == 0);
  CHECK(world.statistics.quarantined == 4);
}

TEST_CASE("one that has come to be quarantined after a send may have run, and is not sent again") {
  GuardedFixture world;
  const auto caller = world.ask("/resumable/x");
  REQUIRE(world.sends() == 1);
  world.guard.verdict = SendVerdict::kRefused;
  world.last().fail(http::HttpErrc::kReset, true);
  CHECK(caller->head.status == 502);
  CHECK(caller->header("retry-after").empty());
  CHECK(world.sends() == 1);
}

TEST_CASE("a stream that was begun is not resumed once its request is quarantined") {
  GuardedFixture world;
  const auto caller = world.ask("/resumable/x");
  world.last().observer->on_head({200, {world.signature()}});
  world.last().observer->on_body("id: 1\ndata: x\n\n");
  world.guard.verdict = SendVerdict::kRefused;
  world.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(caller->aborted);
  CHECK(world.sends() == 1);
}

TEST_CASE("requests that wait for a back end end when they come to be quarantined, others go on") {
  GuardedFixture world;
  const auto waiting = world.ask("/resumable/x");
  const auto other = world.ask("/resumable/y");
  const auto begun = world.ask("/stream/x");
  world.last().observer->on_head({200, {world.signature()}});
  world.last().observer->on_body("id: 1\ndata: x\n\n");
  for (const char* path : {"/resumable/x", "/stream/x"}) {
    world.guarded.on_quarantined(GuardedFixture::print_of(path));
  }
  CHECK(waiting->head.status == 502);
  CHECK_FALSE(other->ended());
  CHECK_FALSE(begun->ended());
}

TEST_CASE("how attempts end is told: closed, silent, abandoned, answered") {
  GuardedFixture world;
  world.ask("/once/x");
  world.last().fail(http::HttpErrc::kStaleConnection, true);
  world.ask("/once/x");
  world.last().fail(http::HttpErrc::kTimeout, true);
  world.ask("/once/x")->leave();
  world.ask("/once/x");
  world.last().fail(http::HttpErrc::kConnect, false);  // Not sent: nothing to tell.
  world.last().answer(200, {world.signature()}, "ok");
  REQUIRE(world.guard.breaks.size() == 3);
  CHECK(world.guard.breaks[0].kind == AttemptFailureKind::kClosed);
  CHECK(world.guard.breaks[0].request == GuardedFixture::print_of("/once/x"));
  CHECK(world.guard.breaks[1].kind == AttemptFailureKind::kUnresponsive);
  CHECK(world.guard.breaks[2].kind == AttemptFailureKind::kAbandoned);
  CHECK(world.guard.answers.size() == 1);
}

TEST_CASE("a trial is one send, whatever becomes of it") {
  GuardedFixture world;
  world.guard.verdict = SendVerdict::kTrialDue;
  const auto caller = world.ask("/resumable/x");
  CHECK(world.sends() == 0);
  REQUIRE(world.guard.claims.size() == 1);
  SUBCASE("granted, and its back end ends") {
    world.guard.claims[0](true);
    REQUIRE(world.sends() == 1);
    world.last().fail(http::HttpErrc::kReset, true);
    CHECK(caller->head.status == 502);
    CHECK(world.sends() == 1);
  }
  SUBCASE("granted, and served") {
    world.guard.claims[0](true);
    world.last().answer(200, {world.signature()}, "");
    CHECK(caller->head.status == 200);
  }
  SUBCASE("not granted") {
    world.guard.claims[0](false);
    CHECK(caller->head.status == 503);
    CHECK(world.sends() == 0);
  }
  SUBCASE("granted when the caller has left") {
    caller->leave();
    world.guard.claims[0](true);
    CHECK(world.sends() == 0);
  }
}

TEST_CASE("a trial goes where the fewest requests run") {
  GuardedFixture world;
  world.ask("/idempotent/a");
  world.ask("/idempotent/b");
  world.guard.verdict = SendVerdict::kTrialDue;
  world.ask("/idempotent/c");
  world.guard.claims.at(0)(true);
  REQUIRE(world.sends() == 3);
  CHECK(world.transport.started[2]->request.endpoint !=
        world.transport.started[0]->request.endpoint);
  CHECK(world.transport.started[2]->request.endpoint !=
        world.transport.started[1]->request.endpoint);
}

TEST_CASE("while nothing is held against anybody no request is judged") {
  GuardedFixture world;
  world.guard.watches = false;
  world.ask("/once/x");
  world.last().answer(200, {world.signature()}, "ok");
  CHECK(world.guard.judged == 0);
  CHECK(world.guard.answers.empty());
}

TEST_CASE("a request that comes to be quarantined while it waits for a configuration is not sent") {
  GuardedFixture world;
  std::function<void(bool)> refreshed;
  Gateway gateway{{world.time,
                   world.time,
                   world.transport,
                   world.fleet,
                   world.loads,
                   world.placement,
                   world.budget,
                   world.shares,
                   world.names,
                   world.engines,
                   world.statistics,
                   world.logger,
                   [] { return 1U; },
                   {},
                   &world.guard},
                  [&](auto done) { refreshed = std::move(done); }};
  const auto caller = std::make_shared<gateway::testing::FakeCaller>();
  gateway.handle({"POST", "/newer/1", "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"}, caller);
  gateway.on_quarantined(GuardedFixture::print_of("/newer/1"));
  CHECK(gateway.held().at_configuration == 1);
  world.guard.verdict = SendVerdict::kRefused;
  Configuration newer = GatewayFixture::make_configuration(2);
  newer.routes.push_back(
      GatewayFixture::make_route("/newer/", RequestKind::kNonIdempotent, "relay", 1, false));
  world.fleet.apply(std::move(newer));
  refreshed(true);
  CHECK(world.sends() == 0);
  CHECK(caller->head.status == 503);
  CHECK(gateway.running() == 0);
}

TEST_CASE("a request that waits for a trial when the process ends is told that it has not run") {
  GuardedFixture world;
  world.guard.verdict = SendVerdict::kTrialDue;
  const auto caller = world.ask("/once/1");
  REQUIRE(world.guard.claims.size() == 1);
  CHECK(world.guarded.held().at_back_ends == 1);
  world.guarded.end_all();
  CHECK(caller->head.status == 503);
  world.guard.claims.front()(true);
  CHECK(world.sends() == 0);
  CHECK(world.guarded.running() == 0);
}
