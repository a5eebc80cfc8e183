// What may follow an attempt, and what a caller is told.
#include <doctest/doctest.h>

#include <chrono>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

TEST_CASE("a whole signed answer goes through unchanged") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  const auto caller = world.send("/once/x");
  REQUIRE(world.sends() == 1);
  CHECK(world.last().header("x-request-id") == "r1");
  CHECK(world.last().header(world.names.expected_instance) == "b1");
  CHECK(world.last().request.body == "body");
  world.last().answer(201, {world.signature(), {"x-own", "1"}}, "answer");
  CHECK(caller->head.status == 201);
  CHECK(caller->header(world.names.signature) == "sig");
  CHECK(caller->header("x-own") == "1");
  CHECK(caller->body == "answer");
  CHECK(caller->finished);
  CHECK(world.gateway.running() == 0);
}

TEST_CASE("headers that only the gateway sets and those of the connection are not passed on") {
  GatewayFixture world;
  world.names.reserved = {"x-forged"};
  world.add_backend("b1", "relay");
  world.send("/once/x",
             {{"x-forged", "1"}, {"connection", "x-hop, close"}, {"x-hop", "1"}, {"x-kept", "1"}});
  CHECK(world.last().header("x-forged").empty());
  CHECK(world.last().header("connection").empty());
  CHECK(world.last().header("x-hop").empty());
  CHECK(world.last().header("x-kept") == "1");
}

TEST_CASE("a request that may not run twice is sent once, and its loss is told as unknown") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  for (const auto code : {http::HttpErrc::kReset, http::HttpErrc::kTruncated,
                          http::HttpErrc::kStaleConnection, http::HttpErrc::kTimeout}) {
    const std::size_t before = world.sends();
    const auto caller = world.send("/once-twice/x");
    world.last().fail(code, true);
    CHECK(caller->head.status == 502);
    CHECK(caller->header(world.names.signature).empty());
    CHECK(world.sends() == before + 1);
  }
}

TEST_CASE("a success without a signature is no answer of a back end") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  const auto caller = world.send("/once/x");
  world.last().answer(200, {}, "garbage");
  CHECK(caller->head.status == 502);
  CHECK(caller->body.find("garbage") == std::string::npos);
}

TEST_CASE("a refusal by the back end is told as not run, with when to come back") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  const auto caller = world.send("/once/x");
  world.last().answer(503, {{world.names.not_run, "1"}}, "");
  CHECK(caller->head.status == 503);
  CHECK_FALSE(caller->header("retry-after").empty());
  CHECK(world.sends() == 1);
}

TEST_CASE("a refused request goes to another back end where the route allows two") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto caller = world.send("/once-twice/x");
  const std::string first = world.last().request.endpoint.value();
  world.last().answer(421, {}, "");
  REQUIRE(world.sends() == 2);
  CHECK(world.last().request.endpoint.value() != first);
  world.last().answer(200, {world.signature()}, "ok");
  CHECK(caller->body == "ok");
}

TEST_CASE("a failure that a back end signed is tried again only if the request may be repeated") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto once = world.send("/once-twice/x");
  world.last().answer(500, {world.signature()}, "failed");
  CHECK(once->head.status == 500);
  CHECK(once->header(world.names.signature) == "sig");
  const auto again = world.send("/idempotent/x");
  world.last().answer(500, {world.signature()}, "failed");
  CHECK_FALSE(again->ended());
  world.last().answer(500, {world.signature()}, "failed again");
  CHECK(again->head.status == 500);
  CHECK(again->body == "failed again");
}

TEST_CASE("a failure that a back end signed is not lost where no other back end can do better") {
  GatewayFixture f;
  f.add_backend("b1", "relay");
  const auto alone = f.send("/idempotent/x");
  f.last().answer(500, {f.signature()}, "why");
  CHECK(f.sends() == 1);
  CHECK(alone->head.status == 500);
  CHECK(alone->body == "why");
  CHECK(alone->header(f.names.signature) == "sig");

  f.add_backend("b2", "relay");
  const auto broken = f.send("/idempotent/x");
  f.last().answer(500, {f.signature()}, "why");
  f.last().fail(http::HttpErrc::kReset, true);
  CHECK(broken->head.status == 500);
  CHECK(broken->body == "why");
}

