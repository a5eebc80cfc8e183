// Back ends that send bytes without end. Guards against a node that reads them all, into memory
// that its other requests need.
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "gateway_node/tests/raw_backend.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// More than the node and the kernel's buffers take.
constexpr std::size_t kEndless = 16U << 20U;

std::string signature() {
  return std::string(gateway::HeaderNames().signature) + ": sig\r\n";
}

/// An answer whose beginning is followed by `part` without end.
struct EndlessAnswer {
  const char* name;
  const char* path;
  std::string beginning;
  std::string part;
};

std::string filler(std::string_view before, std::string_view after) {
  return std::string(before) + std::string(8000, 'f') + std::string(after);
}

/// Sends the answer until the node closes the connection; returns how much it took.
std::size_t send_until_closed(RawBackend& backend, NodeFixture& fixture,
                              const EndlessAnswer& answer) {
  std::string bytes = answer.beginning;
  std::size_t sent = 0;
  while (sent < kEndless && !backend.was_closed()) {
    while (bytes.size() < (256U << 10U)) {
      bytes += answer.part;
    }
    const std::size_t count = backend.send(fixture, bytes);
    bytes.erase(0, count);
    sent += count;
    fixture.settle();
  }
  return sent;
}

}  // namespace

TEST_CASE("a back end's connection is closed where it sends bytes without end") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string other = gateway::HeaderNames().request_id + ": other\r\n";
  const std::string chunked = head + signature() + "transfer-encoding: chunked\r\n\r\n";
  const EndlessAnswer answers[] = {
      {"head", "/short/1", head, filler("x-filler: ", "\r\n")},
      {"interim responses", "/short/1", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"one line", "/short/1", "", filler("", "")},
      {"error", "/short/1", "HTTP/1.1 500 X\r\n" + signature() + "\r\n", filler("", "")},
      {"body without signature", "/short/1", head + "\r\n", filler("", "")},
      {"chunks without signature", "/short/1", head + "transfer-encoding: chunked\r\n\r\n",
       "1f40\r\n" + filler("", "\r\n")},
      {"event", "/stream/1", head + signature() + "\r\n", filler("data: ", "\n")},
      {"answer to another request", "/short/1", head + other + "\r\n", filler("", "")},
      {"answers to other requests", "/short/1", "", head + other + "content-length: 0\r\n\r\n"},
      {"long answers to other requests", "/short/1", "",
       head + other + "content-length: 8000\r\n\r\n" + filler("", "")},
      {"chunk extension", "/short/1", chunked + "5;x=", filler("", "")},
      {"chunk extension behind a chunk", "/short/1", chunked + "2\r\nok\r\n5;x=", filler("", "")},
      {"chunk extensions", "/short/1", chunked, "1;" + filler("", "") + "\r\nx\r\n"},
      {"trailer", "/short/1", chunked + "2\r\nok\r\n0\r\nx: ", filler("", "")},
      {"trailers", "/short/1", chunked + "2\r\nok\r\n0\r\n", filler("x: ", "\r\n")},
      {"digits of a chunk size", "/short/1", chunked, std::string(8000, '0')},
      {"chunk extension of a stream", "/stream/1", chunked + "5;x=", filler("", "")},
  };
  for (const EndlessAnswer& answer : answers) {
    CAPTURE(std::string(answer.name));
    RawBackend backend;
    NodeFixture fixture(backend.address());
    RawCaller caller(fixture.address());
    caller.send("GET " + std::string(answer.path) +
                " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n");
    backend.await_request(fixture);
    CHECK(send_until_closed(backend, fixture, answer) < kEndless);
    REQUIRE(fixture.run_until([&] { return !caller.receive().empty(); }));
    CHECK(caller.receive().starts_with("HTTP/1.1 502 "));
  }
}

// Guards against large answers that are held in memory, and against one that looks complete
// although its back end broke it off.
TEST_CASE("a large success is forwarded as it arrives") {
  constexpr std::size_t kSize = 5U << 20U;
  RawBackend backend;
  NodeFixture fixture(backend.address());
  RawCaller caller(fixture.address());
  caller.send("GET /short/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n");
  backend.await_request(fixture);
  bool breaks_off = false;
  SUBCASE("whole") {}
  SUBCASE("broken off") {
    breaks_off = true;
  }
  const std::string bytes = "HTTP/1.1 200 OK\r\n" + signature() +
                            "content-length: " + std::to_string(kSize) + "\r\n\r\n" +
                            std::string(breaks_off ? kSize / 2 : kSize, 'b');
  std::size_t sent = 0;
  REQUIRE(fixture.run_until([&] {
    sent += backend.send(fixture, std::string_view(bytes).substr(sent));
    caller.receive();
    return sent == bytes.size();
  }));
  if (breaks_off) {
    backend.close();
  }
  REQUIRE(fixture.run_until([&] {
    const std::string& received = caller.receive();
    return received.ends_with("\r\n0\r\n\r\n") || caller.end() != ConnectionEnd::kOpen;
  }));
  const std::string& received = caller.receive();
  CHECK(received.starts_with("HTTP/1.1 200 "));
  CHECK(received.ends_with("\r\n0\r\n\r\n") != breaks_off);
  CHECK(received.size() > (breaks_off ? kSize / 2 - (1U << 20U) : kSize));
}
