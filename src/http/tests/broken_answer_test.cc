// Tests the bytes that a caller receives when a response is aborted, read from a plain socket.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "http/server.h"
#include "http/socket_address.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

/// A caller's connection on which one request has been sent.
class RawCaller {
 public:
  RawCaller(const Endpoint& endpoint, const std::string& request)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = http::parse_endpoint(endpoint).value();
    REQUIRE(::connect(descriptor_, address.get(), address.length) == 0);
    send(request);
  }
  ~RawCaller() { ::close(descriptor_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  void send(std::string_view bytes) const {
    REQUIRE(::send(descriptor_, bytes.data(), bytes.size(), 0) ==
            static_cast<ssize_t>(bytes.size()));
  }
  /// Reads until the connection ends.
  std::string read_to_end() {
    std::string received;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = ::recv(descriptor_, buffer.data(), buffer.size(), 0)) > 0) {
      received.append(buffer.data(), static_cast<std::size_t>(count));
    }
    was_reset_ = count < 0 && errno == ECONNRESET;
    return received;
  }
  /// Whether read_to_end() found a reset instead of an orderly close.
  bool was_reset() const { return was_reset_; }

 private:
  int descriptor_;
  bool was_reset_ = false;
};

/// Runs the loop until the connection of the caller ends; returns what it received.
std::string run_to_end(http::EventLoop& loop, RawCaller& caller) {
  std::string received;
  std::thread reader([&] {
    received = caller.read_to_end();
    loop.stop();
  });
  loop.run();
  reader.join();
  return received;
}

const std::string kHttp11Request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const std::string kHttp10Request = "GET / HTTP/1.0\r\nhost: a\r\n\r\n";
constexpr std::string_view kEvent = "id: 1\n\n";

http::ServerSettings any_port() {
  http::ServerSettings settings;
  settings.listen = Endpoint("127.0.0.1:0");
  return settings;
}

}  // namespace

TEST_CASE("an aborted stream ends after its last complete chunk without further bytes") {
  http::EventLoop loop;
  http::Server server(loop, any_port());
  server.route("/", [&loop](const http::Request&, std::shared_ptr<http::ResponseWriter> response) {
    response->send_head({200, {{"content-type", "text/event-stream"}}});
    response->send_body("id: 1\n\n");
    loop.schedule_after(20ms, [response] { response->abort(); });
  });
  REQUIRE(server.listen());
  RawCaller caller(server.bound(), kHttp11Request);
  const std::string received = run_to_end(loop, caller);
  const std::size_t body = received.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  CHECK(received.substr(body + 4) == "7\r\nid: 1\n\n\r\n");
}

