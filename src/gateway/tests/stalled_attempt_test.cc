// Tests of requests whose back end is silent for longer than the progress timeout and may go on.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/fake_gate.h"
#include "tests/stalled_requests.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::event;
using gateway::testing::events;
using gateway::testing::FakeCaller;
using gateway::testing::FakeExchange;
using gateway::testing::FakeGate;
using gateway::testing::GatewayFixture;
using gateway::testing::kAnswerTimeout;
using gateway::testing::kFirstEventTimeout;
using gateway::testing::kStreamTimeout;
using http::HttpErrc;

namespace {

/// Allows every request until the test refuses them.
class StubGuard final : public RequestGuard {
 public:
  bool is_active() const override { return refuses; }
  SendVerdict check(const RequestIdentity& /*request*/) override { return SendVerdict::kRefused; }
  Duration retry_after(const RequestIdentity& /*request*/) const override { return 1s; }
  void claim_trial(const RequestIdentity& /*request*/,
                   std::function<void(bool)> /*done*/) override {}
  std::set<BackendId> terminated_backends() const override { return {}; }
  void note_failure(const FailedAttempt& /*attempt*/) override {}
  void note_answer(const AnsweredAttempt& /*attempt*/) override {}
  void note_answered_parts(const std::vector<RequestFingerprint>& /*parts*/) override {}

  bool refuses = false;
};

/// Disabled until the test lets it reject or hold the requests that join it.
class ScriptedQueue final : public RequestQueue {
 public:
  bool enabled() const override { return rejects || holds; }
  bool has_waiting(const ServiceName& /*service*/) const override { return true; }
  std::size_t waiting() const override { return 0; }
  JoinResult join(QueueRequest /*request*/, QueueWaiter& waiter) override {
    waiting_request = &waiter;
    JoinResult result;
    if (rejects) {
      result.rejection = QueueRejection{};
    } else {
      result.place = std::make_unique<QueuePlace>();
    }
    return result;
  }
  void note_attempt_ended(const ServiceName& /*service*/, bool /*completed*/) override {}

  bool rejects = false;
  bool holds = false;  ///< Requests wait until the test dispatches or rejects them.
  QueueWaiter* waiting_request = nullptr;
};

struct StallFixture : GatewayFixture {
  StubGuard guard;
  FakeGate gate;
  ScriptedQueue queue;
  std::unique_ptr<Gateway> gateway_under_test;

  StallFixture() {
    Configuration configuration = make_configuration(2);
    configuration.routes.push_back(make_route("/thrice/", RequestKind::kStreaming, "llm", 3, true));
    fleet.apply(std::move(configuration));
    for (const char* id : {"e1", "e2", "e3", "e4"}) {
      add_backend(id, "llm", EngineRole::kDecode);
    }
    for (const char* id : {"b1", "b2", "b3"}) {
      add_backend(id, "relay");
    }
    Environment made = environment_with(&guard, &gate);
    made.replicate_retryable_streams = false;
    made.queue = &queue;
    gateway_under_test = std::make_unique<Gateway>(std::move(made), [](auto done) { done(true); });
  }

