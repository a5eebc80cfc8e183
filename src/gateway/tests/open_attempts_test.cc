// Tests of what several open attempts of one request must not do: run a request twice, exceed the
// limits of its route, or hide a back end that does not answer.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "tests/fake_gate.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeCaller;
using gateway::testing::FakeExchange;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;
using http::HttpErrc;

namespace {

constexpr Duration kStreamTimeout = 900ms;
constexpr Duration kAnswerTimeout = 300ms;

std::string event(std::uint64_t id) {
  return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

const std::vector<http::Header> kLongPrompt = {
    {"x-ochrespring-prompt-parts", "aa:9000,bb:9000"},
    {"x-ochrespring-token-counts", "18000,50"},
};

/// Back ends `b1`, `b2`, and engines `e1` to `e4`. `/once-or-refused/` is a stream that must not
/// run twice, but may be sent to three engines.
struct ReviewFixture : GatewayFixture {
  FakeGate gate;
  std::unique_ptr<Gateway> gateway_under_test;

  explicit ReviewFixture(bool replicated = false) {
    Configuration configuration = make_configuration(2);
    configuration.routes.push_back(make_route("/thrice/", RequestKind::kStreaming, "llm", 3, true));
    configuration.routes.push_back(
        make_route("/once-or-refused/", RequestKind::kStreaming, "llm", 3, false));
    configuration.services[1].engine->backs_up_streams = replicated;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
    for (const char* id : {"b1", "b2"}) {
      add_backend(id, "relay");
    }
    Environment made = environment_with(nullptr, &gate);
    made.replicate_retryable_streams = replicated;
    gateway_under_test = std::make_unique<Gateway>(std::move(made), [](auto done) { done(true); });
  }
  std::shared_ptr<FakeCaller> ask(const std::string& path, std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    headers.push_back({"x-request-id", "r1"});
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test->handle({"POST", path, "", std::move(headers), "body"}, caller);
    REQUIRE_FALSE(transport.started.empty());
    return caller;
  }
  /// Starts a replicated stream of which event 1 has arrived and whose engine is silent and no
  /// longer registered, and lets the backup engine be asked to resume it.
  std::shared_ptr<FakeCaller> resume_silent(const std::string& path) {
    auto caller =
        ask(path, {{names.prompt_parts, "aa:100,bb:100"}, {names.token_counts, "200,6000"}});
    REQUIRE_FALSE(attempt(0).header(names.cache_backup).empty());
    attempt(0).observer->on_head({200, {signature()}});
    attempt(0).observer->on_body(event(1));
    fleet.remove(backend_of(0));
    gateway_under_test->on_backend_unregistered(backend_of(0));
    advance(kStreamTimeout);
    REQUIRE(sends() == 2);
    REQUIRE(last().request.endpoint.value() == attempt(0).header(names.cache_backup));
    REQUIRE(attempt(0).open);
    return caller;
  }
  FakeExchange& attempt(std::size_t index) { return *transport.started.at(index); }
  BackendId backend_of(std::size_t index) {
    const std::string address = attempt(index).request.endpoint.value();
    return BackendId(address.substr(0, address.find(':')));
  }
  void refuse(std::size_t exchange) { attempt(exchange).answer(503, {{names.not_run, "1"}}, ""); }
  std::size_t runs() const {
    return static_cast<std::size_t>(
        std::count_if(transport.started.begin(), transport.started.end(),
                      [&](const auto& sent) { return sent->header(names.phase).empty(); }));
  }
};

}  // namespace

TEST_CASE("a stream that must not run twice is not run elsewhere while its silent engine runs it") {
  ReviewFixture f(true);
  const auto caller = f.resume_silent("/once-or-refused/x");
  f.refuse(1);
  CHECK(f.sends() == 2);
  CHECK(f.attempt(0).open);
  CHECK(f.attempt(0).reading);
  CHECK_FALSE(caller->ended());
}

TEST_CASE("a stream whose backup engine never answers is read on") {
  ReviewFixture f(true);
  f.resume_silent("/stream/x");
  f.advance(kStreamTimeout);
  CHECK(f.attempt(0).reading);
}

TEST_CASE("a retryable stream that its backup engine refused is read on while it is retried") {
  ReviewFixture f(true);
  f.resume_silent("/thrice/x");
  f.refuse(1);
  CHECK(f.attempt(0).open);
  CHECK(f.attempt(0).reading);
}

// A silent attempt that sends part of an event while the next send is being prefilled.
TEST_CASE("a prefill call beside an open attempt leads to one send") {
  ReviewFixture f;
  const char* path = "/resumable/x";
  std::size_t allowed = 2;
  SUBCASE("two attempts") {}
  SUBCASE("three attempts") {
    path = "/thrice/x";
    allowed = 3;
  }
  f.ask(path, kLongPrompt);
  REQUIRE(f.runs() == 1);
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.add_backend("p1", "llm", EngineRole::kPrefill);
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  REQUIRE(f.last().header(f.names.phase) == "prefill");
  f.advance(kStreamTimeout / 2);
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(kStreamTimeout / 2 + 1ms);
  if (f.attempt(1).open) {
    f.attempt(1).answer(200, {}, "handle=h7");
  }
  CHECK(f.runs() <= allowed);
  CHECK(f.runs() - 1 <= f.statistics.retries);
}

TEST_CASE("a cache handle is used by one of several open attempts") {
  ReviewFixture f;
  f.ask("/thrice/x", kLongPrompt);
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.add_backend("p1", "llm", EngineRole::kPrefill);
  f.advance(kStreamTimeout / 2 + kStreamTimeout / 2);
  REQUIRE(f.last().header(f.names.phase) == "prefill");
  f.last().answer(200, {}, "handle=h7");
  REQUIRE(f.sends() == 3);
  REQUIRE(f.last().header(f.names.cache_source) == "p1:1/h7");
  f.advance(kStreamTimeout / 2);
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(kStreamTimeout / 2 + 1ms);
  std::size_t uses = 0;
  for (const auto& sent : f.transport.started) {
    uses += sent->header(f.names.cache_source) == "p1:1/h7" ? 1 : 0;
  }
  CHECK(uses == 1);
}

TEST_CASE("a back end that was just heard does not count as silent") {
  ReviewFixture f;
  f.ask("/thrice/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.advance(kStreamTimeout - 10ms);
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(20ms);
  CHECK(f.sends() == 2);
  CHECK(f.statistics.attempts_stalled == 1);
}

TEST_CASE("a back end that stays silent counts as failed also if no other one took over") {
  ReviewFixture f;
  f.ask("/idempotent/x");
  const BackendId silent = f.backend_of(0);
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  f.refuse(1);
  f.advance(3s);
  CHECK(f.loads.find(silent)->failure_share(f.time.now()) > 0);
}

TEST_CASE("a silent attempt is counted once") {
  ReviewFixture f;
  f.ask("/idempotent/x");
  f.fleet.remove(BackendId(f.backend_of(0).value() == "b1" ? "b2" : "b1"));
  f.advance(kAnswerTimeout * 4);
  CHECK(f.sends() == 1);
  CHECK(f.statistics.attempts_stalled == 1);
}

TEST_CASE("an event without data ends no other attempt") {
  ReviewFixture f;
  f.ask("/resumable/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(1).observer->on_head({200, {f.signature()}});
  f.attempt(1).observer->on_body(": waiting\n\n");
  CHECK(f.attempt(0).open);
}

TEST_CASE("an attempt that was never sent does not use up the attempts of the route") {
  ReviewFixture f;
  f.ask("/resumable/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(1).request_sent = false;
  f.attempt(0).observer->on_body(event(2));
  REQUIRE_FALSE(f.attempt(1).open);
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 3);
}

TEST_CASE("a denied retry budget is asked again") {
  ReviewFixture f;
  f.ask("/resumable/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.budget.set({0, 0, 10s});
  f.advance(kStreamTimeout / 2 + kStreamTimeout / 2);
  REQUIRE(f.sends() == 1);
  f.budget.set({1.0, 1000, 10s});
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 2);
}

TEST_CASE("a caller that leaves ends all open attempts") {
  ReviewFixture f;
  const auto caller = f.ask("/idempotent/x");
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  caller->disconnect();
  CHECK_FALSE(f.attempt(0).open);
  CHECK_FALSE(f.attempt(1).open);
  CHECK(f.gateway_under_test->running() == 0);
}

TEST_CASE("the retry budget is charged once for each send beyond the first") {
  ReviewFixture f;
  const auto caller = f.ask("/thrice/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  for (std::uint64_t id = 1; id != 3; ++id) {
    f.attempt(0).observer->on_body(event(id));
    f.advance(kStreamTimeout);
    REQUIRE(f.attempt(0).open);
  }
  CHECK(f.sends() == 3);
  CHECK(f.statistics.retries + 1 == f.sends());
}

TEST_CASE("a session with a pending claim and a prefill call sends once") {
  ReviewFixture f;
  f.ask("/thrice/x", kLongPrompt);
  f.attempt(0).observer->on_head({200, {f.signature()}});
  f.attempt(0).observer->on_body(event(1));
  f.add_backend("p1", "llm", EngineRole::kPrefill);
  f.advance(kStreamTimeout);
  REQUIRE(f.last().header(f.names.phase) == "prefill");
  f.gate.claims_pending = true;
  f.advance(kStreamTimeout / 2);
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(kStreamTimeout / 2 + 1ms);
  if (f.attempt(1).open) {
    f.attempt(1).answer(200, {}, "handle=h7");
  }
  CHECK(f.gate.claims.size() <= 1);
  while (!f.gate.claims.empty()) {
    f.gate.settle(true);
  }
  CHECK(f.runs() == 2);
}
