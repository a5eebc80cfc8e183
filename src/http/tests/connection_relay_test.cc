// Tests requests through a relay to a server on a plain socket. Guards against requests that count
// as sent although the relay did not connect, and broken responses that look complete.
#include "http/connection_relay.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "http/client.h"
#include "http/socket_address.h"
#include "http/tests/recorded_response.h"

using namespace ochrespring;
using namespace std::chrono_literals;
using http::testing::RecordedResponse;

namespace {

const Endpoint kAnyPort("127.0.0.1:0");
const std::string kWholeResponse = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
const std::string kResponseEndedByClose = "HTTP/1.1 200 OK\r\n\r\nbody";

enum class End : std::uint8_t { kOpen, kClose, kReset };

/// Accepts one connection, reads one request, and answers it.
class RawServer {
 public:
  RawServer() : listener_(http::open_listener(kAnyPort, false).value()) {}
  ~RawServer() {
    if (thread_.joinable()) {
      thread_.join();
    }
    ::close(connection_);
    ::close(listener_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  Endpoint endpoint() const { return bound_endpoint(listener_); }
  void serve(const std::string& response, End end) {
    thread_ = std::thread([this, response, end] {
      while ((connection_ = ::accept(listener_, nullptr, nullptr)) < 0) {
      }
      std::array<char, 4096> buffer{};
      while (request_.find("\r\n\r\n") == std::string::npos) {
        const ssize_t count = ::recv(connection_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
          return;
        }
        request_.append(buffer.data(), static_cast<std::size_t>(count));
      }
      ::send(connection_, response.data(), response.size(), MSG_NOSIGNAL);
      if (end == End::kReset) {
        std::this_thread::sleep_for(50ms);
        const linger reset{1, 0};
        ::setsockopt(connection_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      }
      if (end != End::kOpen) {
        ::close(std::exchange(connection_, -1));
      }
    });
  }
  /// Waits until the connection is closed by its other side.
  void await_close() {
    thread_.join();
    std::array<char, 4096> buffer{};
    while (::recv(connection_, buffer.data(), buffer.size(), 0) > 0) {
    }
  }
  const std::string& request() const { return request_; }

 private:
  int listener_;
  int connection_ = -1;
  std::string request_;
  std::thread thread_;
};

struct Fixture {
  http::EventLoop loop;
  http::Client client{loop};
  bool admits = true;
  std::optional<http::ConnectionRelay> relay;
  RecordedResponse outcome{loop};
  RawServer server;

  Fixture() {
    relay.emplace(loop, http::ConnectionRelay::Options{.listen = kAnyPort},
                  http::ConnectionRelay::Callbacks{
                      .admit = [this](const Endpoint&, const Endpoint&) { return admits; },
                      .on_result = [](const Endpoint&, bool) {},
                      .on_idle = [] {}});
    REQUIRE(relay->listen());
  }
  std::unique_ptr<http::Exchange> start(const Endpoint& endpoint) {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.relay = http::RelayHop{relay->bound()};
    request.path = "/through";
    request.close_ends_answer = true;
    return client.start(std::move(request), outcome);
  }
  void run(const Endpoint& endpoint) {
    const auto exchange = start(endpoint);
    loop.run();
  }
};

}  // namespace

TEST_CASE("a relayed request and its response arrive unchanged, and the connection is reused") {
  Fixture f;
  f.server.serve(kWholeResponse, End::kOpen);
  f.run(f.server.endpoint());
  CHECK(f.outcome.complete);
  CHECK(f.outcome.body == "body");
  CHECK(f.server.request().starts_with("GET /through HTTP/1.1\r\n"));
  CHECK(f.client.has_idle_connection(f.server.endpoint(), true));
  CHECK_FALSE(f.client.has_idle_connection(f.server.endpoint(), false));
  CHECK(f.relay->open_connections() == 1);
}

TEST_CASE("an idle connection is used only through a relay that the request accepts") {
  Fixture f;
  f.server.serve(kWholeResponse, End::kOpen);
  f.run(f.server.endpoint());
  REQUIRE(f.client.has_idle_connection(f.server.endpoint(), true));
  const Endpoint former = f.relay->bound();
  http::ClientRequest request;
  request.endpoint = f.server.endpoint();
  bool accepted = true;
  SUBCASE("accepted") {}
  SUBCASE("not accepted") {
    accepted = false;
  }
  std::vector<Endpoint> asked;
  request.relay = http::RelayHop{Endpoint("127.0.0.1:1"), [&](const Endpoint& relay) {
                                   asked.push_back(relay);
                                   return accepted;
                                 }};
  const auto exchange = f.client.start(std::move(request), f.outcome);
  CHECK(asked == std::vector{former});
  CHECK(f.client.statistics().connections_reused == (accepted ? 1 : 0));
  CHECK_FALSE(f.client.has_idle_connection(f.server.endpoint(), true));
}

TEST_CASE("an orderly close ends a relayed response without a length") {
  Fixture f;
  f.server.serve(kResponseEndedByClose, End::kClose);
  f.run(f.server.endpoint());
  CHECK(f.outcome.complete);
  CHECK(f.outcome.body == "body");
}

TEST_CASE("a reset of the server does not complete a relayed response without a length") {
  Fixture f;
  f.server.serve(kResponseEndedByClose, End::kReset);
  f.run(f.server.endpoint());
  CHECK_FALSE(f.outcome.complete);
  CHECK(f.outcome.error == http::HttpErrc::kTruncated);
}

TEST_CASE("the end of the relay does not complete a relayed response without a length") {
  Fixture f;
  f.server.serve(kResponseEndedByClose, End::kOpen);
  f.outcome.after_body = [&] { f.loop.post([&] { f.relay.reset(); }); };
  f.run(f.server.endpoint());
  CHECK_FALSE(f.outcome.complete);
  CHECK(f.outcome.error == http::HttpErrc::kTruncated);
}

TEST_CASE("nothing counts as sent if the relay refuses or cannot connect") {
  Fixture f;
  SUBCASE("refuses") {
    f.admits = false;
    f.run(f.server.endpoint());
    CHECK(f.outcome.error == http::HttpErrc::kRelayRefused);
    CHECK(f.relay->statistics().refused == 1);
  }
  SUBCASE("does not relay any more") {
    const Endpoint address = f.relay->bound();
    f.relay->stop_accepting();
    http::ClientRequest request;
    request.endpoint = f.server.endpoint();
    request.relay = http::RelayHop{address};
    const auto exchange = f.client.start(std::move(request), f.outcome);
    f.loop.run();
    CHECK(f.outcome.error == http::HttpErrc::kRelayFailed);
  }
  SUBCASE("cannot connect") {
    Endpoint nobody;
    {
      const RawServer gone;
      nobody = gone.endpoint();
    }
    f.run(nobody);
    CHECK(f.outcome.error == http::HttpErrc::kConnect);
    CHECK(f.relay->statistics().unreachable == 1);
  }
  CHECK_FALSE(f.outcome.sent);
  CHECK(f.relay->open_connections() == 0);
}

TEST_CASE("a relay refuses bytes that are not a preface") {
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\nhost: a\r\n\r\n"), std::string(500, 'x'),
        http::make_relay_preface(kAnyPort) + "GET / HTTP/1.1\r\n\r\n"}) {
    Fixture f;
    f.outcome.after_body = [&] { f.loop.stop(); };
    auto address = http::parse_endpoint(f.relay->bound()).value();
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(::connect(caller, address.get(), address.length) == 0);
    REQUIRE(::send(caller, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    f.loop.schedule_after(100ms, [&] { f.loop.stop(); });
    f.loop.run();
    CHECK(f.relay->statistics().refused == 1);
    CHECK(f.relay->statistics().connected == 0);
    CHECK(f.relay->open_connections() == 0);
    ::close(caller);
  }
}

TEST_CASE("a cancelled relayed exchange closes the server's connection") {
  Fixture f;
  f.server.serve(kResponseEndedByClose, End::kOpen);
  auto exchange = f.start(f.server.endpoint());
  f.outcome.after_body = [&] {
    f.loop.post([&] { exchange.reset(); });
    f.loop.schedule_after(100ms, [&] { f.loop.stop(); });
  };
  f.loop.run();
  f.server.await_close();
  CHECK(f.relay->open_connections() == 0);
}