  std::shared_ptr<FakeCaller> ask(const std::string& path) {
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test->handle({"POST", path, "", {{"host", "h"}, {"x-request-id", "r1"}}, "body"},
                               caller);
    REQUIRE_FALSE(transport.started.empty());
    return caller;
  }
  /// Starts a stream of which event 1 has arrived.
  std::shared_ptr<FakeCaller> begin_stream(const std::string& path = "/resumable/x") {
    auto caller = ask(path);
    start_answer(0, 1);
    return caller;
  }
  /// Sends the head of a stream and its events up to `last`.
  void start_answer(std::size_t exchange, std::uint64_t last) {
    attempt(exchange).observer->on_head({200, {signature()}});
    if (last != 0 && attempt(exchange).open) {
      attempt(exchange).observer->on_body(events(1, last));
    }
  }
  FakeExchange& attempt(std::size_t index) { return *transport.started.at(index); }
  BackendId backend_of(std::size_t index) {
    const std::string address = attempt(index).request.endpoint.value();
    return BackendId(address.substr(0, address.find(':')));
  }
  /// Sends the events up to `last` to the end of the stream.
  void finish_stream(std::size_t exchange, std::uint64_t first, std::uint64_t last) {
    REQUIRE(attempt(exchange).open);
    attempt(exchange).observer->on_body(events(first, last));
    REQUIRE(attempt(exchange).open);
    attempt(exchange).observer->on_complete();
  }
  void refuse(std::size_t exchange) { attempt(exchange).answer(503, {{names.not_run, "1"}}, ""); }
  bool all_closed() const {
    return std::none_of(transport.started.begin(), transport.started.end(),
                        [](const auto& exchange) { return exchange->open; });
  }
  std::uint32_t in_flight() const {
    std::uint32_t all = 0;
    for (const char* id : {"e1", "e2", "e3", "e4", "b1", "b2", "b3"}) {
      const BackendLoad* load = loads.find(BackendId(id));
      all += load != nullptr ? load->in_flight() : 0;
    }
    return all;
  }
};

/// What a request has received when its back end falls silent.
struct StallState {
  std::string name;
  const char* path;
  Duration progress_timeout;
  bool head;
  std::uint64_t last_event;  ///< 0: none.
};

const StallState kStallStates[] = {
    {"no head of a stream", "/resumable/x", kFirstEventTimeout, false, 0},
    {"head of a stream", "/resumable/x", kFirstEventTimeout, true, 0},
    {"events of a stream", "/resumable/x", kStreamTimeout, true, 1},
    {"no head of an answer", "/idempotent/x", kAnswerTimeout, false, 0},
    {"head of an answer", "/idempotent/x", kAnswerTimeout, true, 0},
};

/// Why no other back end takes a request over. `prevent` is called when the back end has fallen
/// silent, and lets the progress timeout pass.
struct Obstacle {
  std::string name;
  void (*prevent)(StallFixture& f, const StallState& state);
};

void try_second(StallFixture& f, const StallState& state) {
  f.advance(state.progress_timeout);
  REQUIRE(f.sends() == 2);
  CHECK(f.last().header("last-event-id") == (state.last_event != 0 ? "1" : ""));
}

std::set<BackendId> all_backends() {
  std::set<BackendId> all;
  for (const char* id : {"e1", "e2", "e3", "e4", "b1", "b2", "b3"}) {
    all.insert(BackendId(id));
  }
  return all;
}

const Obstacle kObstacles[] = {
    {"refused",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.refuse(1);
     }},
    {"refused, then the answer breaks off",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().observer->on_head({503, {{f.names.not_run, "1"}}});
       f.last().fail(HttpErrc::kTruncated, true);
     }},
    {"another back end has the address",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().answer(421, {}, "");
     }},
    {"reset",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().fail(HttpErrc::kReset, true);
     }},
    {"closed a reused connection",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().fail(HttpErrc::kStaleConnection, true);
     }},
    {"acknowledges nothing",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().fail(HttpErrc::kTimeout, true);
     }},
    {"link cut",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().fail(HttpErrc::kLinkCut, true);
     }},
    {"answered without signature",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().answer(200, {}, "garbage");
     }},
    {"broken off after its head",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().observer->on_head({200, {f.signature()}});
       f.last().fail(HttpErrc::kTruncated, true);
     }},
    {"event over the limit",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.last().observer->on_head({500, {f.signature()}});
       f.last().observer->on_body(std::string((1U << 20U) + 1, 'x'));
     }},
    {"no connection to any",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       for (std::size_t index = 1; index != f.sends(); ++index) {
         f.attempt(index).fail(HttpErrc::kConnect, false);
       }
     }},
    {"no path to any",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       for (std::size_t index = 1; index != f.sends(); ++index) {
         f.attempt(index).fail(HttpErrc::kNoPath, false);
       }
     }},
    {"withdrawn because of a backoff",
     [](StallFixture& f, const StallState& state) {
       try_second(f, state);
       f.gate.backed_off = all_backends();
       f.gate.full = f.gate.backed_off;
       CHECK_FALSE(f.connect());
     }},
    {"rate limits deny it",
     [](StallFixture& f, const StallState& state) {
       f.gate.denies = all_backends();
       f.advance(state.progress_timeout);
     }},
    {"a pending claim is denied",
     [](StallFixture& f, const StallState& state) {
       f.gate.claims_pending = true;
       f.advance(state.progress_timeout);
       f.gate.denies = all_backends();
       REQUIRE(f.gate.claims.size() == 1);
       f.gate.settle(false);
     }},
    {"a claim is granted for a back end that has been removed",
     [](StallFixture& f, const StallState& state) {
       f.gate.claims_pending = true;
       f.advance(state.progress_timeout);
       REQUIRE(f.gate.claims.size() == 1);
       for (const BackendId& backend : all_backends()) {
         f.fleet.remove(backend);
       }
       f.gate.settle(true);
     }},
    {"the others have been removed",
     [](StallFixture& f, const StallState& state) {
       for (const BackendId& backend : all_backends()) {
         if (backend != f.backend_of(0)) {
           f.fleet.remove(backend);
         }
       }
       f.advance(state.progress_timeout);
       CHECK(f.sends() == 1);
     }},
    {"all others drain",
     [](StallFixture& f, const StallState& state) {
       for (const BackendId& backend : all_backends()) {
         f.fleet.note_leaving(backend);
       }
       f.advance(state.progress_timeout);
       CHECK(f.sends() == 1);
     }},
    {"the queue rejects it",
     [](StallFixture& f, const StallState& state) {
       f.queue.rejects = true;
       f.advance(state.progress_timeout);
       CHECK(f.sends() == 1);
     }},
    {"the queue rejects it later, as its node stops",
     [](StallFixture& f, const StallState& state) {
       f.queue.holds = true;
       f.advance(state.progress_timeout);
       REQUIRE(f.queue.waiting_request != nullptr);
       f.queue.waiting_request->on_rejected({.reason = QueueRejectReason::kStopping});
     }},
    {"it is quarantined",
     [](StallFixture& f, const StallState& state) {
       f.guard.refuses = true;
       f.advance(state.progress_timeout);
       CHECK(f.sends() == 1);
     }},
    {"it is quarantined while its claim is pending",
     [](StallFixture& f, const StallState& state) {
       f.gate.claims_pending = true;
       f.advance(state.progress_timeout);
       f.guard.refuses = true;
       REQUIRE(f.gate.claims.size() == 1);
       f.gate.settle(true);
     }},
    {"the retry budget is spent",
     [](StallFixture& f, const StallState& state) {
       f.budget.set({0, 0, 10s});
       f.advance(state.progress_timeout);
       CHECK(f.sends() == 1);
     }},
};

}  // namespace

