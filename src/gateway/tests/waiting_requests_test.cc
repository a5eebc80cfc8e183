// Tests of requests that wait for a refresh because the current configuration lacks their route.
#include <doctest/doctest.h>

#include <functional>
#include <utility>
#include <vector>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace ochrespring::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// A gateway whose refreshes are completed by the test.
struct WaitingRequestFixture : GatewayFixture {
  std::vector<std::function<void(bool)>> refreshes;
  int idle = 0;
  Gateway gateway_under_test{{time, time, transport, fleet, loads, placement, budget, unanswered,
                              shares, names, engines, statistics, logger, [] { return 1U; }},
                             [this](auto done) { refreshes.push_back(std::move(done)); }};

  WaitingRequestFixture() {
    gateway_under_test.on_idle([this] { ++idle; });
  }
  std::shared_ptr<FakeCaller> ask(const std::string& path, std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    headers.push_back({"x-request-id", "r1"});
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test.handle({"POST", path, "", std::move(headers), "body"}, caller);
    return caller;
  }
  /// Applies a configuration that adds the route `/newer/`.
  void add_newer_route() {
    Configuration newer = make_configuration(2);
    newer.routes.push_back(make_route("/newer/", RequestKind::kNonIdempotent, "relay", 1, false));
    fleet.apply(std::move(newer));
  }
  void end_refresh(bool current) { std::exchange(refreshes, {}).at(0)(current); }
};

}  // namespace

TEST_CASE("a request that waits for the configuration is counted until it is answered") {
  WaitingRequestFixture fixture;
  const auto caller = fixture.ask("/unknown/1");
  CHECK(fixture.gateway_under_test.held().awaiting_configuration == 1);
  CHECK(fixture.gateway_under_test.running() == 1);
  fixture.end_refresh(true);
  CHECK(caller->head.status == 404);
  CHECK(fixture.gateway_under_test.running() == 0);
  CHECK(fixture.idle == 1);
}

TEST_CASE("a request whose route exists after the refresh is sent and is counted throughout") {
  WaitingRequestFixture fixture;
  fixture.add_backend("b", "relay");
  const auto caller = fixture.ask("/newer/1");
  fixture.add_newer_route();
  fixture.end_refresh(true);
  CHECK(fixture.idle == 0);
  CHECK(fixture.gateway_under_test.held().awaiting_configuration == 0);
  CHECK(fixture.gateway_under_test.held().awaiting_backend == 1);
  fixture.last().answer(200, {fixture.signature()}, "done");
  CHECK(caller->body == "done");
  CHECK(fixture.idle == 1);
}

// Back ends would otherwise work beyond the caller's deadline.
TEST_CASE("the wait for the configuration counts against the deadline") {
  WaitingRequestFixture fixture;
  fixture.add_backend("b", "relay");
  const auto caller = fixture.ask("/newer/1", {{fixture.names.deadline, "1000"}});
  fixture.add_newer_route();
  fixture.advance(300ms);
  fixture.end_refresh(true);
  CHECK(fixture.last().header(fixture.names.deadline) == "700");
}

TEST_CASE("a request that waits for the configuration is dropped when its caller disconnects") {
  WaitingRequestFixture fixture;
  const auto caller = fixture.ask("/unknown/1");
  caller->disconnect();
  CHECK(fixture.gateway_under_test.running() == 0);
  CHECK(fixture.idle == 1);
  CHECK(fixture.statistics.caller_gone == 1);
  fixture.end_refresh(true);
  CHECK_FALSE(caller->ended());
}

TEST_CASE("a stopping node refuses requests instead of refreshing the configuration") {
  WaitingRequestFixture fixture;
  fixture.gateway_under_test.set_shutdown_time(fixture.time.now() + 4s);
  const auto caller = fixture.ask("/unknown/1");
  CHECK(fixture.refreshes.empty());
  CHECK(caller->head.status == 503);
  CHECK(caller->header("retry-after") == "0.020000");
  CHECK(fixture.statistics.refused == 1);
}

TEST_CASE("when the process stops, the answer to each held request says whether it may have run") {
  WaitingRequestFixture fixture;
  fixture.add_backend("b", "relay");
  const auto waiting = fixture.ask("/unknown/1");
  const auto sent = fixture.ask("/once/1");
  const auto repeatable = fixture.ask("/idempotent/1");
  fixture.gateway_under_test.finish_all();
  CHECK(waiting->head.status == 503);
  CHECK(sent->head.status == 502);
  CHECK(repeatable->head.status == 502);
  CHECK(fixture.gateway_under_test.running() == 0);
  CHECK(fixture.idle == 1);
  CHECK_FALSE(fixture.last().open);
}

TEST_CASE(
    "when the process stops a request in prefill is answered as not run, and a started answer is "
    "aborted") {
  WaitingRequestFixture fixture;
  fixture.add_backend("p", "llm", EngineRole::kPrefill);
  fixture.add_backend("d", "llm", EngineRole::kDecode);
  const auto in_prefill = fixture.ask("/stream/1", {{fixture.names.prompt_parts, "a:4000"},
                                                    {fixture.names.token_counts, "4000,10"}});
  REQUIRE(fixture.last().header(fixture.names.phase) == fixture.names.phase_prefill);
  const auto begun = fixture.ask("/stream/2");
  REQUIRE(fixture.last().header(fixture.names.phase).empty());
  fixture.last().observer->on_head(
      {200, {fixture.signature(), {"content-type", "text/event-stream"}}});
  fixture.last().observer->on_body("id: 1\ndata: x\n\n");
  fixture.gateway_under_test.finish_all();
  CHECK(in_prefill->head.status == 503);
  CHECK(begun->aborted);
  CHECK(fixture.gateway_under_test.running() == 0);
}
