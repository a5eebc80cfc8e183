// Tests how a server's clients give way at the limits that its guard sets.
#include "http/caller_guard.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/socket_address.h"
#include "http/server.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMemory = 1U << 20U;
constexpr std::size_t kConnections = 8;
constexpr std::size_t kMaxBody = 512U << 10U;

/// A client on a blocking socket, which sends and reads while the loop does not run.
class RawClient {
 public:
  explicit RawClient(const Endpoint& server) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = parse_endpoint(server);
    REQUIRE(::connect(descriptor_, address->get(), address->length) == 0);
  }
  ~RawClient() { ::close(descriptor_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  /// Sends as much as the kernel takes and returns the number of bytes.
  std::size_t send(const std::string& bytes) const {
    const ssize_t sent =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
  }
  /// What has arrived.
  std::string received() {
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::recv(descriptor_, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0) {
      received_.append(buffer, static_cast<std::size_t>(count));
    }
    closed_ = closed_ || count == 0 || errno == ECONNRESET;
    return received_;
  }
  bool closed() {
    received();
    return closed_;
  }

 private:
  int descriptor_;
  std::string received_;
  bool closed_ = false;
};

struct Fixture {
  http::EventLoop loop;
  http::CallerGuard guard{loop, {.memory_bytes = kMemory, .connections = kConnections}};
  http::Server server{loop,
                      {.listen = Endpoint("127.0.0.1:0"),
                       .tls = {},
                       .largest_body_bytes = kMaxBody,
                       .guard = &guard}};
  std::vector<std::shared_ptr<http::ResponseWriter>> waiting;
  std::vector<http::Request> requests;

  Fixture() {
    server.route(
        "/", [](const http::Request&, const auto& response) { response->respond(200, {}, "ok"); });
    server.route("/wait", [this](http::Request request, const auto& response) {
      requests.push_back(std::move(request));
      waiting.push_back(response);
    });
    REQUIRE(server.listen());
  }

  std::unique_ptr<RawClient> connect() { return std::make_unique<RawClient>(server.bound()); }

  void run(Duration time) {
    Timer end(loop);
    end.arm(time, [this] { loop.stop(); });
    loop.run();
  }
  /// Runs the loop until the condition holds; fails if it does not within many turns.
  void run_until(const std::function<bool()>& holds) {
    for (int i = 0; i != 1000 && !holds(); ++i) {
      run(5ms);
    }
    CHECK(holds());
  }
  void send_all(const RawClient& client, const std::string& bytes) {
    std::size_t sent = 0;
    run_until([&] {
      sent += client.send(bytes.substr(sent));
      return sent == bytes.size() || guard.statistics().requests_evicted != 0;
    });
  }
};

std::string head(const std::string& path, std::size_t length) {
  return "POST " + path + " HTTP/1.1\r\nhost: h\r\ncontent-length: " + std::to_string(length) +
         "\r\n\r\n";
}

std::string request(const std::string& path, std::size_t length) {
  return head(path, length) + std::string(length, 'b');
}

bool is_answered(RawClient& client, const std::string& status) {
  return client.received().starts_with("HTTP/1.1 " + status);
}

}  // namespace

TEST_CASE("bodies held short give way to others, and their senders read why") {
  Fixture fixture;
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i != 4; ++i) {
    crowd.push_back(fixture.connect());
    fixture.send_all(*crowd.back(), head("/", kMaxBody) + std::string(kMaxBody - 64, 'b'));
  }
  fixture.run_until([&] { return fixture.guard.statistics().requests_evicted != 0; });
  CHECK(fixture.guard.account().total() <= kMemory);
  const auto is_rejected = [](const auto& client) {
    return is_answered(*client, "503") &&
           client->received().find("retry-after: ") != std::string::npos;
  };
  fixture.run_until([&] { return std::any_of(crowd.begin(), crowd.end(), is_rejected); });
  const auto ordinary = fixture.connect();
  ordinary->send(request("/", 1000));
  fixture.run_until([&] { return is_answered(*ordinary, "200"); });
}

TEST_CASE("a single body of the largest size is served") {
  Fixture fixture;
  const auto client = fixture.connect();
  fixture.send_all(*client, request("/", kMaxBody));
  fixture.run_until([&] { return is_answered(*client, "200"); });
  CHECK(fixture.guard.statistics().requests_evicted == 0);
}