TEST_CASE("a request goes on at its silent back end if no other one takes it over") {
  for (const StallState& state : kStallStates) {
    for (const Obstacle& obstacle : kObstacles) {
      CAPTURE(state.name);
      CAPTURE(obstacle.name);
      StallFixture f;
      const auto caller = f.ask(state.path);
      if (state.head) {
        f.start_answer(0, state.last_event);
      }
      obstacle.prevent(f, state);
      REQUIRE_FALSE(caller->ended());
      REQUIRE(f.attempt(0).open);
      if (!state.head) {
        f.attempt(0).observer->on_head({200, {f.signature()}});
      }
      f.finish_stream(0, state.last_event + 1, 3);
      CHECK(caller->finished);
      CHECK(caller->header(f.names.signature) == "sig");
      CHECK(caller->body == events(1, 3));
      CHECK(f.all_closed());
      CHECK(f.in_flight() == 0);
      CHECK(f.statistics.answered == 1);
      CHECK(f.gateway_under_test->running() == 0);
    }
  }
}

TEST_CASE("a stream whose silent back end sends the next event first is not continued elsewhere") {
  StallFixture f;
  const auto caller = f.begin_stream();
  SUBCASE("while the other one has not answered") {
    f.advance(kStreamTimeout);
    REQUIRE(f.sends() == 2);
  }
  SUBCASE("while the other one has sent its head") {
    f.advance(kStreamTimeout);
    REQUIRE(f.sends() == 2);
    f.last().observer->on_head({200, {{f.names.signature, "other"}}});
  }
  SUBCASE("while a claim is pending") {
    f.gate.claims_pending = true;
    f.advance(kStreamTimeout);
  }
  SUBCASE("while it is queued") {
    f.queue.holds = true;
    f.advance(kStreamTimeout);
  }
  REQUIRE(f.attempt(0).open);
  f.attempt(0).observer->on_body(event(2));
  CHECK((f.sends() == 1 || !f.attempt(1).open));
  while (!f.gate.claims.empty()) {
    f.gate.settle(true);
  }
  CHECK(f.sends() <= 2);
  f.finish_stream(0, 3, 3);
  CHECK(caller->finished);
  CHECK(caller->header(f.names.signature) == "sig");
  CHECK(caller->body == events(1, 3));
  CHECK(f.in_flight() == 0);
}

