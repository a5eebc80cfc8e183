// Tests of what follows an attempt and of the answers that callers get.
#include <doctest/doctest.h>

#include <chrono>

#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using ochrespring::gateway::testing::GatewayFixture;

TEST_CASE("parts of a prompt beyond the limit are counted, not kept") {
  std::string parts;
  for (int i = 0; i != 100'000; ++i) {
    parts += std::to_string(i) + ":1,";
  }
  const Prompt prompt = parse_prompt(parts, "");
  CHECK(prompt.parts.size() == kMaxPromptParts);
  CHECK(prompt.tokens == 100'000);
}

TEST_CASE("a complete signed answer is forwarded unchanged") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  const auto caller = fixture.send("/once/x");
  REQUIRE(fixture.sends() == 1);
  CHECK(fixture.last().header("x-request-id") == "r1");
  CHECK(fixture.last().header(fixture.names.expected_instance) == "b1");
  CHECK(fixture.last().request.body == "body");
  fixture.last().answer(201, {fixture.signature(), {"x-own", "1"}}, "answer");
  CHECK(caller->head.status == 201);
  CHECK(caller->header(fixture.names.signature) == "sig");
  CHECK(caller->header("x-own") == "1");
  CHECK(caller->body == "answer");
  CHECK(caller->finished);
  CHECK(fixture.gateway.running() == 0);
}

TEST_CASE("reserved and hop-by-hop headers of the caller are not forwarded") {
  GatewayFixture fixture;
  fixture.names.reserved = {"x-forged"};
  fixture.add_backend("b1", "relay");
  fixture.send(
      "/once/x",
      {{"x-forged", "1"}, {"connection", "x-hop, close"}, {"x-hop", "1"}, {"x-kept", "1"}});
  CHECK(fixture.last().header("x-forged").empty());
  CHECK(fixture.last().header("connection").empty());
  CHECK(fixture.last().header("x-hop").empty());
  CHECK(fixture.last().header("x-kept") == "1");
}

TEST_CASE(
    "a request that must not run twice is sent once, and its failure is answered as unknown") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  for (const auto code : {http::HttpErrc::kReset, http::HttpErrc::kTruncated,
                          http::HttpErrc::kStaleConnection, http::HttpErrc::kTimeout}) {
    const std::size_t before = fixture.sends();
    const auto caller = fixture.send("/once-twice/x");
    fixture.last().fail(code, true);
    CHECK(caller->head.status == 502);
    CHECK(caller->header(fixture.names.signature).empty());
    CHECK(fixture.sends() == before + 1);
  }
}

TEST_CASE("a success without a signature is not accepted as an answer of a back end") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  const auto caller = fixture.send("/once/x");
  fixture.last().answer(200, {}, "garbage");
  CHECK(caller->head.status == 502);
  CHECK(caller->body.find("garbage") == std::string::npos);
}

TEST_CASE("a refusal by the back end is answered as not run, with Retry-After") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  const auto caller = fixture.send("/once/x");
  fixture.last().answer(503, {{fixture.names.not_run, "1"}}, "");
  CHECK(caller->head.status == 503);
  CHECK_FALSE(caller->header("retry-after").empty());
  CHECK(fixture.sends() == 1);
}

// Guards against losing a request that its back end has stated not to run.
TEST_CASE("a refusal whose answer is cut short is still a refusal") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  SUBCASE("sent to another back end") {
    const auto caller = fixture.send("/once-twice/x");
    fixture.last().observer->on_head({503, {{fixture.names.not_run, "1"}}});
    fixture.last().fail(http::HttpErrc::kTruncated, true);
    REQUIRE(fixture.sends() == 2);
    fixture.last().answer(200, {fixture.signature()}, "ok");
    CHECK(caller->body == "ok");
  }
  SUBCASE("answered as not run") {
    const auto caller = fixture.send("/once/x");
    fixture.last().observer->on_head({503, {{fixture.names.not_run, "1"}}});
    fixture.last().fail(http::HttpErrc::kTruncated, true);
    CHECK(caller->head.status == 503);
    CHECK(fixture.statistics.refused == 1);
  }
  SUBCASE("answered as not run at the deadline") {
    const auto caller = fixture.send("/once/x");
    fixture.last().observer->on_head({503, {{fixture.names.not_run, "1"}}});
    fixture.advance(3s);
    CHECK(caller->head.status == 503);
  }
}

