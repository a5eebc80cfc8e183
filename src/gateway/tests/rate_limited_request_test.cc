// Requests at back ends that have named a rate limit.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "gateway/rate_gate.h"
#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

namespace {

/// A gate that says what the test wants.
class PlayedGate final : public RateGate {
 public:
  bool has_room(const BackendId& backend, MonotonicTime /*now*/) const override {
    return !full.contains(backend);
  }
  ClaimResult claim(const BackendId& backend, SendRank rank,
                    std::function<void(bool)> done) override {
    ranks.push_back(rank);
    if (denies.contains(backend)) {
      full.insert(backend);
      return ClaimResult::kDenied;
    }
    if (!asks) {
      return ClaimResult::kGranted;
    }
    claims.emplace_back(backend, std::move(done));
    return ClaimResult::kPending;
  }
  std::optional<Duration> time_to_room(const ServiceName& /*service*/,
                                       MonotonicTime /*now*/) const override {
    return full.empty() ? std::nullopt : std::optional<Duration>(700ms);
  }
  void note_answer(const RateAnswer& answer) override { answers.push_back(answer); }

  /// Settles the oldest claim.
  void settle(bool granted) {
    auto [backend, done] = std::move(claims.front());
    claims.erase(claims.begin());
    if (!granted) {
      full.insert(backend);
    }
    done(granted);
  }

  std::set<BackendId> full;
  std::set<BackendId> denies;
  bool asks = false;
  std::vector<SendRank> ranks;
  std::vector<std::pair<BackendId, std::function<void(bool)>>> claims;
  std::vector<RateAnswer> answers;
};

struct RateLimitedFixture : GatewayFixture {
  RateLimitedFixture() {
    for (const char* id : {"b1", "b2", "b3"}) {
      add_backend(id, "relay");
    }
  }
  std::shared_ptr<testing::PlayedCaller> request(const std::string& path,
                                                 std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    auto caller = std::make_shared<testing::PlayedCaller>();
    limited.handle({"POST", path, "", std::move(headers), "body"}, caller);
    return caller;
  }

  PlayedGate gate;
  Gateway limited{{time,
                   time,
                   transport,
                   fleet,
                   loads,
                   placement,
                   budget,
                   shares,
                   names,
                   engines,
                   statistics,
                   logger,
                   [] { return 1U; },
                   {},
                   nullptr,
                   &gate},
                  [](auto done) { done(true); }};
};

}  // namespace

TEST_CASE_FIXTURE(RateLimitedFixture, "a denied request goes to a back end that has room") {
  gate.denies = {BackendId("b1"), BackendId("b2")};
  const auto caller = request("/once/x");
  REQUIRE(sends() == 1);
  CHECK(last().request.endpoint == Endpoint("b3:1"));
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
  CHECK(statistics.rate_limited == 0);
}

TEST_CASE_FIXTURE(
    RateLimitedFixture,
    "where none has room a request is refused at once as not run, with the time to come back") {
  gate.denies = {BackendId("b1"), BackendId("b2"), BackendId("b3")};
  const auto caller = request("/once/x");
  CHECK(sends() == 0);
  REQUIRE(caller->finished);
  CHECK(caller->head.status == 503);
  CHECK(std::stod(caller->header("retry-after")) == doctest::Approx(0.7));
  CHECK(caller->body.find("rate-limited") != std::string::npos);
  CHECK(statistics.rate_limited == 1);
}

TEST_CASE_FIXTURE(RateLimitedFixture,
                  "a request is sent when its permit comes, elsewhere when it does not") {
  gate.asks = true;
  const auto caller = request("/once/x");
  CHECK(sends() == 0);
  gate.settle(false);
  CHECK(sends() == 0);
  gate.settle(true);
  REQUIRE(sends() == 1);
  last().answer(200, {signature()}, "ok");
  CHECK(caller->head.status == 200);
}

TEST_CASE_FIXTURE(RateLimitedFixture,
                  "a permit for a back end that has gone meanwhile is not used") {
  gate.asks = true;
  request("/once/x");
  fleet.remove(gate.claims.front().first);
  gate.settle(true);
  CHECK(sends() == 0);
  REQUIRE(gate.claims.size() == 1);
  gate.settle(true);
  CHECK(sends() == 1);
}

TEST_CASE_FIXTURE(RateLimitedFixture,
                  "a request whose caller leaves, or whose time is over, while it waits for a "
                  "permit is not sent") {
  gate.asks = true;
  request("/once/x")->leave();
  const auto late = request("/once/x", {{names.deadline, "50"}});
  advance(60ms);
  CHECK(late->head.status == 503);
  gate.settle(true);
  gate.settle(true);
  CHECK(sends() == 0);
  CHECK(limited.running() == 0);
}

TEST_CASE_FIXTURE(RateLimitedFixture, "a stop ends what waits for a permit as not run") {
  gate.asks = true;
  const auto caller = request("/once/x");
  CHECK(limited.running() == 1);
  limited.end_all();
  CHECK(caller->head.status == 503);
  gate.settle(true);
  CHECK(sends() == 0);
}

TEST_CASE_FIXTURE(RateLimitedFixture,
                  "a stream that has begun goes before new requests, and these by priority") {
  add_backend("e1", "llm", EngineRole::kDecode);
  request("/once/x");
  request("/resumable/x", {{names.last_event, "3"}});
  REQUIRE(gate.ranks.size() == 2);
  CHECK(gate.ranks[0] > kBegunStreamRank);
  CHECK(gate.ranks[1] == kBegunStreamRank);
}

TEST_CASE_FIXTURE(RateLimitedFixture, "reading a prompt apart needs a permit, too") {
  add_backend("e1", "llm", EngineRole::kDecode);
  add_backend("p1", "llm", EngineRole::kPrefill);
  gate.asks = true;
  request("/stream/x", {{names.prompt_parts, "aa:6300,bb:2000"}, {names.token_counts, "8300,20"}});
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first == BackendId("p1"));
  gate.settle(true);
  REQUIRE(sends() == 1);
  last().answer(200, {}, "handle=1");
  REQUIRE(gate.claims.size() == 1);
  CHECK(gate.claims.front().first == BackendId("e1"));
}

TEST_CASE_FIXTURE(RateLimitedFixture,
                  "every answer tells of a limit but that of another back end at the address") {
  request("/once-twice/x");
  last().answer(503, {{names.not_run, "1"}, {names.rate_limit, "1.3"}}, "");
  REQUIRE(gate.answers.size() == 1);
  CHECK(gate.answers[0].statement.rate.thousandths == 1300);
  last().answer(421, {{names.rate_limit, "0.1"}}, "");
  CHECK(gate.answers.size() == 1);
}

TEST_CASE_FIXTURE(RateLimitedFixture, "a silent back end is not left while limits leave no other") {
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

TEST_CASE_FIXTURE(RateLimitedFixture, "a late answer is delivered where limits left no other") {
  const auto caller = request("/idempotent/x");
  for (const char* id : {"b1", "b2", "b3"}) {
    gate.full.insert(BackendId(id));
  }
  advance(1500ms);
  REQUIRE(last().open);
  last().answer(200, {signature()}, "late");
  CHECK(caller->head.status == 200);
}