// Also guards against doubled events.
TEST_CASE("a stream continues at the back end that sends the next event first") {
  StallFixture f;
  const auto caller = f.begin_stream();
  f.attempt(0).observer->on_body("id: 2\nda");
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  CHECK(f.attempt(0).open);
  f.last().observer->on_head({200, {{f.names.signature, "other"}}});
  CHECK(f.attempt(0).open);
  f.last().observer->on_body(event(2));
  CHECK_FALSE(f.attempt(0).open);
  f.finish_stream(1, 3, 4);
  CHECK(caller->header(f.names.signature) == "sig");
  CHECK(caller->body == events(1, 4));
  CHECK(caller->finished);
  CHECK(f.in_flight() == 0);
}

TEST_CASE("bytes of an incomplete event end no other attempt") {
  StallFixture f;
  const auto caller = f.begin_stream();
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  f.attempt(0).observer->on_body("id: 2\nda");
  CHECK(f.attempt(0).open);
  CHECK(f.attempt(1).open);
  SUBCASE("completed by the other one") {
    f.start_answer(1, 0);
    f.attempt(1).observer->on_body(event(2));
    CHECK_FALSE(f.attempt(0).open);
    f.finish_stream(1, 3, 3);
  }
  SUBCASE("completed by the same one") {
    f.attempt(0).observer->on_body("ta: d2\n\n");
    CHECK_FALSE(f.attempt(1).open);
    f.finish_stream(0, 3, 3);
  }
  SUBCASE("completed by the same one after the other one refused") {
    f.refuse(1);
    f.attempt(0).observer->on_body("ta: d2\n\n");
    f.finish_stream(0, 3, 3);
  }
  CHECK(caller->finished);
  CHECK(caller->body == events(1, 3));
}

TEST_CASE("a stream without an event yet goes on at its silent back end") {
  StallFixture f;
  const auto caller = f.ask("/resumable/x");
  SUBCASE("before the head") {}
  SUBCASE("after the head") {
    f.start_answer(0, 0);
  }
  f.advance(kFirstEventTimeout);
  REQUIRE(f.sends() == 2);
  f.refuse(1);
  REQUIRE_FALSE(caller->ended());
  if (caller->head.status == 0) {
    f.attempt(0).observer->on_head({200, {f.signature()}});
  }
  f.finish_stream(0, 1, 2);
  CHECK(caller->body == events(1, 2));
  CHECK(caller->finished);
}

