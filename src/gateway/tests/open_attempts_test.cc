// Tests of what several open attempts of one request must not do: run a request twice, exceed the
// limits of its route, or hide a back end that does not answer.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/fake_gate.h"
#include "tests/stalled_requests.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::event;
using gateway::testing::FakeCaller;
using gateway::testing::FakeExchange;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;
using gateway::testing::kAnswerTimeout;
using gateway::testing::kStreamTimeout;
using http::HttpErrc;

namespace {

const std::vector<http::Header> kLongPrompt = {
    {"x-ochrespring-prompt-parts", "aa:9000,bb:9000"},
    {"x-ochrespring-token-counts", "18000,50"},
};

/// Back ends `b1`, `b2`, and engines `e1` to `e4`. `/once-or-refused/` is a stream that must not
/// run twice, but may be sent to three engines.
struct OpenAttemptsFixture : GatewayFixture {
  FakeGate gate;
  std::unique_ptr<Gateway> gateway_under_test;

  explicit OpenAttemptsFixture(bool replicated = false) {
    Configuration configuration = make_configuration(2);
    configuration.routes.push_back(make_route("/thrice/", RequestKind::kStreaming, "llm", 3, true));
    configuration.routes.push_back(
        make_route("/once-or-refused/", RequestKind::kStreaming, "llm", 3, false));
    configuration.routes.push_back(
        make_route("/idempotent-thrice/", RequestKind::kIdempotent, "relay", 3, false));
    Route long_once = make_route("/long-once/", RequestKind::kStreaming, "llm", 3, false);
    long_once.timeout = 20s;
    configuration.routes.push_back(std::move(long_once));
    Route long_route = make_route("/long/", RequestKind::kStreaming, "llm", 3, true);
    long_route.timeout = 20s;
    configuration.routes.push_back(std::move(long_route));
    configuration.services[1].engine->backs_up_streams = replicated;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
    for (const char* id : {"b1", "b2", "b3"}) {
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
  /// Starts a stream of which event 1 has arrived.
  std::shared_ptr<FakeCaller> begin_stream(const std::string& path,
                                           std::vector<http::Header> headers = {}) {
    auto caller = ask(path, std::move(headers));
    attempt(0).observer->on_head({200, {signature()}});
    attempt(0).observer->on_body(event(1));
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
  OpenAttemptsFixture f(true);
  const auto caller = f.resume_silent("/once-or-refused/x");
  f.refuse(1);
  CHECK(f.sends() == 2);
  CHECK(f.attempt(0).open);
  CHECK(f.attempt(0).reading);
  CHECK_FALSE(caller->ended());
}

TEST_CASE("a stream whose backup engine never answers is read on") {
  OpenAttemptsFixture f(true);
  f.resume_silent("/stream/x");
  f.advance(kStreamTimeout);
  CHECK(f.attempt(0).reading);
}

TEST_CASE("a retryable stream that its backup engine refused is read on while it is retried") {
  OpenAttemptsFixture f(true);
  f.resume_silent("/thrice/x");
  f.refuse(1);
  CHECK(f.attempt(0).open);
  CHECK(f.attempt(0).reading);
}

// A silent attempt that sends part of an event while the next send is being prefilled.
TEST_CASE("a prefill call beside an open attempt leads to one send") {
  OpenAttemptsFixture f;
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
  OpenAttemptsFixture f;
  f.begin_stream("/thrice/x", kLongPrompt);
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
  OpenAttemptsFixture f;
  f.begin_stream("/thrice/x");
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.advance(kStreamTimeout - 10ms);
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(20ms);
  CHECK(f.sends() == 2);
  CHECK(f.statistics.attempts_stalled == 1);
}

TEST_CASE("a back end whose answer arrives slowly does not count as silent") {
  OpenAttemptsFixture f;
  f.ask("/idempotent/x");
  f.attempt(0).observer->on_head({200, {f.signature()}});
  for (int i = 0; i != 5; ++i) {
    f.advance(kAnswerTimeout / 3);
    f.attempt(0).observer->on_body("x");
  }
  CHECK(f.sends() == 1);
}

TEST_CASE("a back end that stays silent counts as failed also if no other one took over") {
  OpenAttemptsFixture f;
  f.ask("/idempotent/x");
  const BackendId silent = f.backend_of(0);
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  f.refuse(1);
  f.advance(3s);
  CHECK(f.loads.find(silent)->failure_share(f.time.now()) > 0);
}

TEST_CASE("a silent attempt is counted once") {
  OpenAttemptsFixture f;
  f.ask("/idempotent/x");
  for (const char* id : {"b1", "b2", "b3"}) {
    if (f.backend_of(0) != BackendId(id)) {
      f.fleet.remove(BackendId(id));
    }
  }
  f.advance(kAnswerTimeout * 4);
  CHECK(f.sends() == 1);
  CHECK(f.statistics.attempts_stalled == 1);
}

TEST_CASE("an event without data ends no other attempt") {
  OpenAttemptsFixture f;
  f.begin_stream("/resumable/x");
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(1).observer->on_head({200, {f.signature()}});
  f.attempt(1).observer->on_body(": waiting\n\n");
  CHECK(f.attempt(0).open);
}

TEST_CASE("an attempt that was never sent does not use up the attempts of the route") {
  OpenAttemptsFixture f;
  f.begin_stream("/resumable/x");
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(1).request_sent = false;
  f.attempt(0).observer->on_body(event(2));
  REQUIRE_FALSE(f.attempt(1).open);
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 3);
}

TEST_CASE("a denied retry budget is asked again") {
  OpenAttemptsFixture f;
  f.begin_stream("/resumable/x");
  f.budget.set({0, 0, 10s});
  f.advance(kStreamTimeout / 2 + kStreamTimeout / 2);
  REQUIRE(f.sends() == 1);
  f.budget.set({1.0, 1000, 10s});
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 2);
}

TEST_CASE("a caller that leaves ends all open attempts") {
  OpenAttemptsFixture f;
  const auto caller = f.ask("/idempotent/x");
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  caller->disconnect();
  CHECK_FALSE(f.attempt(0).open);
  CHECK_FALSE(f.attempt(1).open);
  CHECK(f.gateway_under_test->running() == 0);
}

TEST_CASE("the retry budget is charged once for each send beyond the first") {
  OpenAttemptsFixture f;
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
  OpenAttemptsFixture f;
  f.begin_stream("/thrice/x", kLongPrompt);
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

TEST_CASE("a signed error is delivered at once when the only other back end left is silent") {
  OpenAttemptsFixture f;
  const auto caller = f.ask("/idempotent-thrice/x");
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(1).answer(500, {f.signature()}, "failed");
  REQUIRE(f.sends() == 3);
  f.refuse(2);
  CHECK(caller->head.status == 500);
}

namespace {

/// What one back end has done.
struct BackendState {
  bool head = false;
  bool not_sent = false;
  bool refused = false;
  bool inside_event = false;
  std::uint64_t last_event = 0;
};

/// Drives one request with whatever its back ends and the gate may do.
struct RandomRequest {
  RandomRequest(const std::string& path, bool replicated, bool with_prefill) : f(replicated) {
    std::vector<http::Header> prompt = kLongPrompt;
    prompt.back().value = "18000,6000";
    caller = f.ask(path, prompt);
    send_part(f.attempt(0), states[0], false);
    send_part(f.attempt(0), states[0], false);
    if (with_prefill) {
      f.add_backend("p1", "llm", EngineRole::kPrefill);
    }
  }

  void step(std::uint8_t selector, std::uint8_t action) {
    const std::size_t index = selector % f.sends();
    FakeExchange& exchange = f.attempt(index);
    if (action < 4) {
      f.advance(std::chrono::milliseconds(selector % 2 == 0 ? 450 : 900));
    } else if (action == 4) {
      f.gate.claims_pending = !f.gate.claims_pending;
    } else if (action < 7 && !f.gate.claims.empty()) {
      f.gate.settle(action == 5);
      f.gate.full.clear();
    } else if (action == 15) {
      const BackendId engine = f.backend_of(index);
      f.fleet.remove(engine);
      f.gateway_under_test->on_backend_unregistered(engine);
    } else if (exchange.open && !exchange.header(f.names.phase).empty()) {
      answer_prefill(exchange, action);
    } else if (exchange.open) {
      answer_run(exchange, states[index], action);
    }
  }

  void answer_prefill(FakeExchange& exchange, std::uint8_t action) {
    if (action == 7) {
      exchange.answer(503, {{f.names.not_run, "1"}}, "");
    } else if (action == 9) {
      exchange.fail(HttpErrc::kReset, true);
    } else if (action > 9) {
      exchange.answer(200, {}, "handle=h" + std::to_string(f.sends()));
    }
  }

  void answer_run(FakeExchange& exchange, BackendState& state, std::uint8_t action) {
    if (action == 7 && !state.head) {
      state.refused = true;
      exchange.answer(503, {{f.names.not_run, "1"}}, "");
    } else if (action == 8 && !state.head) {
      state.not_sent = true;
      exchange.fail(HttpErrc::kConnect, false);
    } else if (action == 9) {
      exchange.fail(HttpErrc::kReset, true);
    } else if (action > 9) {
      send_part(exchange, state, action < 12);
    }
  }

  void send_part(FakeExchange& exchange, BackendState& state, bool half) {
    if (!std::exchange(state.head, true)) {
      const std::string after = exchange.header("last-event-id");
      state.last_event = after.empty() ? 0 : std::stoull(after);
      exchange.observer->on_head({200, {f.signature()}});
      return;
    }
    const std::string whole = event(state.last_event + 1);
    const std::string part = state.inside_event
                                 ? whole.substr(whole.size() / 2)
                                 : whole.substr(0, half ? whole.size() / 2 : whole.size());
    state.inside_event = !state.inside_event && half;
    state.last_event += state.inside_event ? 0 : 1;
    exchange.observer->on_body(part);
  }

  std::size_t arrived() {
    std::size_t count = 0;
    for (std::size_t i = 0; i != f.sends(); ++i) {
      count += f.attempt(i).header(f.names.phase).empty() && !states[i].not_sent ? 1 : 0;
    }
    return count;
  }
  /// Back ends that may have run the request, without those that resume another one's run.
  std::size_t may_have_run() {
    std::size_t count = 0;
    for (std::size_t i = 0; i != f.sends(); ++i) {
      const bool resumes = f.attempt(i).header(f.names.cache_source).ends_with("/r1");
      count += !resumes && !states[i].not_sent && !states[i].refused ? 1 : 0;
    }
    return count;
  }
  /// Whether the answer of an open attempt is read.
  bool reads() {
    return std::any_of(f.transport.started.begin(), f.transport.started.end(),
                       [](const auto& exchange) { return exchange->open && exchange->reading; });
  }
  std::size_t open() {
    return static_cast<std::size_t>(
        std::count_if(f.transport.started.begin(), f.transport.started.end(),
                      [](const auto& exchange) { return exchange->open; }));
  }
  std::size_t most_uses_of_a_handle() {
    std::map<std::string, std::size_t> uses;
    for (std::size_t i = 0; i != f.sends(); ++i) {
      const std::string handle = f.attempt(i).header(f.names.cache_source);
      uses[handle] += !handle.empty() && !states[i].not_sent ? 1 : 0;
    }
    std::size_t most = 0;
    for (const auto& [handle, count] : uses) {
      most = std::max(most, count);
    }
    return most;
  }
  bool events_in_order() const {
    if (caller->head.status != 200) {
      return true;
    }
    std::string expected;
    for (std::uint64_t id = 1; expected.size() < caller->body.size(); ++id) {
      expected += event(id);
    }
    return expected == caller->body;
  }

  OpenAttemptsFixture f;
  std::shared_ptr<FakeCaller> caller;
  std::map<std::size_t, BackendState> states;
};

void check_random_requests(const std::string& path, bool replicated, bool with_prefill) {
  CHECK(rc::check([=] {
    RandomRequest r(path, replicated, with_prefill);
    // Without the fixed size, small sequences would consist of the first few actions.
    const auto number = [](std::uint8_t end) {
      return rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::uint8_t>(0, end));
    };
    const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
        rc::gen::pair(number(60), number(replicated ? 16 : 15)));
    for (const auto& [selector, action] : steps) {
      if (r.caller->ended()) {
        break;
      }
      r.step(selector, action);
      RC_ASSERT(r.events_in_order());
      RC_ASSERT(replicated || r.arrived() <= 3U);
      RC_ASSERT(r.arrived() <= r.f.statistics.retries + 1);
      RC_ASSERT(path == "/long/x" || r.may_have_run() <= 1U);
      RC_ASSERT(r.most_uses_of_a_handle() <= 1U);
      RC_ASSERT(r.caller->ended() || r.reads() || !r.f.gate.claims.empty());
    }
    r.f.advance(21s);
    while (!r.f.gate.claims.empty()) {
      r.f.gate.settle(true);
    }
    RC_ASSERT(r.open() == 0U);
    RC_ASSERT(r.f.gateway_under_test->running() == 0U);
    for (const auto& [id, load] : r.f.loads.all()) {
      RC_ASSERT(load.in_flight() == 0U);
      RC_ASSERT(load.pending_prefill_tokens() == 0U);
    }
    r.f.advance(11s);
    r.f.unanswered.drop_expired(r.f.time.now());
    r.f.advance(11s);
    RC_ASSERT(r.f.budget.use(ServiceName("llm"), 1, r.f.time.now()).charged == 0U);
  }));
}

}  // namespace

TEST_CASE("whatever back ends and the gate do, limits of a request hold and nothing leaks") {
  check_random_requests("/long/x", false, false);
}

TEST_CASE("whatever back ends, prefill engines and the gate do, limits of a request hold") {
  check_random_requests("/long/x", false, true);
}

TEST_CASE(
    "whatever engines that back each other up do, a stream that must not run twice does not") {
  check_random_requests("/long-once/x", true, false);
}

TEST_CASE("whatever engines that back each other up do, a retryable stream keeps its limits") {
  check_random_requests("/long/x", true, false);
}

namespace {

/// Quarantines a request when one of its attempts is reported.
class QuarantiningGuard final : public RequestGuard {
 public:
  bool is_active() const override { return true; }
  SendVerdict check(const RequestIdentity& /*request*/) override { return SendVerdict::kAllowed; }
  Duration retry_after(const RequestIdentity& /*request*/) const override { return 1s; }
  void claim_trial(const RequestIdentity& /*request*/,
                   std::function<void(bool)> /*done*/) override {}
  std::set<BackendId> terminated_backends() const override { return {}; }
  void note_failure(const FailedAttempt& attempt) override {
    if (Gateway* reported_to = std::exchange(gateway, nullptr)) {
      reported_to->on_quarantined(attempt.request.fingerprint);
    }
  }
  void note_answer(const AnsweredAttempt& /*attempt*/) override {}
  void note_answered_parts(const std::vector<RequestFingerprint>& /*parts*/) override {}