TEST_CASE("a refused request is sent to another back end if the route allows two attempts") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.send("/once-twice/x");
  const std::string first = fixture.last().request.endpoint.value();
  fixture.last().answer(421, {}, "");
  REQUIRE(fixture.sends() == 2);
  CHECK(fixture.last().request.endpoint.value() != first);
  fixture.last().answer(200, {fixture.signature()}, "ok");
  CHECK(caller->body == "ok");
}

TEST_CASE("a signed error answer leads to a retry only if the request is retryable") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto once = fixture.send("/once-twice/x");
  fixture.last().answer(500, {fixture.signature()}, "failed");
  CHECK(once->head.status == 500);
  CHECK(once->header(fixture.names.signature) == "sig");
  const auto again = fixture.send("/idempotent/x");
  fixture.last().answer(500, {fixture.signature()}, "failed");
  CHECK_FALSE(again->ended());
  fixture.last().answer(500, {fixture.signature()}, "failed again");
  CHECK(again->head.status == 500);
  CHECK(again->body == "failed again");
}

TEST_CASE("a signed error answer is returned if no other back end answers") {
  GatewayFixture f;
  f.add_backend("b1", "relay");
  const auto only_backend = f.send("/idempotent/x");
  f.last().answer(500, {f.signature()}, "why");
  CHECK(f.sends() == 1);
  CHECK(only_backend->head.status == 500);
  CHECK(only_backend->body == "why");
  CHECK(only_backend->header(f.names.signature) == "sig");

  f.add_backend("b2", "relay");
  const auto broken = f.send("/idempotent/x");
  f.last().answer(500, {f.signature()}, "why");
  f.last().fail(http::HttpErrc::kReset, true);
  CHECK(broken->head.status == 500);
  CHECK(broken->body == "why");
}

TEST_CASE(
    "after a failed connection another back end is tried without charge to the retry budget") {
  GatewayFixture fixture;
  fixture.budget.set({0, 0, 10s});
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.send("/once/x");
  fixture.last().fail(http::HttpErrc::kConnect, false);
  REQUIRE(fixture.sends() == 2);
  fixture.last().fail(http::HttpErrc::kConnect, false);
  CHECK(caller->head.status == 503);
}

TEST_CASE("a request is not retried once the retry budget is spent") {
  GatewayFixture fixture;
  fixture.budget.set({0, 0, 10s});
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.send("/idempotent/x");
  fixture.last().fail(http::HttpErrc::kReset, true);
  CHECK(fixture.sends() == 1);
  CHECK(caller->head.status == 502);
  CHECK(fixture.statistics.budget_denied == 1);
}

TEST_CASE("each send carries the time left until the caller's deadline") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  fixture.send("/idempotent/x", {{"x-deadline-ms", "900"}});
  CHECK(fixture.last().header("x-deadline-ms") == "900");
  fixture.advance(200ms);
  fixture.last().fail(http::HttpErrc::kReset, true);
  CHECK(fixture.last().header("x-deadline-ms") == "700");
}

TEST_CASE("a request that exceeds the route's timeout gets a final answer") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  const auto caller = fixture.send("/once/x", {{"x-deadline-ms", "9000"}});
  const auto exchange = fixture.transport.started.back();
  fixture.advance(2000ms);
  CHECK(caller->head.status == 504);
  CHECK(caller->finished);
  CHECK_FALSE(exchange->open);
}

TEST_CASE("a stopping node refuses requests that may outlast it and serves the others") {
  GatewayFixture fixture;
  fixture.add_backend("a", "relay");
  fixture.gateway.set_shutdown_time(fixture.time.now() + 1s);
  const auto longer = fixture.send("/once/");
  CHECK(longer->head.status == 503);
  CHECK(longer->header("retry-after") == "0.020000");
  CHECK(fixture.sends() == 0);
  const auto shorter = fixture.send("/once/", {{fixture.names.deadline, "900"}});
  CHECK(fixture.sends() == 1);
  fixture.last().answer(200, {fixture.signature()}, "done");
  CHECK(shorter->head.status == 200);
}

// A busy node reads requests late. Back ends would then work beyond the caller's deadline.
TEST_CASE("the time that a request waited to be read counts against its deadline") {
  GatewayFixture fixture;
  fixture.add_backend("b", "relay");
  const auto caller = fixture.send_late("/once/x", 700ms, {{fixture.names.deadline, "1500"}});
  CHECK(fixture.last().header(fixture.names.deadline) == "800");
  fixture.advance(801ms);
  CHECK(caller->head.status == 504);
}

TEST_CASE("a request that was read after its deadline is refused at once and not sent") {
  GatewayFixture fixture;
  fixture.add_backend("b", "relay");
  const auto caller = fixture.send_late("/once/x", 1600ms, {{fixture.names.deadline, "1500"}});
  CHECK(caller->head.status == 503);
  CHECK(fixture.sends() == 0);
  CHECK(fixture.gateway.running() == 0);
}

