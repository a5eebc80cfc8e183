// Tests responses whose connection ends inside the head, or whose head states no usable framing.
// Guards against a response that was cut short and is taken for complete.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <string_view>

#include "http/client.h"
#include "http/connection_relay.h"
#include "http/tests/cutting_server.h"
#include "http/tests/recorded_response.h"

using namespace ochrespring;
using http::HttpErrc;
using http::testing::CutEnd;
using http::testing::CutPlan;
using http::testing::CuttingServer;
using http::testing::RecordedResponse;

namespace {

const Endpoint kAnyPort("127.0.0.1:0");
const std::string kWhole = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nok";

/// A client that reaches its servers directly or through a relay.
struct ClientFixture {
  ClientFixture() { REQUIRE(relay.listen()); }

  RecordedResponse fetch(const Endpoint& server, bool relayed) {
    http::ClientRequest request;
    request.endpoint = server;
    request.echo = http::Header{"x-id", "mine"};
    request.close_ends_answer = true;
    if (relayed) {
      request.relay = http::RelayHop{relay.bound()};
    }
    RecordedResponse response(loop);
    const auto exchange = client.start(std::move(request), response);
    loop.run();
    return response;
  }
  /// Returns the response to the last request that the server gets.
  RecordedResponse play(const CutPlan& plan, bool relayed) {
    const CuttingServer server(plan);
    if (!plan.before.empty()) {
      REQUIRE(fetch(server.endpoint(), relayed).complete);
    }
    return fetch(server.endpoint(), relayed);
  }

  http::EventLoop loop;
  http::Client client{loop};
  http::ConnectionRelay relay{loop,
                              {.listen = kAnyPort},
                              {.admit = [](const Endpoint&, const Endpoint&) { return true; },
                               .on_result = [](const Endpoint&, bool) {},
                               .on_idle = [] {}}};
};

constexpr std::string_view kFramings[] = {
    "content-length: 0\r\n",
    "content-length: 2\r\n",
    "transfer-encoding: chunked\r\n",
    "connection: close\r\n",
};
constexpr std::string_view kInterimHeads[] = {
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
};

/// Checks a response of which only the first bytes came, none of them behind its head.
void check_cut(ClientFixture& fixture, const CutPlan& plan, bool relayed) {
  CAPTURE(plan.before);
  CAPTURE(plan.bytes);
  CAPTURE((plan.end == CutEnd::kReset));
  CAPTURE(relayed);
  const RecordedResponse response = fixture.play(plan, relayed);
  CHECK_FALSE(response.complete);
  CHECK(response.status == 0);
  CHECK(response.body.empty());
  CHECK(response.sent);
  const bool may_be_unread = !plan.before.empty() && plan.bytes.empty();
  CHECK(response.error == (may_be_unread ? HttpErrc::kStaleConnection : HttpErrc::kReset));
}

void check_all_cuts(bool relayed, bool reused) {
  ClientFixture fixture;
  for (const std::string_view interim : kInterimHeads) {
    for (const std::string_view framing : kFramings) {
      const std::string head = std::string(interim) + "HTTP/1.1 200 OK\r\nx-id: mine\r\n" +
                               std::string(framing) + "\r\n";
      for (std::size_t cut = 0; cut != head.size(); ++cut) {
        for (const CutEnd end : {CutEnd::kClose, CutEnd::kReset}) {
          check_cut(fixture, {reused ? kWhole : "", head.substr(0, cut), end}, relayed);
        }
      }
    }
  }
}

/// The lines of a head that frame its body, and what the server sends of the body.
struct FramingRow {
  const char* framing;
  const char* body;
};

constexpr FramingRow kUnusableFramings[] = {
    {"content-length:\r\n", "who"},
    {"content-length: \r\n", "who"},
    {"content-length:\r\n 5\r\n", "who"},
    {"content-length: 3\r\n 0\r\n", "who"},
    {"content-length: -3\r\n", "who"},
    {"content-length: +3\r\n", "who"},
    {"content-length: 0x3\r\n", "who"},
    {"content-length: 3.0\r\n", "who"},
    {"content-length: 3, 5\r\n", "who"},
    {"content-length: three\r\n", "who"},
    {"content-length: 99999999999999999999999\r\n", "who"},
    {"content-length: 3\r\ncontent-length: 5\r\n", "who"},
    {"content-length: 5\r\ncontent-length: 3\r\n", "who"},
    {"content-length: 3\r\ncontent-length: x\r\n", "who"},
    {"content-length:\r\ncontent-length: 3\r\n", "who"},
    {"content-length: 3\r\ntransfer-encoding: chunked\r\n", "who"},
    {"content-length: 8\r\ntransfer-encoding: chunked\r\n", "3\r\nwho\r\n"},
    {"transfer-encoding: chunked\r\ncontent-length: 8\r\n", "3\r\nwho\r\n"},
    {"content-length: 3\r\ntransfer-encoding: gzip\r\n", "who"},
    {"transfer-encoding: gzip\r\n", "who"},
    {"transfer-encoding:\r\n", "who"},
    {"transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n", "3\r\nwho\r\n"},
    {"transfer-encoding:\r\n chunked\r\n", "3\r\nwho\r\n"},
};

}  // namespace

