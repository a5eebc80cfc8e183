// Tests of requests to back ends that have set a rate limit.
#include <doctest/doctest.h>

#include <chrono>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatedFixture;

TEST_CASE_FIXTURE(GatedFixture, "a request denied by one back end is sent to one that has room") {
  gate.denies = {BackendId("b1"), BackendId("b2")};
  const auto caller = request("/once/x");
  REQUIRE(sends() == 1);
  CHECK(last().request.endpoint == Endpoint("b3:1"));
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(statistics.rate_limited == 0);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "if no back end has room a request is refused as not run, with Retry-After") {
  gate.denies = {BackendId("b1"), BackendId("b2"), BackendId("b3")};
  const auto caller = request("/once/x");
  CHECK(sends() == 0);
  REQUIRE(caller->finished);
  CHECK(caller->head.status == 503);
  CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(0.7));
  CHECK(caller->body.find("rate-limited") != std::string::npos);
  CHECK(statistics.rate_limited == 1);
}

TEST_CASE_FIXTURE(
    GatedFixture,
    "a request is sent when its claim is granted, and to another back end when it is denied") {
  gate.claims_pending = true;
  const auto caller = request("/once/x");
  CHECK(sends() == 0);
  gate.settle(false);
  CHECK(sends() == 0);
  gate.settle(true);
  REQUIRE(sends() == 1);
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "a granted claim is not used if its back end is no longer registered") {
  gate.claims_pending = true;
  request("/once/x");
  fleet.remove(gate.claims.front().first);
  gate.settle(true);
  CHECK(sends() == 0);
  REQUIRE(gate.claims.size() == 1);
  gate.settle(true);
  CHECK(sends() == 1);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "a request that waits for a claim is not sent after its caller disconnected or "
                  "its deadline passed") {
  gate.claims_pending = true;
  request("/once/x")->disconnect();
  const auto late = request("/once/x", {{names.deadline, "50"}});
  advance(60ms);
  CHECK(late->head.status == 503);
  gate.settle(true);
  gate.settle(true);
  CHECK(sends() == 0);
  CHECK(gateway_under_test.running() == 0);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "requests that wait for a claim are answered as not run when the process stops") {
  gate.claims_pending = true;
  const auto caller = request("/once/x");
  CHECK(gateway_under_test.running() == 1);
  gateway_under_test.finish_all();
  CHECK(caller->head.status == 503);
  gate.settle(true);
  CHECK(sends() == 0);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "a started stream ranks before new requests, which rank by priority") {
  add_backend("e1", "llm", EngineRole::kDecode);
  request("/once/x");
  record_stream("r0");
  request("/resumable/x", {{names.last_event, "3"}, {names.resumed_attempt, "r0"}});
  REQUIRE(gate.ranks.size() == 2);
  CHECK(gate.ranks[0] > kStartedStreamRank);
  CHECK(gate.ranks[1] == kStartedStreamRank);
}

TEST_CASE_FIXTURE(GatedFixture, "a prefill call claims a send, too") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  gate.claims_pending = true;
  request("/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first == BackendId("p1"));
  gate.settle(true);
  REQUIRE(sends() == 1);
  last().answer(200, {}, "handle=1");
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first == BackendId("e1"));
}

TEST_CASE_FIXTURE(
    GatedFixture,
    "the gate receives every answer except one from another back end at the same address") {
  request("/once-twice/x");
  last().answer(503, {{names.not_run, "1"}, {names.rate_limit, "1.3"}}, "");
  REQUIRE(gate.answers.size() == 1);
  CHECK(gate.answers[0].statement.rate_limit.rate.thousandths == 1300);
  last().answer(421, {{names.rate_limit, "0.1"}}, "");
  CHECK(gate.answers.size() == 1);
}

TEST_CASE_FIXTURE(
    GatedFixture,
    "a request stays at an unresponsive back end while rate limits exclude all others") {
  const auto caller = request("/idempotent/x");
  REQUIRE(sends() == 1);
  for (const char* id : {"b1", "b2", "b3"}) {
    gate.full.insert(BackendId(id));
  }
  advance(1200ms);
  REQUIRE(last().open);
  CHECK(sends() == 1);
  gate.full.clear();
  advance(700ms);
  REQUIRE(sends() == 2);
  last().answer(200, {signature()}, "elsewhere");
  CHECK(caller->head.status == 200);
}

TEST_CASE_FIXTURE(GatedFixture,
                  "a late answer is delivered if rate limits excluded all other back ends") {
  const auto caller = request("/idempotent/x");
  for (const char* id : {"b1", "b2", "b3"}) {
    gate.full.insert(BackendId(id));
  }
  advance(1500ms);
  REQUIRE(last().open);
  last().answer(200, {signature()}, "late");
  CHECK(caller->head.status == 200);
}