TEST_CASE("a repeatable request gets the first answer, whichever back end gives it") {
  StallFixture f;
  const auto caller = f.ask("/idempotent/x");
  f.advance(kAnswerTimeout);
  REQUIRE(f.sends() == 2);
  CHECK(f.attempt(0).open);
  SUBCASE("the first one, after the second one refused") {
    f.refuse(1);
    f.attempt(0).answer(200, {f.signature()}, "answer");
  }
  SUBCASE("the first one, after the second one was reset") {
    f.attempt(1).fail(HttpErrc::kReset, true);
    f.attempt(0).answer(200, {f.signature()}, "answer");
  }
  SUBCASE("the first one, before the second one") {
    f.attempt(0).answer(200, {f.signature()}, "answer");
    CHECK_FALSE(f.attempt(1).open);
  }
  SUBCASE("the first one, whose answer arrives in parts") {
    f.attempt(0).observer->on_head({200, {f.signature()}});
    f.attempt(0).observer->on_body("ans");
    CHECK(f.attempt(1).open);
    f.attempt(0).observer->on_body("wer");
    f.attempt(0).observer->on_complete();
  }
  SUBCASE("the second one") {
    f.attempt(1).answer(200, {f.signature()}, "answer");
    CHECK_FALSE(f.attempt(0).open);
  }
  SUBCASE("the second one, after the first one was reset") {
    f.attempt(0).fail(HttpErrc::kReset, true);
    REQUIRE_FALSE(caller->ended());
    f.attempt(1).answer(200, {f.signature()}, "answer");
  }
  SUBCASE("the second one, after the first one refused") {
    f.refuse(0);
    REQUIRE_FALSE(caller->ended());
    f.attempt(1).answer(200, {f.signature()}, "answer");
  }
  SUBCASE("the second one, after the first one failed it") {
    f.attempt(0).answer(500, {f.signature()}, "failed");
    REQUIRE_FALSE(caller->ended());
    f.attempt(1).answer(200, {f.signature()}, "answer");
  }
  CHECK(caller->head.status == 200);
  CHECK(caller->body == "answer");
  CHECK(f.sends() == 2);
  CHECK(f.all_closed());
  CHECK(f.in_flight() == 0);
}

TEST_CASE("a request that each of its back ends has refused was not run") {
  StallFixture f;
  const auto caller = f.ask("/idempotent/x");
  f.advance(kAnswerTimeout);
  f.refuse(1);
  f.refuse(0);
  CHECK(caller->head.status == 503);
  CHECK(f.statistics.refused == 1);
}

TEST_CASE("a signed error is delivered at once if only a silent back end is left") {
  StallFixture f;
  const auto caller = f.ask("/idempotent/x");
  f.advance(kAnswerTimeout);
  f.attempt(1).answer(500, {f.signature()}, "failed");
  CHECK(caller->head.status == 500);
  CHECK(f.all_closed());
}

TEST_CASE("a request with a silent back end ends with its caller, its deadline or its node") {
  StallFixture f;
  const auto caller = f.begin_stream();
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  SUBCASE("caller") {
    caller->disconnect();
  }
  SUBCASE("deadline") {
    f.advance(2s);
    CHECK(caller->aborted);
  }
  SUBCASE("deadline, after the other one refused") {
    f.refuse(1);
    f.advance(2s);
    CHECK(caller->aborted);
  }
  SUBCASE("stop") {
    f.gateway_under_test->finish_all();
    CHECK(caller->aborted);
  }
  SUBCASE("both were reset") {
    f.attempt(0).fail(HttpErrc::kReset, true);
    REQUIRE_FALSE(caller->ended());
    f.attempt(1).fail(HttpErrc::kReset, true);
    CHECK(caller->aborted);
  }
  CHECK(f.all_closed());
  CHECK(f.gateway_under_test->running() == 0);
  CHECK(f.in_flight() == 0);
}