TEST_CASE("without a connection nothing was sent: another back end is tried free of charge") {
  GatewayFixture world;
  world.budget.set({0, 0, 10s});
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto caller = world.send("/once/x");
  world.last().fail(http::HttpErrc::kConnect, false);
  REQUIRE(world.sends() == 2);
  world.last().fail(http::HttpErrc::kConnect, false);
  CHECK(caller->head.status == 503);
}

TEST_CASE("repeats stop when the budget is spent") {
  GatewayFixture world;
  world.budget.set({0, 0, 10s});
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto caller = world.send("/idempotent/x");
  world.last().fail(http::HttpErrc::kReset, true);
  CHECK(world.sends() == 1);
  CHECK(caller->head.status == 502);
  CHECK(world.statistics.budget_denied == 1);
}

TEST_CASE("each send carries what is left of the caller's time") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  world.send("/idempotent/x", {{"x-deadline-ms", "900"}});
  CHECK(world.last().header("x-deadline-ms") == "900");
  world.advance(200ms);
  world.last().fail(http::HttpErrc::kReset, true);
  CHECK(world.last().header("x-deadline-ms") == "700");
}

TEST_CASE("the route's time ends a request with a final answer") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  const auto caller = world.send("/once/x", {{"x-deadline-ms", "9000"}});
  const auto exchange = world.transport.started.back();
  world.advance(2000ms);
  CHECK(caller->head.status == 504);
  CHECK(caller->finished);
  CHECK_FALSE(exchange->open);
}

TEST_CASE("a node that is about to end refuses what may outlast it, and serves the rest") {
  GatewayFixture world;
  world.add_backend("a", "relay");
  world.gateway.end_at(world.time.now() + 1s);
  const auto longer = world.send("/once/");
  CHECK(longer->head.status == 503);
  CHECK(longer->header("retry-after") == "0.020000");
  CHECK(world.sends() == 0);
  const auto shorter = world.send("/once/", {{world.names.deadline, "900"}});
  CHECK(world.sends() == 1);
  world.last().answer(200, {world.signature()}, "done");
  CHECK(shorter->head.status == 200);
}

TEST_CASE("a caller that leaves stops the work, and nothing is sent for it any more") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto caller = world.send("/idempotent/x");
  caller->leave();
  CHECK_FALSE(world.last().open);
  world.advance(5s);
  CHECK(world.sends() == 1);
  CHECK(world.gateway.running() == 0);
}

TEST_CASE("a silent back end is left for another one if the request may be repeated") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto caller = world.send("/idempotent/x");
  const auto silent = world.transport.started.back();
  world.advance(400ms);
  REQUIRE(world.sends() == 2);
  CHECK_FALSE(silent->open);
  world.last().answer(200, {world.signature()}, "ok");
  CHECK(caller->body == "ok");
}

TEST_CASE("a draining back end and one of another service get nothing") {
  GatewayFixture world;
  world.add_backend("b1", "relay", EngineRole::kNone, true);
  world.add_backend("b2", "llm", EngineRole::kDecode);
  const auto caller = world.send("/once/x");
  CHECK(world.sends() == 0);
  CHECK(caller->head.status == 503);
}

TEST_CASE("an unknown route is denied only by a configuration that is surely the newest") {
  GatewayFixture world;
  CHECK(world.send("/none/x")->head.status == 404);
  world.store_answers = false;
  CHECK(world.send("/none/x")->head.status == 503);
}

TEST_CASE("a node without a configuration asks to come back") {
  GatewayFixture world;
  world.fleet = FleetState();
  const auto caller = world.send("/once/x");
  CHECK(caller->head.status == 503);
  CHECK_FALSE(caller->header("retry-after").empty());
}

TEST_CASE("events are passed on whole, and half of one never") {
  GatewayFixture world;
  world.add_backend("e1", "llm", EngineRole::kDecode);
  const auto caller = world.send("/stream/x");
  world.last().observer->on_head({200, {world.signature()}});
  CHECK(caller->head.status == 0);
  world.last().observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(caller->head.status == 200);
  CHECK(caller->body == "id: 1\ndata: a\n\n");
  world.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(caller->body == "id: 1\ndata: a\n\n");
  CHECK(caller->aborted);
  CHECK_FALSE(caller->finished);
}

