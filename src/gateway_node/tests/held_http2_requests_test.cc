// Requests that a planned stop must wait for, sent over HTTP/2. Guards against a server that does
// not count HTTP/2 requests as held, which the tests over HTTP/1.1 do not notice.
#include <doctest/doctest.h>

#include "gateway_node/tests/http2_caller.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

void check_answered(NodeFixture& fixture, Http2Caller& caller) {
  CHECK_FALSE(fixture.stopped());
  fixture.backend.answer("done");
  CHECK(fixture.run_until([&] { return caller.receive().complete; }));
  const Http2Caller::Answer answer = caller.receive();
  CHECK(answer.success);
  CHECK(answer.body == "done");
  fixture.advance(200ms);
  CHECK(fixture.stopped());
}

}  // namespace

TEST_CASE(
    "HTTP/2: a request that waits for a configuration is answered when the store does not "
    "respond") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.store.silent = true;
  fixture.advance(2300ms);
  Http2Caller caller(fixture.address());
  caller.send("GET", "/unknown/1");
  fixture.settle();
  fixture.advance(2000ms);
  CHECK(fixture.stopped());
  CHECK(caller.receive().complete);
  CHECK_FALSE(caller.receive().success);
}

TEST_CASE("HTTP/2: a request received in part before the stop is served") {
  NodeFixture fixture;
  Http2Caller caller(fixture.address());
  caller.send("POST", "/short/1", "0123");
  fixture.settle();
  fixture.node.stop();
  fixture.advance(4000ms);
  REQUIRE_FALSE(fixture.stopped());
  caller.send_rest("4567");
  fixture.await_at_backend();
  check_answered(fixture, caller);
}

TEST_CASE("HTTP/2: a request running at a back end is served, also when settings are reloaded") {
  NodeFixture fixture;
  Http2Caller caller(fixture.address());
  caller.send("GET", "/long/1");
  fixture.await_at_backend();
  fixture.node.stop();
  fixture.advance(1000ms);
  fixture.node.reload(fixture.settings());
  fixture.advance(3000ms);
  check_answered(fixture, caller);
}

TEST_CASE(
    "HTTP/2: a request whose connection is not accepted yet when the listener closes is served") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.advance(3480ms);
  Http2Caller caller(fixture.address());
  caller.send("GET", "/short/1");
  fixture.clock.advance(20ms);
  fixture.await_at_backend();
  check_answered(fixture, caller);
}

TEST_CASE("HTTP/2: an answer that its caller reads slowly is sent completely") {
  NodeFixture fixture;
  Http2Caller caller(fixture.address());
  caller.send("GET", "/long/1");
  fixture.await_at_backend();
  const std::string body(16U << 20U, 'x');
  fixture.backend.answer(body);
  fixture.settle();
  fixture.node.stop();
  fixture.advance(5000ms);
  REQUIRE_FALSE(fixture.stopped());
  CHECK(fixture.run_until([&] { return caller.receive().complete; }));
  CHECK(caller.receive().body == body);
  fixture.advance(200ms);
  CHECK(fixture.stopped());
}

TEST_CASE("HTTP/2: a request that outlasts the grace period is answered, not cut off") {
  NodeFixture fixture;
  Http2Caller caller(fixture.address());
  caller.send("GET", "/long/1");
  fixture.await_at_backend();
  fixture.node.stop();
  fixture.advance(7400ms);
  CHECK_FALSE(fixture.stopped());
  fixture.advance(400ms);
  CHECK(fixture.stopped());
  CHECK(caller.receive().complete);
  CHECK_FALSE(caller.receive().success);
}

TEST_CASE("HTTP/2: a request that may outlast the grace period is rejected in time") {
  NodeFixture fixture;
  fixture.node.stop();
  fixture.advance(3000ms);
  Http2Caller late(fixture.address());
  late.send("GET", "/long/1");
  REQUIRE(fixture.run_until([&] { return late.receive().complete; }));
  CHECK_FALSE(late.receive().success);
  CHECK(fixture.backend.held.empty());
}