TEST_CASE("a stream is sent to no more back ends than its route allows") {
  StallFixture f;
  const auto caller = f.begin_stream("/thrice/x");
  f.advance(kStreamTimeout);
  REQUIRE(f.sends() == 2);
  SUBCASE("the second one refuses") {
    f.refuse(1);
    REQUIRE(f.sends() == 3);
    f.refuse(2);
  }
  SUBCASE("the second one is silent, too") {
    f.advance(kStreamTimeout);
    REQUIRE(f.sends() == 3);
    CHECK(f.attempt(0).open);
    CHECK(f.attempt(1).open);
    f.refuse(2);
  }
  SUBCASE("the first one is reset while the second one works") {
    f.attempt(0).fail(HttpErrc::kReset, true);
    CHECK(f.sends() == 2);
    REQUIRE(f.attempt(1).open);
    f.attempt(1).observer->on_head({200, {f.signature()}});
    f.finish_stream(1, 2, 3);
    CHECK(caller->body == events(1, 3));
    return;
  }
  f.advance(100ms);
  CHECK(f.sends() == 3);
  REQUIRE(f.attempt(0).open);
  f.finish_stream(0, 2, 3);
  CHECK(caller->body == events(1, 3));
  CHECK(f.all_closed());
  CHECK(f.statistics.retries == 2);
}

// While bytes wait for the caller, the node may not read from the back end.
TEST_CASE("a caller that reads slowly does not make its back end count as silent") {
  StallFixture f;
  const auto caller = f.begin_stream();
  caller->buffered = 1;
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 1);
  caller->buffered = 0;
  f.advance(kStreamTimeout);
  CHECK(f.sends() == 2);
}

// Attempts that are open at once must neither double nor lose events, nor end an answer early.
TEST_CASE(
    "whatever silent back ends do, a stream has each event once, and ends early only if no "
    "attempt is left") {
  CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
    StallFixture f;
    const auto caller = f.begin_stream("/thrice/x");
    std::vector<std::uint64_t> sent{1};  // Last event of each attempt.
    const auto open = [&](std::size_t index) { return f.attempt(index).open; };
    for (const auto& [selector, action] : steps) {
      if (caller->ended()) {
        break;
      }
      while (sent.size() < f.sends()) {
        const std::string after = f.attempt(sent.size()).header("last-event-id");
        sent.push_back(after.empty() ? 0 : std::stoull(after));
        f.attempt(sent.size() - 1).observer->on_head({200, {f.signature()}});
      }
      const std::size_t index = selector % f.sends();
      switch (action % 6) {
        case 0:
        case 1:
          f.advance(std::chrono::milliseconds(100 * (1 + selector % 10)));
          break;
        case 2:
          if (open(index)) {
            f.attempt(index).observer->on_body(event(++sent[index]));
          }
          break;
        case 3:
          if (open(index) && sent[index] >= 3) {
            f.attempt(index).observer->on_complete();
          }
          break;
        case 4:
          if (open(index)) {
            f.attempt(index).fail(HttpErrc::kReset, true);
          }
          break;
        default:
          f.attempt(index).request_sent = true;
          break;
      }
      const std::uint64_t received = caller->body.empty() ? 0 : [&] {
        std::uint64_t last = 0;
        while (events(1, last) != caller->body && last < 300) {
          ++last;
        }
        return last;
      }();
      RC_ASSERT(caller->body == events(1, received));
      bool any_open = false;
      for (std::size_t i = 0; i != f.sends(); ++i) {
        any_open = any_open || open(i);
      }
      RC_ASSERT(f.sends() <= 3U);
      RC_ASSERT(any_open != caller->ended());
    }
    f.advance(2s);
    RC_ASSERT(caller->ended());
    RC_ASSERT(f.all_closed());
    RC_ASSERT(f.in_flight() == 0U);
  }));
}
