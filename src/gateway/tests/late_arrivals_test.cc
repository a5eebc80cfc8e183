// Tests that arrivals at back ends that stand still and resume stay within the retry budget.
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway_fixture.h"
#include "tests/window_use.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::FakeExchange;
using ochrespring::gateway::testing::GatewayFixture;
using ochrespring::gateway::testing::WindowUse;

namespace {

constexpr RetryBudgetSettings kBudget{.ratio = 0.2, .slack = 10, .window = 10s};
constexpr Duration kRequestPeriod = 20ms;
constexpr std::size_t kBackends = 4;

/// A gateway before back ends that refuse half of their requests. While one is paused, what is sent
/// to it waits in its socket; it reads all of that when it resumes, also requests that the gateway
/// has given up meanwhile.
class PausingBackends {
 public:
  PausingBackends() {
    fixture_.budget.set(kBudget);
    for (std::size_t i = 0; i != kBackends; ++i) {
      fixture_.add_backend("b" + std::to_string(i), "relay");
    }
  }

  void set_paused(std::size_t backend, bool paused) {
    const std::string endpoint = "b" + std::to_string(backend) + ":1";
    paused_[endpoint] = paused;
    if (!paused) {
      for (const auto& exchange : std::exchange(unread_[endpoint], {})) {
        arrive(*exchange);
      }
    }
  }

  void run(Duration span) {
    const MonotonicTime end = fixture_.time.now() + span;
    while (fixture_.time.now() < end) {
      use_.note_request(fixture_.time.now());
      fixture_.send("/idempotent/x", {{"x-request-id", std::to_string(++requests_)}});
      deliver();
      fixture_.advance(kRequestPeriod);
      deliver();
    }
  }

  const WindowUse& use() const { return use_; }

 private:
  void deliver() {
    while (delivered_ != fixture_.sends()) {
      const auto exchange = fixture_.transport.started[delivered_++];
      const std::string& endpoint = exchange->request.endpoint.value();
      if (paused_[endpoint]) {
        unread_[endpoint].push_back(exchange);
      } else {
        arrive(*exchange);
      }
    }
  }

  void arrive(FakeExchange& exchange) {
    if (arrivals_[exchange.header("x-request-id")]++ != 0) {
      use_.note_extra_arrival(fixture_.time.now());
    }
    if (!exchange.open) {
      return;
    }
    if (random_.chance(0.5)) {
      exchange.answer(503, {{fixture_.names.not_run, "1"}}, "");
    } else {
      exchange.answer(200, {fixture_.signature()}, "answer");
    }
  }

  GatewayFixture fixture_;
  SeededRandom random_{3};
  std::map<std::string, bool> paused_;
  std::map<std::string, std::vector<std::shared_ptr<FakeExchange>>> unread_;  ///< By endpoint.
  std::size_t delivered_ = 0;
  std::size_t requests_ = 0;
  std::map<std::string, int> arrivals_;
  WindowUse use_{kBudget};
};

}  // namespace

TEST_CASE("what paused back ends read late does not exceed the retry budget of any window") {
  PausingBackends backends;
  backends.run(12s);
  for (int pause = 0; pause != 5; ++pause) {
    backends.set_paused(0, true);
    backends.set_paused(1, true);
    backends.run(5s);
    backends.set_paused(0, false);
    backends.set_paused(1, false);
    backends.run(3s);
  }
  REQUIRE(backends.use().extra_arrivals() > 100);
  CHECK(backends.use().highest() <= 1.0);
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "a retry counts until a window after its back ends are known to have read it") {
  budget.set({.ratio = 0, .slack = 5, .window = 10s});
  add_backend("b1", "relay");
  add_backend("b2", "relay");
  const auto charged = [this] { return budget.use(ServiceName("relay"), 1, time.now()).charged; };
  send("/idempotent/x");
  const std::string silent = last().header(names.expected_instance);
  advance(400ms);
  REQUIRE(sends() == 2);
  last().answer(200, {signature()}, "answer");
  CHECK(statistics.sends_unanswered == 1);

  SUBCASE("after an answer of the silent back end to a later request") {
    add_backend(silent == "b1" ? "b2" : "b1", "relay", EngineRole::kNone, /*draining=*/true);
    send("/once/x");
    REQUIRE(last().header(names.expected_instance) == silent);
    last().answer(200, {signature()}, "answer");
    advance(9s);
    CHECK(charged() == 1);
    advance(2s);
    CHECK(charged() == 0);
  }
  SUBCASE("after the time that a back end may stand still") {
    advance(UnansweredSends::kRetention + 9s);
    CHECK(charged() == 1);
    unanswered.drop_expired(time.now());
    CHECK(charged() == 1);
    advance(11s);
    CHECK(charged() == 0);
  }
}
