// Requests whose caller disconnects. Guards against a node that keeps back ends working, or sends a
// request to a further one, long after the caller has left. Each case combines one way to leave
// with one state of the request.
#include <doctest/doctest.h>

#include <string>

#include "gateway_node/tests/http2_caller.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;

namespace {

/// Callers' bound for the end of the work after they have left is half a second. The rest is left
/// to the connection between node and back end.
constexpr Duration kReactionBound = 400ms;

const std::string kRequest = "GET /long/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n";

/// One way to leave.
struct Departure {
  const char* name;
  const char* bytes;  ///< Sent last, behind the request.
  void (*leave)(RawCaller& caller);
};

void close(RawCaller& caller) {
  caller.close();
}
void reset(RawCaller& caller) {
  caller.reset();
}
void shut_down(RawCaller& caller) {
  caller.shut_down_sending();
}

constexpr const char* kNextRequest = "GET /long/2 HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr Departure kDepartures[] = {
    {"close", "", close},
    {"reset", "", reset},
    {"half-close", "", shut_down},
    {"close behind an empty line", "\r\n", close},
    {"half-close behind an empty line", "\r\n", shut_down},
    {"close behind a pipelined request", kNextRequest, close},
    {"reset behind a pipelined request", kNextRequest, reset},
};

struct Http2Departure {
  const char* name;
  void (*leave)(Http2Caller& caller);
};

constexpr Http2Departure kHttp2Departures[] = {
    {"stream reset", [](Http2Caller& caller) { caller.reset_stream(); }},
    {"close", [](Http2Caller& caller) { caller.connection().close(); }},
    {"reset", [](Http2Caller& caller) { caller.connection().reset(); }},
    {"close behind GOAWAY",
     [](Http2Caller& caller) {
       caller.go_away();
       caller.connection().close();
     }},
};

/// The part of the answer that has been sent when the caller leaves.
struct AnswerState {
  const char* name;
  void (*send)(NodeFixture& fixture);
};

constexpr AnswerState kAnswerStates[] = {
    {"no answer yet", [](NodeFixture& /*fixture*/) {}},
    {"first event sent",
     [](NodeFixture& fixture) {
       fixture.backend.begin_stream();
       fixture.backend.held.front()->send_body("id: 1\ndata: a\n\n");
       fixture.settle();
     }},
    {"events blocked by a caller that does not read",
     [](NodeFixture& fixture) {
       constexpr std::size_t kMoreThanBuffersTake = 16U << 20U;
       fixture.backend.begin_stream();
       fixture.backend.held.front()->send_body(
           "id: 1\ndata: " + std::string(kMoreThanBuffersTake, 'a') + "\n\n");
       fixture.settle();
     }},
};

/// Stores an idle connection to the back end, on which a request is sent without waiting for a
/// connection.
void keep_backend_connection(NodeFixture& fixture) {
  RawCaller caller(fixture.address());
  caller.send(kRequest);
  fixture.await_at_backend();
  fixture.backend.answer("done");
  REQUIRE(fixture.run_until([&] { return caller.receive().ends_with("done"); }));
}

/// Checks that the back end's connection ends within the bound after the caller has left.
void check_backend_released(NodeFixture& fixture) {
  fixture.settle();
  fixture.advance(kReactionBound);
  fixture.settle();
  CHECK(fixture.backend.held.front()->closed());
}

/// A node that holds no request exits soon after callers have had time to notice its stop.
void check_holds_nothing(NodeFixture& fixture) {
  fixture.node.stop();
  fixture.advance(3650ms);
  CHECK(fixture.stopped());
}

}  // namespace

TEST_CASE("a back end's work ends soon after the caller has left") {
  for (const AnswerState& state : kAnswerStates) {
    for (const Departure& departure : kDepartures) {
      CAPTURE(std::string(state.name));
      CAPTURE(std::string(departure.name));
      NodeFixture fixture;
      RawCaller caller(fixture.address());
      caller.send(kRequest);
      fixture.await_at_backend();
      state.send(fixture);
      caller.send(departure.bytes);
      fixture.settle();
      departure.leave(caller);
      check_backend_released(fixture);
    }
  }
}

TEST_CASE("HTTP/2: a back end's work ends soon after the caller has left") {
  for (const AnswerState& state : kAnswerStates) {
    for (const Http2Departure& departure : kHttp2Departures) {
      CAPTURE(std::string(state.name));
      CAPTURE(std::string(departure.name));
      NodeFixture fixture;
      Http2Caller caller(fixture.address());
      caller.send("GET", "/long/1");
      fixture.await_at_backend();
      state.send(fixture);
      departure.leave(caller);
      check_backend_released(fixture);
    }
  }
}

TEST_CASE("HTTP/2: GOAWAY alone does not end a request") {
  NodeFixture fixture;
  Http2Caller caller(fixture.address());
  caller.send("GET", "/long/1");
  fixture.await_at_backend();
  caller.go_away();
  fixture.settle();
  fixture.advance(kReactionBound);
  fixture.backend.answer("done");
  CHECK(fixture.run_until([&] { return caller.receive().complete; }));
  CHECK(caller.receive().body == "done");
}

TEST_CASE("a request whose caller leaves before the node reads it reaches no back end") {
  for (const Departure& departure : kDepartures) {
    CAPTURE(std::string(departure.name));
    NodeFixture fixture;
    keep_backend_connection(fixture);
    RawCaller caller(fixture.address());
    caller.send(kRequest + departure.bytes);
    departure.leave(caller);
    fixture.settle();
    CHECK(fixture.backend.held.empty());
    check_holds_nothing(fixture);
  }
}

TEST_CASE("HTTP/2: a request whose caller leaves before the node reads it reaches no back end") {
  for (const Http2Departure& departure : kHttp2Departures) {
    CAPTURE(std::string(departure.name));
    NodeFixture fixture;
    keep_backend_connection(fixture);
    Http2Caller caller(fixture.address());
    caller.send("GET", "/long/1");
    departure.leave(caller);
    fixture.settle();
    CHECK(fixture.backend.held.empty());
    check_holds_nothing(fixture);
  }
}
