// Answers of many back ends at once. Guards against a node that holds more of them in sum than its
// memory allows, though each is small enough by itself.
#include "gateway/held_answers.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using gateway::testing::FakeCaller;
using gateway::testing::GatewayFixture;

namespace {

constexpr std::size_t kPart = 8U << 10U;
constexpr std::size_t kParts = 64;  ///< Half of what may be held of one answer.
constexpr std::size_t kRequests = 200;
/// The limit of the sum, and small answers beside it.
constexpr std::size_t kMostHeld = (16U << 20U) + kRequests * (16U << 10U);

/// Requests whose answers arrive in parts, all at the same time.
struct ManyAnswersFixture : GatewayFixture {
  ManyAnswersFixture() { add_backend("b1", "relay"); }

  void ask(const std::string& path) {
    for (std::size_t i = 0; i != kRequests; ++i) {
      callers.push_back(send(path));
      exchanges.push_back(transport.started.back());
    }
  }
  /// Sends one part of each answer that the gateway still reads. Returns what is held of all.
  std::size_t send_parts(const std::string& part) {
    std::size_t held = 0;
    for (std::size_t i = 0; i != kRequests; ++i) {
      if (exchanges[i]->open) {
        exchanges[i]->observer->on_body(part);
        sent[i] += part.size();
      }
      held += exchanges[i]->open ? sent[i] - callers[i]->body.size() : 0;
    }
    return held;
  }

  std::vector<std::shared_ptr<FakeCaller>> callers;
  std::vector<std::shared_ptr<testing::FakeExchange>> exchanges;
  std::vector<std::size_t> sent = std::vector<std::size_t>(kRequests);
};

}  // namespace

TEST_CASE_FIXTURE(ManyAnswersFixture, "what is held of answers is bounded in sum") {
  std::uint16_t status = 200;
  std::vector<http::Header> headers{signature()};
  std::string path = "/once/x";
  std::string part(kPart, 'b');
  SUBCASE("successes") {}
  SUBCASE("errors") {
    status = 500;
  }
  SUBCASE("successes without signature") {
    headers.clear();
  }
  SUBCASE("events that do not end") {
    add_backend("e1", "llm", EngineRole::kDecode);
    path = "/stream/x";
    part = "data: " + part + "\n";
  }
  ask(path);
  for (const auto& exchange : exchanges) {
    exchange->observer->on_head({status, headers});
  }
  std::size_t most = 0;
  for (std::size_t i = 0; i != kParts; ++i) {
    most = std::max(most, send_parts(part));
  }
  CHECK(most <= kMostHeld);
  CHECK(statistics.answers_released_early > 0);
}

// Guards against an answer that is lost, or looks whole too early, because others are held.
TEST_CASE_FIXTURE(ManyAnswersFixture, "a success that is released early arrives whole") {
  ask("/once/x");
  for (const auto& exchange : exchanges) {
    exchange->observer->on_head({200, {signature()}});
  }
  for (std::size_t i = 0; i != kParts; ++i) {
    send_parts(std::string(kPart, 'b'));
  }
  for (std::size_t i = 0; i != kRequests; ++i) {
    REQUIRE(exchanges[i]->open);
    CHECK_FALSE(callers[i]->ended());
    if (i % 2 == 0) {
      exchanges[i]->observer->on_complete();
      CHECK(callers[i]->finished);
      CHECK(callers[i]->body.size() == kParts * kPart);
    } else {
      exchanges[i]->fail(http::HttpErrc::kTruncated, true);
      CHECK(callers[i]->ended());
      CHECK((callers[i]->aborted || callers[i]->head.status == 502));
    }
  }
}

// Guards against answers that count although they were passed on.
TEST_CASE_FIXTURE(ManyAnswersFixture, "an answer that has ended is no longer held") {
  constexpr int kRounds = 4;
  for (int round = 0; round != kRounds; ++round) {
    const auto caller = send("/once/x");
    last().observer->on_head({200, {signature()}});
    last().observer->on_body(std::string(900U << 10U, 'b'));
    CHECK(caller->body.empty());
    last().observer->on_complete();
    CHECK(caller->finished);
  }
  CHECK(statistics.answers_released_early == 0);
}

// Guards against a stream that lasts as long as its back end sends what tells the caller nothing.
TEST_CASE_FIXTURE(GatewayFixture,
                  "a stream is broken off where its back end repeats itself without end") {
  add_backend("e1", "llm", EngineRole::kDecode);
  constexpr std::size_t kEndless = 16U << 20U;
  std::string part;
  SUBCASE("comments") {
    part = ": " + std::string(kPart, 'c') + "\n\n";
  }
  SUBCASE("blank lines") {
    part = std::string(kPart, '\n');
  }
  SUBCASE("events before the last one") {
    part = "id: 4\ndata: " + std::string(kPart, 'd') + "\n\n";
  }
  const auto caller = send("/stream/x");
  last().observer->on_head({200, {signature()}});
  last().observer->on_body("id: 5\ndata: x\n\n");
  std::size_t sent = 0;
  while (sent < kEndless && last().open) {
    last().observer->on_body(part);
    sent += part.size();
  }
  CHECK(sent < kEndless);
  CHECK(caller->aborted);
  CHECK_FALSE(caller->finished);
}

TEST_CASE("small answers are held whatever else is held") {
  const auto all = std::make_shared<HeldAnswers>(1000);
  HeldBytes large(all);
  large.resize(1U << 20U);
  CHECK(large.must_release());
  HeldBytes small(all);
  small.resize(4U << 10U);
  CHECK_FALSE(small.must_release());
  large.resize(0);
  CHECK(all->total() == (4U << 10U));
}
