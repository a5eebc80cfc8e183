// The holders of a request that a stop awaits, for callers who speak HTTP/2: a server that did not
// count their requests as held passed every test of a stop.
#include <doctest/doctest.h>

#include "gateway_node/tests/http2_caller.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

void await_at_backend(StoppingNode& world) {
  REQUIRE(world.comes_about([&] { return world.backend.held.size() == 1; }));
}

void check_answered(StoppingNode& world, Http2Caller& caller) {
  CHECK_FALSE(world.stopped());
  world.backend.answer("done");
  CHECK(world.comes_about([&] { return caller.receive().complete; }));
  const Http2Caller::Answer answer = caller.receive();
  CHECK(answer.success);
  CHECK(answer.body == "done");
  world.advance(200ms);
  CHECK(world.stopped());
}

}  // namespace

TEST_CASE(
    "HTTP/2: a request that waits for a configuration while the store is silent is answered") {
  StoppingNode world;
  world.node.stop();
  world.store.silent = true;
  world.advance(2300ms);
  Http2Caller caller(world.address());
  caller.send("GET", "/unknown/1");
  world.settle();
  world.advance(2000ms);
  CHECK(world.stopped());
  CHECK(caller.receive().complete);
  CHECK_FALSE(caller.receive().success);
}

TEST_CASE("HTTP/2: a request that is partly in is served") {
  StoppingNode world;
  Http2Caller caller(world.address());
  caller.send("POST", "/short/1", "0123");
  world.settle();
  world.node.stop();
  world.advance(4000ms);
  REQUIRE_FALSE(world.stopped());
  caller.send_rest("4567");
  await_at_backend(world);
  check_answered(world, caller);
}

TEST_CASE(
    "HTTP/2: a request that a back end works on is served, also when settings are read again") {
  StoppingNode world;
  Http2Caller caller(world.address());
  caller.send("GET", "/long/1");
  await_at_backend(world);
  world.node.stop();
  world.advance(1000ms);
  world.node.reload(world.settings());
  world.advance(3000ms);
  check_answered(world, caller);
}

TEST_CASE("HTTP/2: a request whose connection waits to be accepted at the close is served") {
  StoppingNode world;
  world.node.stop();
  world.advance(3480ms);
  Http2Caller caller(world.address());
  caller.send("GET", "/short/1");
  world.clock.move(20ms);
  await_at_backend(world);
  check_answered(world, caller);
}

TEST_CASE("HTTP/2: an answer that its caller takes slowly leaves whole") {
  StoppingNode world;
  Http2Caller caller(world.address());
  caller.send("GET", "/long/1");
  await_at_backend(world);
  const std::string body(16U << 20U, 'x');
  world.backend.answer(body);
  world.settle();
  world.node.stop();
  world.advance(5000ms);
  REQUIRE_FALSE(world.stopped());
  CHECK(world.comes_about([&] { return caller.receive().complete; }));
  CHECK(caller.receive().body == body);
  world.advance(200ms);
  CHECK(world.stopped());
}

TEST_CASE("HTTP/2: a request that outlasts the grace is answered, not cut") {
  StoppingNode world;
  Http2Caller caller(world.address());
  caller.send("GET", "/long/1");
  await_at_backend(world);
  world.node.stop();
  world.advance(7400ms);
  CHECK_FALSE(world.stopped());
  world.advance(400ms);
  CHECK(world.stopped());
  CHECK(caller.receive().complete);
  CHECK_FALSE(caller.receive().success);
}

TEST_CASE("HTTP/2: a request that may outlast the grace is refused in time") {
  StoppingNode world;
  world.node.stop();
  world.advance(3000ms);
  Http2Caller late(world.address());
  late.send("GET", "/long/1");
  REQUIRE(world.comes_about([&] { return late.receive().complete; }));
  CHECK_FALSE(late.receive().success);
  CHECK(world.backend.held.empty());
}