TEST_CASE("a broken stream goes on at another engine behind the last event, without repeats") {
  GatewayFixture world;
  world.add_backend("e1", "llm", EngineRole::kDecode);
  world.add_backend("e2", "llm", EngineRole::kDecode);
  const auto caller = world.send("/resumable/x");
  const std::string first = world.last().request.endpoint.value();
  world.last().observer->on_head({200, {world.signature()}});
  world.last().observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
  world.last().fail(http::HttpErrc::kTruncated, true);
  REQUIRE(world.sends() == 2);
  CHECK(world.last().request.endpoint.value() != first);
  CHECK(world.last().header("last-event-id") == "1");
  world.last().answer(200, {{world.names.signature, "other"}},
                      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(caller->header(world.names.signature) == "sig");
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(caller->finished);
}

TEST_CASE("a stream that the caller takes up keeps its place") {
  GatewayFixture world;
  world.add_backend("e1", "llm", EngineRole::kDecode);
  world.send("/resumable/x", {{"last-event-id", "12"}});
  CHECK(world.last().header("last-event-id") == "12");
}

namespace {

const std::vector<http::Header> kLongPrompt = {
    {"x-ochrespring-prompt-parts", "aa:9000,bb:9000"},
    {"x-ochrespring-token-counts", "18000,50"},
};

}  // namespace

TEST_CASE("a long prompt is read at a prefill engine, whose cache the runner takes") {
  GatewayFixture world;
  world.add_backend("p1", "llm", EngineRole::kPrefill);
  world.add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = world.send("/stream/x", kLongPrompt);
  CHECK(world.last().request.endpoint.value() == "p1:1");
  CHECK(world.last().header(world.names.phase) == "prefill");
  world.last().answer(200, {}, "handle=h7");
  REQUIRE(world.sends() == 2);
  CHECK(world.last().request.endpoint.value() == "d1:1");
  CHECK(world.last().header(world.names.phase).empty());
  CHECK(world.last().header(world.names.cache_source) == "p1:1/h7");
  world.last().answer(200, {world.signature()}, "id: 1\n\n");
  CHECK(caller->body == "id: 1\n\n");
  CHECK(world.transport.forgotten.empty());
}

TEST_CASE("the engine is told where to fetch a shared part that another keeps") {
  GatewayFixture world;
  world.add_backend("d1", "llm", EngineRole::kDecode);
  world.add_backend("d2", "llm", EngineRole::kDecode);
  world.loads.note_prompt(BackendId("d1"), parse_prompt("aa:9000,bb:9000", "18000,50"),
                          world.time.now());
  world.advance(std::chrono::seconds(2));
  world.loads.begin(BackendId("d1"), 50'000);
  world.send("/stream/x", kLongPrompt);
  CHECK(world.last().request.endpoint.value() == "d2:1");
  CHECK(world.last().header(world.names.cache_fetch) == "d1:1");
  CHECK(world.statistics.cache_fetches == 1);
}

TEST_CASE("a prefill that was refused or lost leaves the request free to run") {
  for (const bool refused : {true, false}) {
    GatewayFixture world;
    world.add_backend("p1", "llm", EngineRole::kPrefill);
    world.add_backend("d1", "llm", EngineRole::kDecode);
    const auto caller = world.send("/stream/x", kLongPrompt);
    REQUIRE(world.last().request.endpoint.value() == "p1:1");
    if (refused) {
      world.last().answer(503, {{world.names.not_run, "1"}}, "");
    } else {
      world.last().fail(http::HttpErrc::kReset, true);
    }
    REQUIRE(world.sends() == 2);
    CHECK(world.last().request.endpoint.value() == "d1:1");
    CHECK(world.last().header(world.names.cache_source).empty());
    world.last().answer(200, {world.signature()}, "id: 1\n\n");
    CHECK(caller->finished);
  }
}

TEST_CASE("a cache that nobody will take is freed") {
  GatewayFixture world;
  world.add_backend("p1", "llm", EngineRole::kPrefill);
  world.add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = world.send("/stream/x", kLongPrompt);
  world.last().answer(200, {}, "handle=h7");
  world.last().fail(http::HttpErrc::kConnect, false);
  CHECK(caller->head.status == 503);
  REQUIRE(world.transport.forgotten.size() == 1);
  CHECK(world.transport.forgotten[0].path == "/cache/h7");
  CHECK(world.transport.forgotten[0].endpoint.value() == "p1:1");
}

TEST_CASE("a cache is offered again to the next engine if the first was not reached") {
  GatewayFixture world;
  world.add_backend("p1", "llm", EngineRole::kPrefill);
  world.add_backend("d1", "llm", EngineRole::kDecode);
  world.add_backend("d2", "llm", EngineRole::kDecode);
  world.send("/stream/x", kLongPrompt);
  world.last().answer(200, {}, "handle=h7");
  world.last().fail(http::HttpErrc::kConnect, false);
  CHECK(world.last().header(world.names.cache_source) == "p1:1/h7");
}

TEST_CASE("a back end that fell silent is left alone while there is another") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  world.send("/once/x");
  const std::string silent = world.last().request.endpoint.value();
  world.last().fail(http::HttpErrc::kTimeout, true);
  for (int i = 0; i != 6; ++i) {
    world.send("/once/x");
    CHECK(world.last().request.endpoint.value() != silent);
  }
}

TEST_CASE("a back end whose address another one has taken gets no more requests") {
  GatewayFixture world;
  world.add_backend("r1", "relay");
  world.add_backend("r2", "relay");
  world.send("/once/x");
  const std::string replaced = world.last().request.endpoint.value();
  world.last().answer(421, {}, "");
  for (int i = 0; i != 6; ++i) {
    world.advance(std::chrono::milliseconds(500));
    world.send("/once/x");
    CHECK(world.last().request.endpoint.value() != replaced);
    world.last().answer(200, {world.signature()}, "");
  }
}

TEST_CASE(
    "nothing is sent to a back end whose address another one has taken, though it is the only "
    "one") {
  GatewayFixture world;
  world.add_backend("r1", "relay");
  world.send("/once/x");
  world.last().answer(421, {{world.names.load, "5,5,8"}}, "");
  const auto caller = world.send("/once/x");
  CHECK(world.sends() == 1);
  CHECK(caller->head.status == 503);
  CHECK(world.loads.find_or_create(BackendId("r1")).reported_waiting(world.time.now()) == 0);
  world.add_backend("r2", "relay");
  world.send("/once/x");
  CHECK(world.last().request.endpoint == Endpoint("r2:1"));
}

TEST_CASE("an engine that was replaced is left alone after a prefill, too") {
  GatewayFixture world;
  world.add_backend("p1", "llm", EngineRole::kPrefill);
  world.add_backend("d1", "llm", EngineRole::kDecode);
  world.send("/stream/x", kLongPrompt);
  REQUIRE(world.last().request.endpoint.value() == "p1:1");
  world.last().answer(421, {}, "");
  CHECK(world.loads.find_or_create(BackendId("p1")).ejected(world.time.now()));
}

TEST_CASE("a deadline beyond all measure is the route's time, and one that is no number too") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  for (const char* deadline : {"18446744073709551615", "999999999999999999", "soon", ""}) {
    world.send("/once/x", {{"x-deadline-ms", deadline}});
    CHECK(world.last().header("x-deadline-ms") == "2000");
  }
}