TEST_CASE("an accepted request is charged until it has ended, and its body is whole") {
  Fixture fixture;
  const auto client = fixture.connect();
  fixture.send_all(*client, request("/wait", kMaxBody));
  fixture.run_until([&] { return fixture.waiting.size() == 1; });
  CHECK(fixture.requests[0].body == std::string(kMaxBody, 'b'));
  CHECK(fixture.guard.account().total() > kMaxBody);
  CHECK(fixture.guard.account().total() < 2 * kMaxBody);
  fixture.waiting[0]->respond(200, {}, "done");
  fixture.requests.clear();
  fixture.run_until([&] { return is_answered(*client, "200"); });
  fixture.run_until([&] { return fixture.guard.account().total() == 0; });
}

TEST_CASE("accepted requests are not ended for others; a large one is rejected") {
  Fixture fixture;
  const auto first = fixture.connect();
  fixture.send_all(*first, request("/wait", kMaxBody));
  fixture.run_until([&] { return fixture.waiting.size() == 1; });
  const auto second = fixture.connect();
  fixture.send_all(*second, request("/wait", kMaxBody));
  fixture.run_until([&] { return is_answered(*second, "503"); });
  CHECK(fixture.guard.statistics().requests_rejected == 1);
  fixture.waiting[0]->respond(200, {}, "done");
  fixture.run_until([&] { return is_answered(*first, "200"); });
}

TEST_CASE("a body that is announced over the limit is rejected, and its sender reads why") {
  Fixture fixture;
  const auto client = fixture.connect();
  client->send(head("/", std::size_t{16} << 30U) + std::string(200'000, 'b'));
  fixture.run_until([&] { return is_answered(*client, "413"); });
  fixture.run_until([&] {
    client->send(std::string(10'000, 'b'));
    return client->closed();
  });
}

TEST_CASE("a request that waits for an interim response gets it") {
  Fixture fixture;
  const auto client = fixture.connect();
  client->send("POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n");
  fixture.run_until([&] { return is_answered(*client, "100"); });
  client->send("body");
  fixture.run_until([&] { return client->received().find("HTTP/1.1 200") != std::string::npos; });
}

TEST_CASE("silent connections give way to one that sends a request") {
  Fixture fixture;
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i != 3 * kConnections; ++i) {
    crowd.push_back(fixture.connect());
    fixture.run(1ms);
  }
  CHECK(fixture.guard.connections() <= kConnections);
  const auto ordinary = fixture.connect();
  ordinary->send(request("/", 1000));
  fixture.run_until([&] { return is_answered(*ordinary, "200"); });
}

TEST_CASE("connections that never carried a request are closed before those that did") {
  Fixture fixture;
  const auto used = fixture.connect();
  used->send(request("/", 10));
  fixture.run_until([&] { return is_answered(*used, "200"); });
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (std::size_t i = 0; i != 2 * kConnections; ++i) {
    crowd.push_back(fixture.connect());
    fixture.run(1ms);
  }
  CHECK(!used->closed());
  CHECK(crowd.front()->closed());
}

TEST_CASE("connections with accepted requests are never closed for others") {
  Fixture fixture;
  std::vector<std::unique_ptr<RawClient>> busy;
  for (std::size_t i = 0; i != kConnections; ++i) {
    busy.push_back(fixture.connect());
    busy.back()->send(request("/wait", 10));
  }
  fixture.run_until([&] { return fixture.waiting.size() == kConnections; });
  const auto late = fixture.connect();
  fixture.run_until([&] { return late->closed(); });
  CHECK(fixture.guard.statistics().connections_refused == 1);
  for (const auto& response : fixture.waiting) {
    response->respond(200, {}, "done");
  }
  for (const auto& client : busy) {
    fixture.run_until([&] { return is_answered(*client, "200"); });
  }
}

TEST_CASE("a connection that does not read its answer gives way to others") {
  Fixture fixture;
  std::vector<std::unique_ptr<RawClient>> stuck;
  for (std::size_t i = 0; i != kConnections; ++i) {
    stuck.push_back(fixture.connect());
    stuck.back()->send(request("/wait", 10));
  }
  fixture.run_until([&] { return fixture.waiting.size() == kConnections; });
  for (const auto& response : fixture.waiting) {
    response->respond(200, {}, std::string(8U << 20U, 'a'));
  }
  fixture.requests.clear();
  fixture.run(1200ms);
  CHECK(fixture.guard.account().total() > kMemory);
  const auto ordinary = fixture.connect();
  fixture.run_until(
      [&] { return fixture.guard.account().total() <= kMemory || ordinary->closed(); });
  const auto next = fixture.connect();
  next->send(request("/", 1000));
  fixture.run_until([&] { return is_answered(*next, "200"); });
  CHECK(fixture.guard.account().total() <= kMemory);
}