TEST_CASE("after announce_close(), responses close their connections and new ones are accepted") {
  http::EventLoop loop;
  http::Server server(loop, any_port());
  server.route("/",
               [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& response) {
                 response->respond(200, {}, "whole");
               });
  REQUIRE(server.listen());
  server.announce_close();
  RawCaller caller(server.bound(), kHttp11Request);
  // Would not return if the server kept the connection open.
  const std::string received = run_to_end(loop, caller);
  CHECK(received.ends_with("\r\n\r\nwhole"));
  std::string head = received.substr(0, received.find("\r\n\r\n"));
  std::transform(head.begin(), head.end(), head.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  CHECK(head.find("connection: close") != std::string::npos);
}

// Guards against an orderly close, which an HTTP/1.0 caller takes for the end of the answer.
TEST_CASE("HTTP/1.0: an aborted stream ends with a reset") {
  http::EventLoop loop;
  http::Server server(loop, any_port());
  server.route("/", [&loop](const http::Request&, std::shared_ptr<http::ResponseWriter> response) {
    response->send_head({200, {{"content-type", "text/event-stream"}}});
    response->send_body(kEvent);
    loop.schedule_after(20ms, [response] { response->abort(); });
  });
  REQUIRE(server.listen());
  RawCaller caller(server.bound(), kHttp10Request);
  const std::string received = run_to_end(loop, caller);
  CHECK(caller.was_reset());
  CHECK(received.ends_with(kEvent));
}

// Guards against a close that the kernel delivers behind the data before the connection is reset.
TEST_CASE("HTTP/1.0: a stream aborted while its caller does not read ends with a reset") {
  constexpr std::size_t kMoreThanBuffersTake = 32U << 20U;
  http::EventLoop loop;
  http::Server server(loop, any_port());
  std::shared_ptr<http::ResponseWriter> stream;
  std::function<void()> abort_and_read;
  server.route("/",
               [&](const http::Request&, const std::shared_ptr<http::ResponseWriter>& response) {
                 stream = response;
                 response->send_head({200, {{"content-type", "text/event-stream"}}});
                 response->send_body(std::string(kMoreThanBuffersTake, 'a'));
                 // Runs behind the first write, however late the loop is.
                 loop.post([&] { loop.schedule_after(200ms, abort_and_read); });
               });
  REQUIRE(server.listen());
  RawCaller caller(server.bound(), kHttp10Request);
  abort_and_read = [&] {
    REQUIRE(stream);
    stream->abort();
    // The caller reads everything that the kernel delivers before the loop continues.
    std::thread reader([&] { caller.read_to_end(); });
    reader.join();
    loop.stop();
  };
  loop.run();
  CHECK(caller.was_reset());
}

// Guards against an orderly close where the server ends before the stream.
TEST_CASE("HTTP/1.0: the connection of an unfinished stream is reset whenever it closes") {
  http::EventLoop loop;
  auto server = std::make_unique<http::Server>(loop, any_port());
  std::shared_ptr<http::ResponseWriter> stream;
  server->route("/",
                [&](const http::Request&, const std::shared_ptr<http::ResponseWriter>& response) {
                  stream = response;
                  response->send_head({200, {{"content-type", "text/event-stream"}}});
                  response->send_body(kEvent);
                });
  REQUIRE(server->listen());
  RawCaller caller(server->bound(), kHttp10Request);
  loop.schedule_after(50ms, [&] { loop.stop(); });
  loop.run();
  REQUIRE(stream);
  server.reset();
  const std::string received = caller.read_to_end();
  CHECK(caller.was_reset());
  CHECK(received.ends_with(kEvent));
}

TEST_CASE("HTTP/1.0: a finished stream ends with an orderly close") {
  constexpr std::size_t kMoreThanOneWrite = 1U << 20U;
  http::EventLoop loop;
  http::Server server(loop, any_port());
  server.route("/",
               [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& response) {
                 response->send_head({200, {{"content-type", "text/event-stream"}}});
                 response->send_body(std::string(kMoreThanOneWrite, 'a'));
                 response->finish();
               });
  REQUIRE(server.listen());
  RawCaller caller(server.bound(), kHttp10Request);
  const std::string received = run_to_end(loop, caller);
  CHECK_FALSE(caller.was_reset());
  CHECK(received.substr(received.find("\r\n\r\n") + 4) == std::string(kMoreThanOneWrite, 'a'));
}

// Guards against the reset that the kernel sends when a connection with unread input is closed: it
// discards what the caller has not received yet.
TEST_CASE("a finished response ends with an orderly close although input follows its request") {
  std::string request = kHttp10Request;
  SUBCASE("HTTP/1.0") {}
  SUBCASE("HTTP/1.1 with Connection: close") {
    request = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
  }
  http::EventLoop loop;
  http::Server server(loop, any_port());
  std::unique_ptr<RawCaller> caller;
  server.route("/", [&](const http::Request&, const auto& response) {
    caller->send("\r\n");
    response->send_head({200, {{"content-type", "text/event-stream"}}});
    response->send_body(kEvent);
    response->finish();
  });
  REQUIRE(server.listen());
  caller = std::make_unique<RawCaller>(server.bound(), request);
  const std::string received = run_to_end(loop, *caller);
  CHECK_FALSE(caller->was_reset());
  CHECK(received.find(kEvent) != std::string::npos);
}