  Gateway* gateway = nullptr;  ///< Null: does not quarantine.
};

}  // namespace

TEST_CASE("a request that the report of its own attempt quarantines ends once") {
  OpenAttemptsFixture f;
  QuarantiningGuard guard;
  Gateway gateway(f.environment_with(&guard, nullptr), [](auto done) { done(true); });
  auto caller = std::make_shared<FakeCaller>();
  gateway.handle(
      {"POST", "/idempotent-thrice/x", "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"},
      caller);
  REQUIRE(f.sends() == 1);
  SUBCASE("reset") {
    guard.gateway = &gateway;
    f.attempt(0).fail(HttpErrc::kReset, true);
  }
  SUBCASE("silent") {
    guard.gateway = &gateway;
    f.advance(kAnswerTimeout);
  }
  SUBCASE("silent beside another one") {
    f.advance(kAnswerTimeout);
    REQUIRE(f.sends() == 2);
    guard.gateway = &gateway;
    f.advance(kAnswerTimeout);
  }
  SUBCASE("two open at the deadline") {
    f.advance(kAnswerTimeout);
    f.advance(kAnswerTimeout);
    REQUIRE(f.sends() == 3);
    guard.gateway = &gateway;
    f.advance(2s);
  }
  SUBCASE("two open when the caller leaves") {
    f.advance(kAnswerTimeout);
    REQUIRE(f.sends() == 2);
    guard.gateway = &gateway;
    caller->disconnect();
  }
  SUBCASE("two open when the node stops") {
    f.advance(kAnswerTimeout);
    REQUIRE(f.sends() == 2);
    guard.gateway = &gateway;
    gateway.finish_all();
  }
  CHECK((caller->ended() || caller->disconnected));
  CHECK(gateway.running() == 0);
  for (const auto& sent : f.transport.started) {
    CHECK_FALSE(sent->open);
  }
}
