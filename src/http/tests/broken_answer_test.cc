// Tests the bytes that a caller receives when a response is aborted, read from a plain socket.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <thread>

#include "http/server.h"
#include "http/socket_address.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

/// Sends `request` and reads until the connection closes.
std::string read_raw(const Endpoint& endpoint, const std::string& request) {
  auto address = http::parse_endpoint(endpoint).value();
  const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(::connect(caller, address.get(), address.length) == 0);
  REQUIRE(::send(caller, request.data(), request.size(), 0) > 0);
  std::string received;
  std::array<char, 4096> buffer{};
  ssize_t count = 0;
  while ((count = ::recv(caller, buffer.data(), buffer.size(), 0)) > 0) {
    received.append(buffer.data(), static_cast<std::size_t>(count));
  }
  ::close(caller);
  return received;
}

}  // namespace

TEST_CASE("an aborted stream ends after its last complete chunk without further bytes") {
  http::EventLoop loop;
  http::ServerSettings settings;
  settings.listen = Endpoint("127.0.0.1:0");
  http::Server server(loop, settings);
  server.route("/", [&loop](const http::Request&, std::shared_ptr<http::ResponseWriter> response) {
    response->send_head({200, {{"content-type", "text/event-stream"}}});
    response->send_body("id: 1\n\n");
    loop.schedule_after(20ms, [response] { response->abort(); });
  });
  REQUIRE(server.listen());
  std::string received;
  std::thread caller([&] {
    received = read_raw(server.bound(), "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    loop.stop();
  });
  loop.run();
  caller.join();
  const std::size_t body = received.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  CHECK(received.substr(body + 4) == "7\r\nid: 1\n\n\r\n");
}

TEST_CASE("after announce_close(), responses close their connections and new ones are accepted") {
  http::EventLoop loop;
  http::ServerSettings settings;
  settings.listen = Endpoint("127.0.0.1:0");
  http::Server server(loop, settings);
  server.route("/",
               [](const http::Request&, const std::shared_ptr<http::ResponseWriter>& response) {
                 response->respond(200, {}, "whole");
               });
  REQUIRE(server.listen());
  server.announce_close();
  std::string received;
  std::thread caller([&] {
    // Reads until the connection closes; would not return if the server kept it open.
    received = read_raw(server.bound(), "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    loop.stop();
  });
  loop.run();
  caller.join();
  CHECK(received.ends_with("\r\n\r\nwhole"));
  std::string head = received.substr(0, received.find("\r\n\r\n"));
  std::transform(head.begin(), head.end(), head.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  CHECK(head.find("connection: close") != std::string::npos);
}
