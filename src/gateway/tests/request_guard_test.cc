// Tests of requests that are quarantined because back ends terminated while running them.
#include "gateway/request_guard.h"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

namespace {

/// A guard that the test controls.
class FakeGuard final : public RequestGuard {
 public:
  bool is_active() const override { return active; }
  SendVerdict check(const RequestIdentity& request) override {
    CHECK(active);
    ++checked;
    last_checked = request;
    return verdict;
  }
  Duration retry_after(const RequestIdentity& /*request*/) const override { return 10s; }
  void claim_trial(const RequestIdentity& /*request*/, std::function<void(bool)> done) override {
    claims.push_back(std::move(done));
  }
  std::set<BackendId> terminated_backends() const override { return terminated; }
  void note_failure(const FailedAttempt& attempt) override { failures.push_back(attempt); }
  void note_answer(const AnsweredAttempt& attempt) override { answers.push_back(attempt); }
  void note_answered_parts(const std::vector<RequestFingerprint>& parts) override {
    answered_parts.push_back(parts);
  }

  bool active = true;
  SendVerdict verdict = SendVerdict::kAllowed;
  int checked = 0;
  RequestIdentity last_checked;
  std::set<BackendId> terminated;
  std::vector<std::function<void(bool)>> claims;
  std::vector<FailedAttempt> failures;
  std::vector<AnsweredAttempt> answers;
  std::vector<std::vector<RequestFingerprint>> answered_parts;
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
  /// The fingerprint of a request that ask() sends.
  static RequestFingerprint fingerprint_for(const std::string& path) {
    return fingerprint_of({"POST", path, "", {{"host", "h"}}, "body"}, "");
  }

  FakeGuard guard;
  Gateway gateway_under_test{environment_with(&guard, nullptr), [](auto done) { done(true); }};

  std::shared_ptr<gateway::testing::FakeCaller> ask(const std::string& path,
                                                    const std::string& parts = "") {
    auto caller = std::make_shared<gateway::testing::FakeCaller>();
    std::vector<http::Header> headers{{"host", "h"}, {"x-request-id", "r1"}};
    if (!parts.empty()) {
      headers.push_back({names.prompt_parts, parts});
    }
    gateway_under_test.handle({"POST", path, "", headers, "body"}, caller);
    return caller;
  }
  /// Fingerprints of the shared parts of a prompt for the engines.
  static std::vector<RequestFingerprint> parts_of(std::string_view parts) {
    return fingerprints_of_parts(ServiceName("llm"), parse_prompt(parts, ""));
  }
};

}  // namespace

TEST_CASE("a quarantined request is refused as not run, with Retry-After") {
  GuardedFixture fixture;
  fixture.guard.verdict = SendVerdict::kRefused;
  for (const char* path : {"/once/x", "/idempotent/x", "/stream/x", "/resumable/x"}) {
    const auto caller = fixture.ask(path);
    CHECK(caller->head.status == 503);
    CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(10));
  }
  CHECK(fixture.sends() == 0);
  CHECK(fixture.statistics.quarantined == 4);
}

TEST_CASE("a request quarantined after a send is answered as unknown and not retried") {
  GuardedFixture fixture;
  const auto caller = fixture.ask("/resumable/x");
  REQUIRE(fixture.sends() == 1);
  fixture.guard.verdict = SendVerdict::kRefused;
  fixture.last().fail(http::HttpErrc::kReset, true);
  CHECK(caller->head.status == 502);
  CHECK(caller->header("retry-after").empty());
  CHECK(fixture.sends() == 1);
}

TEST_CASE("a started stream is not retried once its request is quarantined") {
  GuardedFixture fixture;
  const auto caller = fixture.ask("/resumable/x");
  fixture.last().observer->on_head({200, {fixture.signature()}});
  fixture.last().observer->on_body("id: 1\ndata: x\n\n");
  fixture.guard.verdict = SendVerdict::kRefused;
  fixture.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(caller->aborted);
  CHECK(fixture.sends() == 1);
}

TEST_CASE("quarantine ends requests that wait for a back end, but no others") {
  GuardedFixture fixture;
  const auto waiting = fixture.ask("/resumable/x");
  const auto other = fixture.ask("/resumable/y");
  const auto begun = fixture.ask("/stream/x");
  fixture.last().observer->on_head({200, {fixture.signature()}});
  fixture.last().observer->on_body("id: 1\ndata: x\n\n");
  for (const char* path : {"/resumable/x", "/stream/x"}) {
    fixture.gateway_under_test.on_quarantined(GuardedFixture::fingerprint_for(path));
  }
  CHECK(waiting->head.status == 502);
  CHECK_FALSE(other->ended());
  CHECK_FALSE(begun->ended());
}

