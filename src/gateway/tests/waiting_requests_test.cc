// Requests whose route the configuration in force lacks, while it is found out whether there is a
// newer one.
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

/// A gateway whose refreshes the test ends.
struct WaitingWorld : GatewayFixture {
  std::vector<std::function<void(bool)>> refreshes;
  int idle = 0;
  Gateway waiting{{time, time, transport, fleet, loads, placement, budget, shares, names, engines,
                   statistics, logger, [] { return 1U; }},
                  [this](auto done) { refreshes.push_back(std::move(done)); }};

  WaitingWorld() {
    waiting.on_idle([this] { ++idle; });
  }
  std::shared_ptr<FakeCaller> ask(const std::string& path, std::vector<http::Header> headers = {}) {
    headers.push_back({"host", "h"});
    headers.push_back({"x-request-id", "r1"});
    auto caller = std::make_shared<FakeCaller>();
    waiting.handle({"POST", path, "", std::move(headers), "body"}, caller);
    return caller;
  }
  void end_refresh(bool current) { std::exchange(refreshes, {}).at(0)(current); }
};

}  // namespace

TEST_CASE("a request that waits for the configuration counts until it is answered") {
  WaitingWorld world;
  const auto caller = world.ask("/unknown/1");
  CHECK(world.waiting.held().at_configuration == 1);
  CHECK(world.waiting.running() == 1);
  world.end_refresh(true);
  CHECK(caller->head.status == 404);
  CHECK(world.waiting.running() == 0);
  CHECK(world.idle == 1);
}

TEST_CASE("a request whose route turns out to exist goes on to a back end and counts throughout") {
  WaitingWorld world;
  world.add_backend("b", "relay");
  const auto caller = world.ask("/newer/1");
  Configuration newer = GatewayFixture::make_configuration(2);
  newer.routes.push_back(
      GatewayFixture::make_route("/newer/", RequestKind::kNonIdempotent, "relay", 1, false));
  world.fleet.apply(std::move(newer));
  world.end_refresh(true);
  CHECK(world.idle == 0);
  CHECK(world.waiting.held().at_configuration == 0);
  CHECK(world.waiting.held().at_back_ends == 1);
  world.last().answer(200, {world.signature()}, "done");
  CHECK(caller->body == "done");
  CHECK(world.idle == 1);
}

TEST_CASE("a caller that leaves while its request waits leaves nothing behind") {
  WaitingWorld world;
  const auto caller = world.ask("/unknown/1");
  caller->leave();
  CHECK(world.waiting.running() == 0);
  CHECK(world.idle == 1);
  CHECK(world.statistics.caller_gone == 1);
  world.end_refresh(true);
  CHECK_FALSE(caller->ended());
}

TEST_CASE("near its end a node has nobody wait for a newer configuration") {
  WaitingWorld world;
  world.waiting.end_at(world.time.now() + 4s);
  const auto caller = world.ask("/unknown/1");
  CHECK(world.refreshes.empty());
  CHECK(caller->head.status == 503);
  CHECK(caller->header("retry-after") == "0.020000");
  CHECK(world.statistics.refused == 1);
}

TEST_CASE("at the end whoever holds a request, its caller gets what is known of it") {
  WaitingWorld world;
  world.add_backend("b", "relay");
  const auto waiting = world.ask("/unknown/1");
  const auto sent = world.ask("/once/1");
  const auto repeatable = world.ask("/idempotent/1");
  world.waiting.end_all();
  CHECK(waiting->head.status == 503);
  CHECK(sent->head.status == 502);
  CHECK(repeatable->head.status == 502);
  CHECK(world.waiting.running() == 0);
  CHECK(world.idle == 1);
  CHECK_FALSE(world.last().open);
}

TEST_CASE(
    "at the end a prompt that was only read has not run, and an answer that has begun is cut") {
  WaitingWorld world;
  world.add_backend("p", "llm", EngineRole::kPrefill);
  world.add_backend("d", "llm", EngineRole::kDecode);
  const auto read_apart = world.ask(
      "/stream/1", {{world.names.prompt_parts, "a:4000"}, {world.names.token_counts, "4000,10"}});
  REQUIRE(world.last().header(world.names.phase) == world.names.phase_prefill);
  const auto begun = world.ask("/stream/2");
  REQUIRE(world.last().header(world.names.phase).empty());
  world.last().observer->on_head({200, {world.signature(), {"content-type", "text/event-stream"}}});
  world.last().observer->on_body("id: 1\ndata: x\n\n");
  world.waiting.end_all();
  CHECK(read_apart->head.status == 503);
  CHECK(begun->aborted);
  CHECK(world.waiting.running() == 0);
}
