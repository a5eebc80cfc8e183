// Requests that a planned stop must wait for. Guards against a node that counts only the gateway's
// sessions as running and exits while it still holds a request: one that waits for a newer
// configuration (its route is unknown and the store does not respond), one received in part, or an
// answer sent in part. The caller then gets no answer; a connection was closed 8 ms after its
// node had logged that it stopped with 0 running requests. Each case covers another place where a
// request can be held, from its first byte received to the last byte of its answer.
#include <doctest/doctest.h>

#include <memory>
#include <vector>

#include "gateway_node/tests/stopping_node.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

const std::string kUnknownRoute = "GET /unknown/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";
const std::string kShort = "GET /short/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";
const std::string kLong = "GET /long/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";
const std::string kWithBody =
    "POST /short/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 8\r\n\r\n01234567";

/// Checks that the caller receives the back end's answer before the node exits.
void check_answered(NodeFixture& fixture, RawCaller& caller) {
  CHECK_FALSE(fixture.stopped());
  fixture.backend.answer("done");
  CHECK(fixture.run_until([&] { return caller.receive().ends_with("done"); }));
  fixture.advance(200ms);
  CHECK(fixture.stopped());
}

}  // namespace

TEST_CASE("an idle node exits soon after callers have had time to notice the stop") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.advance(3400ms);
  CHECK_FALSE(fixture.stopped());
  fixture.advance(250ms);
  CHECK(fixture.stopped());
}

TEST_CASE("a request that waits for a configuration is answered when the store does not respond") {
  for (const Duration at : {2300ms, 3480ms}) {
    NodeFixture fixture;
    fixture.node.stop();
    fixture.store.silent = true;
    fixture.advance(at);
    RawCaller caller(fixture.address());
    caller.send(kUnknownRoute);
    fixture.settle();
    fixture.advance(2000ms);
    CHECK(fixture.stopped());
    CHECK(caller.receive().starts_with("HTTP/1.1 503"));
  }
}

TEST_CASE("a request received in part before the stop is served") {
  for (const std::string& request : {kShort, kWithBody}) {
    NodeFixture fixture;
    RawCaller caller(fixture.address());
    caller.send(request.substr(0, request.size() - 2));
    fixture.settle();
    fixture.node.stop();
    fixture.advance(4000ms);
    REQUIRE_FALSE(fixture.stopped());
    caller.send(request.substr(request.size() - 2));
    fixture.await_at_backend();
    check_answered(fixture, caller);
  }
}

TEST_CASE("a request running at a back end is served, also when settings are reloaded") {
  NodeFixture fixture;
  RawCaller caller(fixture.address());
  caller.send(kLong);
  fixture.await_at_backend();
  fixture.node.stop();
  fixture.advance(1000ms);
  fixture.node.reload(fixture.settings());
  fixture.advance(3000ms);
  check_answered(fixture, caller);
}

TEST_CASE("a request whose connection is not accepted yet when the listener closes is served") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.advance(3480ms);
  RawCaller caller(fixture.address());
  caller.send(kShort);
  fixture.clock.advance(20ms);
  fixture.await_at_backend();
  check_answered(fixture, caller);
}

TEST_CASE("an answer that its caller reads slowly is sent completely") {
  NodeFixture fixture;
  RawCaller caller(fixture.address());
  caller.send(kLong);
  fixture.await_at_backend();
  const std::string body(16U << 20U, 'x');
  fixture.backend.answer(body);
  fixture.settle();
  fixture.node.stop();
  fixture.advance(5000ms);
  REQUIRE_FALSE(fixture.stopped());
  CHECK(fixture.run_until([&] { return caller.receive().size() > body.size(); }));
  fixture.advance(200ms);
  CHECK(fixture.stopped());
}

TEST_CASE("a request that outlasts the grace period is answered, not cut off") {
  NodeFixture fixture;
  RawCaller caller(fixture.address());
  caller.send(kLong);
  fixture.await_at_backend();
  fixture.node.stop();
  fixture.advance(7400ms);
  CHECK_FALSE(fixture.stopped());
  fixture.advance(400ms);
  CHECK(fixture.stopped());
  CHECK(caller.receive().starts_with("HTTP/1.1 502"));
}

// Callers rely on an answer to requests that they send later than 3 s after a stop signal. A
// request with a timeout of 20 s, received 3.2 s after the signal, was accepted and cut off 4.3 s
// later.
TEST_CASE(
    "a request that may outlast the grace period is rejected before callers rely on its answer") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.advance(2000ms);
  RawCaller early(fixture.address());
  early.send(kLong);
  fixture.await_at_backend();
  fixture.advance(1000ms);
  RawCaller late(fixture.address());
  late.send(kLong);
  REQUIRE(fixture.run_until([&] { return late.receive().starts_with("HTTP/1.1"); }));
  CHECK(late.receive().starts_with("HTTP/1.1 503"));
  CHECK(fixture.backend.held.size() == 1);
}

TEST_CASE(
    "with a grace period shorter than callers need to notice, long requests are rejected in time") {
  NodeFixture fixture;
  Settings settings = fixture.settings();
  settings.stop_grace = 3s;
  fixture.node.reload(settings);
  fixture.node.stop();
  fixture.advance(1000ms);
  RawCaller late(fixture.address());
  late.send(kLong);
  REQUIRE(fixture.run_until([&] { return late.receive().starts_with("HTTP/1.1"); }));
  CHECK(late.receive().starts_with("HTTP/1.1 503"));
  fixture.advance(500ms);
  CHECK(fixture.stopped());
}

TEST_CASE(
    "a queued request is sent when its back end has a free slot, and rejected at once by a stop") {
  NodeFixture fixture;
  Settings queueing = fixture.settings();
  queueing.queue.requests = 10;
  fixture.node.reload(queueing);
  // The slots of the back end plus half as many.
  constexpr std::size_t kMaxRequestsAtBackend = 8 + 4;
  std::vector<std::unique_ptr<RawCaller>> callers;
  const auto send_request = [&] {
    callers.push_back(std::make_unique<RawCaller>(fixture.address()));
    callers.back()->send(kShort);
    fixture.settle();
  };
  for (std::size_t i = 0; i != kMaxRequestsAtBackend + 1; ++i) {
    send_request();
  }
  CHECK(fixture.backend.held.size() == kMaxRequestsAtBackend);
  CHECK(callers.back()->receive().empty());
  fixture.backend.answer("done");
  CHECK(fixture.run_until([&] { return fixture.backend.held.size() == kMaxRequestsAtBackend; }));
  send_request();
  CHECK(fixture.backend.held.size() == kMaxRequestsAtBackend);
  fixture.node.stop();
  fixture.settle();
  CHECK(callers.back()->receive().starts_with("HTTP/1.1 503"));
  CHECK(callers.back()->receive().find("stopping") != std::string::npos);
  CHECK(fixture.backend.held.size() == kMaxRequestsAtBackend);
}