TEST_CASE("a connection that ends inside a response head never completes the response") {
  SUBCASE("direct") {
    check_all_cuts(false, false);
  }
  SUBCASE("relayed") {
    check_all_cuts(true, false);
  }
}

// Guards against a request that is taken for unread although its response has begun.
TEST_CASE("a reused connection that ends inside a response head is not stale") {
  SUBCASE("direct") {
    check_all_cuts(false, true);
  }
  SUBCASE("relayed") {
    check_all_cuts(true, true);
  }
}

// Guards against a request that counts as read because of an earlier one's surplus response.
TEST_CASE("a reused connection that ends behind a response to another request is stale") {
  const std::string surplus = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nstray";
  ClientFixture fixture;
  for (const std::string& bytes : {surplus, surplus.substr(0, surplus.size() - 1),
                                   "HTTP/1.1 100 Continue\r\n\r\n" + surplus}) {
    CAPTURE(bytes);
    CHECK(fixture.play({kWhole, bytes, CutEnd::kClose}, false).error == HttpErrc::kStaleConnection);
  }
}

TEST_CASE("a close never completes a response whose head states no usable framing") {
  ClientFixture fixture;
  for (const FramingRow& row : kUnusableFramings) {
    CAPTURE(std::string(row.framing));
    const std::string head =
        "HTTP/1.1 200 OK\r\nx-id: mine\r\n" + std::string(row.framing) + "\r\n";
    for (const bool relayed : {false, true}) {
      CAPTURE(relayed);
      const RecordedResponse response =
          fixture.play({"", head + std::string(row.body), CutEnd::kClose}, relayed);
      CHECK_FALSE(response.complete);
      CHECK(response.sent);
    }
  }
}

TEST_CASE("a response whose head states its length twice alike is complete") {
  ClientFixture fixture;
  const RecordedResponse response = fixture.play(
      {"", "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
       CutEnd::kClose},
      false);
  CHECK(response.complete);
  CHECK(response.body == "whole");
}

TEST_CASE("a folded header line continues the value before it") {
  ClientFixture fixture;
  const RecordedResponse response = fixture.play(
      {"",
       "HTTP/1.1 200 OK\r\nx-id: mine\r\nx-text: one\r\n \t two\r\n \r\ncontent-length:\r\n "
       "5\r\n\r\nwhole",
       CutEnd::kClose},
      false);
  CHECK(response.complete);
  CHECK(response.body == "whole");
  REQUIRE(response.headers.size() == 3);
  CHECK(http::find_header(response.headers, "x-text") == "one two");
}