TEST_CASE("a disconnected caller's attempt is cancelled and nothing more is sent") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.send("/idempotent/x");
  caller->disconnect();
  CHECK_FALSE(fixture.last().open);
  fixture.advance(5s);
  CHECK(fixture.sends() == 1);
  CHECK(fixture.gateway.running() == 0);
}

TEST_CASE("a retryable request leaves an unresponsive back end once another one has answered") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto caller = fixture.send("/idempotent/x");
  const auto unresponsive = fixture.transport.started.back();
  fixture.advance(400ms);
  REQUIRE(fixture.sends() == 2);
  CHECK(unresponsive->open);
  fixture.last().answer(200, {fixture.signature()}, "ok");
  CHECK(caller->body == "ok");
  CHECK_FALSE(unresponsive->open);
}

TEST_CASE("a draining back end and one of another service get no requests") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay", EngineRole::kNone, true);
  fixture.add_backend("b2", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/once/x");
  CHECK(fixture.sends() == 0);
  CHECK(caller->head.status == 503);
}

TEST_CASE(
    "an unknown route is answered with 404 only if the configuration is known to be the newest") {
  GatewayFixture fixture;
  CHECK(fixture.send("/none/x")->head.status == 404);
  fixture.refresh_succeeds = false;
  CHECK(fixture.send("/none/x")->head.status == 503);
}

TEST_CASE("a node without a configuration answers 503 with Retry-After") {
  GatewayFixture fixture;
  fixture.fleet = FleetState();
  const auto caller = fixture.send("/once/x");
  CHECK(caller->head.status == 503);
  CHECK_FALSE(caller->header("retry-after").empty());
}