TEST_CASE(
    "the guard is informed whether an attempt was closed, unresponsive, abandoned or answered") {
  GuardedFixture fixture;
  fixture.ask("/once/x");
  fixture.last().fail(http::HttpErrc::kStaleConnection, true);
  fixture.ask("/once/x");
  fixture.last().fail(http::HttpErrc::kTimeout, true);
  fixture.ask("/once/x")->disconnect();
  fixture.ask("/once/x");
  fixture.last().fail(http::HttpErrc::kConnect, false);  // Not sent, so not reported.
  fixture.last().answer(200, {fixture.signature()}, "ok");
  REQUIRE(fixture.guard.failures.size() == 3);
  CHECK(fixture.guard.failures[0].kind == AttemptFailureKind::kClosed);
  CHECK(fixture.guard.failures[0].request.fingerprint ==
        GuardedFixture::fingerprint_for("/once/x"));
  CHECK(fixture.guard.failures[1].kind == AttemptFailureKind::kUnresponsive);
  CHECK(fixture.guard.failures[2].kind == AttemptFailureKind::kAbandoned);
  CHECK(fixture.guard.answers.size() == 1);
}

TEST_CASE("a trial is a single send, whatever its result") {
  GuardedFixture fixture;
  fixture.guard.verdict = SendVerdict::kTrialDue;
  const auto caller = fixture.ask("/resumable/x");
  CHECK(fixture.sends() == 0);
  REQUIRE(fixture.guard.claims.size() == 1);
  SUBCASE("granted, and its back end terminates") {
    fixture.guard.claims[0](true);
    REQUIRE(fixture.sends() == 1);
    fixture.last().fail(http::HttpErrc::kReset, true);
    CHECK(caller->head.status == 502);
    CHECK(fixture.sends() == 1);
  }
  SUBCASE("granted, and served") {
    fixture.guard.claims[0](true);
    fixture.last().answer(200, {fixture.signature()}, "");
    CHECK(caller->head.status == 200);
  }
  SUBCASE("not granted") {
    fixture.guard.claims[0](false);
    CHECK(caller->head.status == 503);
    CHECK(fixture.sends() == 0);
  }
  SUBCASE("granted after the caller disconnected") {
    caller->disconnect();
    fixture.guard.claims[0](true);
    CHECK(fixture.sends() == 0);
  }
}

TEST_CASE("a trial is sent to the back end with the fewest requests") {
  GuardedFixture fixture;
  fixture.ask("/idempotent/a");
  fixture.ask("/idempotent/b");
  fixture.guard.verdict = SendVerdict::kTrialDue;
  fixture.ask("/idempotent/c");
  fixture.guard.claims.at(0)(true);
  REQUIRE(fixture.sends() == 3);
  CHECK(fixture.transport.started[2]->request.endpoint !=
        fixture.transport.started[0]->request.endpoint);
  CHECK(fixture.transport.started[2]->request.endpoint !=
        fixture.transport.started[1]->request.endpoint);
}

TEST_CASE("requests are not checked while none is suspected") {
  GuardedFixture fixture;
  fixture.guard.active = false;
  fixture.ask("/once/x");
  fixture.last().answer(200, {fixture.signature()}, "ok");
  CHECK(fixture.guard.checked == 0);
  CHECK(fixture.guard.answers.empty());
}

TEST_CASE("a request quarantined while it waits for a configuration is not sent") {
  GuardedFixture fixture;
  std::function<void(bool)> refreshed;
  Gateway gateway{{fixture.time,
                   fixture.time,
                   fixture.transport,
                   fixture.fleet,
                   fixture.loads,
                   fixture.placement,
                   fixture.budget,
                   fixture.unanswered,
                   fixture.shares,
                   fixture.names,
                   fixture.engines,
                   fixture.statistics,
                   fixture.logger,
                   [] { return 1U; },
                   {},
                   &fixture.guard},
                  [&](auto done) { refreshed = std::move(done); }};
  const auto caller = std::make_shared<gateway::testing::FakeCaller>();
  gateway.handle({"POST", "/newer/1", "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"}, caller);
  gateway.on_quarantined(GuardedFixture::fingerprint_for("/newer/1"));
  CHECK(gateway.held().awaiting_configuration == 1);
  fixture.guard.verdict = SendVerdict::kRefused;
  Configuration newer = GatewayFixture::make_configuration(2);
  newer.routes.push_back(
      GatewayFixture::make_route("/newer/", RequestKind::kNonIdempotent, "relay", 1, false));
  fixture.fleet.apply(std::move(newer));
  refreshed(true);
  CHECK(fixture.sends() == 0);
  CHECK(caller->head.status == 503);
  CHECK(gateway.running() == 0);
}