TEST_CASE_FIXTURE(GatewayFixture, "nodes keep no more connections than a back end takes from all") {
  add_backend("b1", "relay");
  for (const std::uint32_t nodes : {1U, 30U, 101U, 340U}) {
    CAPTURE(nodes);
    Environment made = environment();
    made.node_count = [nodes] { return nodes; };
    Gateway one_of_many(std::move(made), [](auto done) { done(true); });
    auto caller = std::make_shared<testing::PlayedCaller>();
    one_of_many.handle({"POST", "/once/x", "", {{"host", "h"}}, "body"}, caller);
    CHECK(last().request.most_idle * nodes <= 100);
    last().answer(200, {signature()}, "ok");
  }
}

// Refusals beside servers with room could not be explained from the log.
TEST_CASE("the log tells why a request was not sent once more") {
  GatewayFixture world;
  world.add_backend("b1", "relay");
  world.add_backend("b2", "relay");
  const auto refuse = [&] { world.last().answer(503, {{world.names.not_run, "1"}}, ""); };
  world.send("/once/x");
  refuse();
  CHECK(world.logger.not_sent_again.back() == "attempts of the route");
  world.send("/once-twice/x");
  world.last().fail(http::HttpErrc::kReset, true);
  CHECK(world.logger.not_sent_again.back() == "may have run");
  world.budget.set({0.0, 0, std::chrono::seconds(10)});
  world.send("/once-twice/x");
  refuse();
  CHECK(world.logger.not_sent_again.back() == "retry budget");
  world.send("/idempotent/x");
  world.last().answer(200, {world.signature()}, "answer");
  CHECK(world.logger.not_sent_again.back().empty());
}