TEST_CASE("only complete events are forwarded") {
  GatewayFixture fixture;
  fixture.add_backend("e1", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/stream/x");
  fixture.last().observer->on_head({200, {fixture.signature()}});
  CHECK(caller->head.status == 0);
  fixture.last().observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
  CHECK(caller->head.status == 200);
  CHECK(caller->body == "id: 1\ndata: a\n\n");
  fixture.last().fail(http::HttpErrc::kTruncated, true);
  CHECK(caller->body == "id: 1\ndata: a\n\n");
  CHECK(caller->aborted);
  CHECK_FALSE(caller->finished);
}

TEST_CASE(
    "a failed stream is retried at another engine after the last event, without duplicate events") {
  GatewayFixture fixture;
  fixture.add_backend("e1", "llm", EngineRole::kDecode);
  fixture.add_backend("e2", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/resumable/x");
  const std::string first = fixture.last().request.endpoint.value();
  fixture.last().observer->on_head({200, {fixture.signature()}});
  fixture.last().observer->on_body("id: 1\ndata: a\n\nid: 2\nda");
  fixture.last().fail(http::HttpErrc::kTruncated, true);
  REQUIRE(fixture.sends() == 2);
  CHECK(fixture.last().request.endpoint.value() != first);
  CHECK(fixture.last().header("last-event-id") == "1");
  fixture.last().answer(200, {{fixture.names.signature, "other"}},
                        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(caller->header(fixture.names.signature) == "sig");
  CHECK(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(caller->finished);
}

TEST_CASE("a stream that the caller resumes keeps its Last-Event-Id") {
  GatewayFixture fixture;
  fixture.add_backend("e1", "llm", EngineRole::kDecode);
  fixture.record_stream("r0");
  fixture.send("/resumable/x", {{"last-event-id", "12"}, {fixture.names.resumed_attempt, "r0"}});
  CHECK(fixture.last().header("last-event-id") == "12");
}

namespace {

const std::vector<http::Header> kLongPrompt = {
    {"x-ochrespring-prompt-parts", "aa:9000,bb:9000"},
    {"x-ochrespring-token-counts", "18000,50"},
};

}  // namespace

TEST_CASE("a long prompt is prefilled at a prefill engine, whose cache the runner uses") {
  GatewayFixture fixture;
  fixture.add_backend("p1", "llm", EngineRole::kPrefill);
  fixture.add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/stream/x", kLongPrompt);
  CHECK(fixture.last().request.endpoint.value() == "p1:1");
  CHECK(fixture.last().header(fixture.names.phase) == "prefill");
  fixture.last().answer(200, {}, "handle=h7");
  REQUIRE(fixture.sends() == 2);
  CHECK(fixture.last().request.endpoint.value() == "d1:1");
  CHECK(fixture.last().header(fixture.names.phase).empty());
  CHECK(fixture.last().header(fixture.names.cache_source) == "p1:1/h7");
  fixture.last().answer(200, {fixture.signature()}, "id: 1\n\n");
  CHECK(caller->body == "id: 1\n\n");
  CHECK(fixture.transport.sent_without_reply.empty());
}

TEST_CASE("the engine gets the address of another engine that caches a shared part") {
  GatewayFixture fixture;
  fixture.add_backend("d1", "llm", EngineRole::kDecode);
  fixture.add_backend("d2", "llm", EngineRole::kDecode);
  fixture.loads.note_prompt(BackendId("d1"), parse_prompt("aa:9000,bb:9000", "18000,50"),
                            fixture.time.now());
  fixture.advance(std::chrono::seconds(2));
  fixture.loads.begin(BackendId("d1"), 50'000);
  fixture.send("/stream/x", kLongPrompt);
  CHECK(fixture.last().request.endpoint.value() == "d2:1");
  CHECK(fixture.last().header(fixture.names.cache_fetch) == "d1:1");
  CHECK(fixture.statistics.cache_fetches == 1);
}

TEST_CASE("a request still runs after its prefill call was refused or failed") {
  for (const bool refused : {true, false}) {
    GatewayFixture fixture;
    fixture.add_backend("p1", "llm", EngineRole::kPrefill);
    fixture.add_backend("d1", "llm", EngineRole::kDecode);
    const auto caller = fixture.send("/stream/x", kLongPrompt);
    REQUIRE(fixture.last().request.endpoint.value() == "p1:1");
    if (refused) {
      fixture.last().answer(503, {{fixture.names.not_run, "1"}}, "");
    } else {
      fixture.last().fail(http::HttpErrc::kReset, true);
    }
    REQUIRE(fixture.sends() == 2);
    CHECK(fixture.last().request.endpoint.value() == "d1:1");
    CHECK(fixture.last().header(fixture.names.cache_source).empty());
    fixture.last().answer(200, {fixture.signature()}, "id: 1\n\n");
    CHECK(caller->finished);
  }
}

TEST_CASE("the cache at the prefill engine is released if no engine will use it") {
  GatewayFixture fixture;
  fixture.add_backend("p1", "llm", EngineRole::kPrefill);
  fixture.add_backend("d1", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/stream/x", kLongPrompt);
  fixture.last().answer(200, {}, "handle=h7");
  fixture.last().fail(http::HttpErrc::kConnect, false);
  CHECK(caller->head.status == 503);
  REQUIRE(fixture.transport.sent_without_reply.size() == 1);
  CHECK(fixture.transport.sent_without_reply[0].path == "/cache/h7");
  CHECK(fixture.transport.sent_without_reply[0].endpoint.value() == "p1:1");
}

TEST_CASE("the cache is used by the next engine if the first was unreachable") {
  GatewayFixture fixture;
  fixture.add_backend("p1", "llm", EngineRole::kPrefill);
  fixture.add_backend("d1", "llm", EngineRole::kDecode);
  fixture.add_backend("d2", "llm", EngineRole::kDecode);
  fixture.send("/stream/x", kLongPrompt);
  fixture.last().answer(200, {}, "handle=h7");
  fixture.last().fail(http::HttpErrc::kConnect, false);
  CHECK(fixture.last().header(fixture.names.cache_source) == "p1:1/h7");
}

TEST_CASE("a back end that timed out gets no requests while there is another one") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  fixture.send("/once/x");
  const std::string unresponsive = fixture.last().request.endpoint.value();
  fixture.last().fail(http::HttpErrc::kTimeout, true);
  for (int i = 0; i != 6; ++i) {
    fixture.send("/once/x");
    CHECK(fixture.last().request.endpoint.value() != unresponsive);
  }
}

TEST_CASE("a back end whose address belongs to another one gets no more requests") {
  GatewayFixture fixture;
  fixture.add_backend("r1", "relay");
  fixture.add_backend("r2", "relay");
  fixture.send("/once/x");
  const std::string replaced = fixture.last().request.endpoint.value();
  fixture.last().answer(421, {}, "");
  for (int i = 0; i != 6; ++i) {
    fixture.advance(std::chrono::milliseconds(500));
    fixture.send("/once/x");
    CHECK(fixture.last().request.endpoint.value() != replaced);
    fixture.last().answer(200, {fixture.signature()}, "");
  }
}

TEST_CASE(
    "nothing is sent to a back end whose address belongs to another one, even if it is the only "
    "one") {
  GatewayFixture fixture;
  fixture.add_backend("r1", "relay");
  fixture.send("/once/x");
  fixture.last().answer(421, {{fixture.names.load, "5,5,8"}}, "");
  const auto caller = fixture.send("/once/x");
  CHECK(fixture.sends() == 1);
  CHECK(caller->head.status == 503);
  CHECK(fixture.loads.find_or_create(BackendId("r1")).reported_waiting(fixture.time.now()) == 0);
  fixture.add_backend("r2", "relay");
  fixture.send("/once/x");
  CHECK(fixture.last().request.endpoint == Endpoint("r2:1"));
}

TEST_CASE(
    "an engine is ejected if the answer to its prefill call shows that another one has its "
    "address") {
  GatewayFixture fixture;
  fixture.add_backend("p1", "llm", EngineRole::kPrefill);
  fixture.add_backend("d1", "llm", EngineRole::kDecode);
  fixture.send("/stream/x", kLongPrompt);
  REQUIRE(fixture.last().request.endpoint.value() == "p1:1");
  fixture.last().answer(421, {}, "");
  CHECK(fixture.loads.find_or_create(BackendId("p1")).ejected(fixture.time.now()));
}

TEST_CASE("a deadline that is too large or not a number is replaced by the route's timeout") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  for (const char* deadline : {"18446744073709551615", "999999999999999999", "soon", ""}) {
    fixture.send("/once/x", {{"x-deadline-ms", deadline}});
    CHECK(fixture.last().header("x-deadline-ms") == "2000");
  }
}

TEST_CASE_FIXTURE(GatewayFixture,
                  "all nodes together keep no more idle connections than a back end accepts") {
  add_backend("b1", "relay");
  for (const std::uint32_t nodes : {1U, 30U, 101U, 340U}) {
    CAPTURE(nodes);
    Environment made = environment();
    made.node_count = [nodes] { return nodes; };
    Gateway one_of_many(std::move(made), [](auto done) { done(true); });
    auto caller = std::make_shared<testing::FakeCaller>();
    one_of_many.handle({"POST", "/once/x", "", {{"host", "h"}}, "body"}, caller);
    CHECK(last().request.max_idle_connections * nodes <= 100);
    last().answer(200, {signature()}, "ok");
  }
}

// Without the logged reason, a refusal while other back ends had room could not be explained from
// the log.
TEST_CASE("the log gives the reason why a request was not retried") {
  GatewayFixture fixture;
  fixture.add_backend("b1", "relay");
  fixture.add_backend("b2", "relay");
  const auto refuse = [&] { fixture.last().answer(503, {{fixture.names.not_run, "1"}}, ""); };
  fixture.send("/once/x");
  refuse();
  CHECK(fixture.logger.not_sent_again.back() == "attempts of the route");
  fixture.send("/once-twice/x");
  fixture.last().fail(http::HttpErrc::kReset, true);
  CHECK(fixture.logger.not_sent_again.back() == "may have run");
  fixture.budget.set({0.0, 0, std::chrono::seconds(10)});
  fixture.send("/once-twice/x");
  refuse();
  CHECK(fixture.logger.not_sent_again.back() == "retry budget");
  fixture.send("/idempotent/x");
  fixture.last().answer(200, {fixture.signature()}, "answer");
  CHECK(fixture.logger.not_sent_again.back().empty());
}

// Without these fields, a stream that this node ended could not be told from one that its back end
// broke off, nor a cause in the configuration from silence.
TEST_CASE(
    "the log tells why a stream ended, how long its back end was silent, and the "
    "configuration by then") {
  GatewayFixture fixture;
  fixture.add_backend("e1", "llm", EngineRole::kDecode);
  const auto caller = fixture.send("/stream/x");
  fixture.last().observer->on_head({200, {fixture.signature()}});
  fixture.advance(300ms);
  fixture.last().observer->on_body("id: 1\ndata: a\n\n");
  fixture.fleet.apply(GatewayFixture::make_configuration(2));
  fixture.advance(700ms);
  fixture.last().fail(http::HttpErrc::kReset, true);
  CHECK(caller->aborted);
  const auto& log = fixture.logger;
  CHECK(log.last<std::string>("outcome") == "broken");
  CHECK(log.last<std::string>("reason") == "broken");
  CHECK(log.last<std::uint64_t>("configuration") == 1);
  CHECK(log.last<std::uint64_t>("current_configuration") == 2);
  CHECK(log.last<std::int64_t>("silence_milliseconds") == 700);
  CHECK(log.last<std::uint64_t>("attempts_stalled") == 0);
}