TEST_CASE("a request that waits for a trial when the process stops is answered as not run") {
  GuardedFixture fixture;
  fixture.guard.verdict = SendVerdict::kTrialDue;
  const auto caller = fixture.ask("/once/1");
  REQUIRE(fixture.guard.claims.size() == 1);
  CHECK(fixture.gateway_under_test.held().awaiting_backend == 1);
  fixture.gateway_under_test.finish_all();
  CHECK(caller->head.status == 503);
  fixture.guard.claims.front()(true);
  CHECK(fixture.sends() == 0);
  CHECK(fixture.gateway_under_test.running() == 0);
}

// Guards against requests that the guard does not see as what they share with others.
TEST_CASE("the guard is told the shared parts of each request, and which of them were answered") {
  GuardedFixture fixture;
  const auto parts = GuardedFixture::parts_of("a:10,b:10,own:5");
  REQUIRE(parts.size() == 2);
  fixture.ask("/resumable/x", "a:10,b:10,own:5");
  CHECK(fixture.guard.last_checked.parts == parts);
  fixture.last().fail(http::HttpErrc::kReset, true);
  REQUIRE(fixture.guard.failures.size() == 1);
  CHECK(fixture.guard.failures[0].request.parts == parts);
  SUBCASE("a success") {
    fixture.last().observer->on_head({200, {fixture.signature()}});
    fixture.last().observer->on_body("id: 1\ndata: x\n\n");
    CHECK(fixture.guard.answered_parts.empty());  // Begun, not whole.
    fixture.last().observer->on_complete();
    REQUIRE(fixture.guard.answered_parts.size() == 1);
    CHECK(fixture.guard.answered_parts.front() == parts);
    REQUIRE(fixture.guard.answers.size() == 1);
    CHECK(fixture.guard.answers[0].is_success());
  }
  SUBCASE("an error") {
    fixture.last().answer(500, {fixture.signature()}, "");
    CHECK(fixture.guard.answered_parts.empty());
    REQUIRE(fixture.guard.answers.size() == 1);
    CHECK_FALSE(fixture.guard.answers[0].is_success());
  }
}

// Guards against requests that are already on their way when one of their parts becomes
// quarantined.
TEST_CASE("the quarantine of a prompt part ends requests that share it and have not begun") {
  GuardedFixture fixture;
  const auto sharing = fixture.ask("/resumable/x", "a:10,b:10,own:5");
  const auto other = fixture.ask("/resumable/y", "a:10,c:10,own:5");
  const auto last_part = fixture.ask("/resumable/z", "a:10,c:10,b:5");
  fixture.gateway_under_test.on_quarantined(GuardedFixture::parts_of("b:10,own:5").front());
  CHECK(sharing->head.status == 502);
  CHECK_FALSE(other->ended());
  CHECK_FALSE(last_part->ended());
}

// Guards against trials that are used up without a send, or sent to a back end that has terminated.
TEST_CASE("a trial is claimed only if a back end is there that has not terminated") {
  GuardedFixture fixture;
  fixture.guard.verdict = SendVerdict::kTrialDue;
  fixture.guard.terminated = {BackendId("b1"), BackendId("b2"), BackendId("b3")};
  CHECK(fixture.ask("/once/x")->head.status == 503);
  CHECK(fixture.guard.claims.empty());
  fixture.guard.terminated = {BackendId("b1"), BackendId("b3")};
  fixture.ask("/once/x");
  REQUIRE(fixture.guard.claims.size() == 1);
  fixture.guard.claims[0](true);
  REQUIRE(fixture.sends() == 1);
  CHECK(fixture.last().request.endpoint == fixture.fleet.find(BackendId("b2"))->address);
}
