// Tests how the client classifies failures, against a misbehaving peer on plain sockets.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/socket_address.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

/// Accepts one connection per script entry on a thread. Each entry lists the responses to send, one
/// per request read, before the connection is closed.
class ScriptedPeer {
 public:
  explicit ScriptedPeer(std::vector<std::vector<std::string>> script)
      : listener_(http::open_listener(Endpoint("127.0.0.1:0"), false).value()),
        thread_([this, plan = std::move(script)] { run(plan); }) {}
  ~ScriptedPeer() {
    thread_.join();
    ::close(listener_);
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  Endpoint endpoint() const { return bound_endpoint(listener_); }

 private:
  void run(const std::vector<std::vector<std::string>>& script) const {
    for (const auto& answers : script) {
      int connection = -1;
      while ((connection = ::accept(listener_, nullptr, nullptr)) < 0) {
        std::this_thread::yield();
      }
      for (const std::string& answer : answers) {
        char buffer[4096];
        if (::recv(connection, buffer, sizeof(buffer), 0) <= 0) {
          break;
        }
        ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      ::close(connection);
    }
  }

  int listener_;
  std::thread thread_;
};

struct Outcome {
  std::optional<http::FetchFailure> failure;
  std::string body;
};

Outcome fetch(http::EventLoop& loop, http::Client& client, http::ClientRequest request) {
  Outcome outcome;
  client.fetch(std::move(request), [&](auto result) {
    if (result) {
      outcome.body = result.value().body;
    } else {
      outcome.failure = result.error();
    }
    loop.stop();
  });
  loop.run();
  return outcome;
}

http::ClientRequest get(const Endpoint& endpoint) {
  http::ClientRequest request;
  request.endpoint = endpoint;
  return request;
}

const std::string kCompleteResponse = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

}  // namespace

TEST_CASE("a request on a refused connection is reported as not sent") {
  http::EventLoop loop;
  http::Client client(loop);
  const int listener = http::open_listener(Endpoint("127.0.0.1:0"), false).value();
  const Endpoint endpoint = bound_endpoint(listener);
  ::close(listener);
  const Outcome outcome = fetch(loop, client, get(endpoint));
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error.code == http::HttpErrc::kRefused);
  CHECK_FALSE(outcome.failure->sent);
}

TEST_CASE("a request to an invalid address is reported as not sent") {
  http::EventLoop loop;
  http::Client client(loop);
  const Outcome outcome = fetch(loop, client, get(Endpoint("nowhere")));
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error.code == http::HttpErrc::kAddressInvalid);
  CHECK_FALSE(outcome.failure->sent);
}

TEST_CASE("responses without a confirmed end are reported as truncated") {
  const std::vector<std::string> truncated = {
      "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nok",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok",
      "HTTP/1.1 200 OK\r\n\r\nok",
  };
  for (const std::string& answer : truncated) {
    CAPTURE(answer);
    http::EventLoop loop;
    http::Client client(loop);
    ScriptedPeer peer({{answer}});
    const Outcome outcome = fetch(loop, client, get(peer.endpoint()));
    REQUIRE(outcome.failure);
    CHECK(outcome.failure->error.code == http::HttpErrc::kTruncated);
    CHECK(outcome.failure->sent);
  }
}

TEST_CASE("a new connection closed before the response is a reset; bytes may have been sent") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{""}});
  const Outcome outcome = fetch(loop, client, get(peer.endpoint()));
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error.code == http::HttpErrc::kReset);
  CHECK(outcome.failure->sent);
}

TEST_CASE("a reused connection closed before the response is reported as stale") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{kCompleteResponse, ""}});
  CHECK(fetch(loop, client, get(peer.endpoint())).body == "ok");
  const Outcome outcome = fetch(loop, client, get(peer.endpoint()));
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error.code == http::HttpErrc::kStaleConnection);
  CHECK(outcome.failure->sent);
}

TEST_CASE("a request with fresh_connection uses a new connection") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{kCompleteResponse}, {kCompleteResponse}});
  auto request = get(peer.endpoint());
  request.fresh_connection = true;
  CHECK(fetch(loop, client, request).body == "ok");
  CHECK(fetch(loop, client, request).body == "ok");
}

TEST_CASE("a request that timed out may have been sent") {
  http::EventLoop loop;
  http::Client client(loop);
  const int listener = http::open_listener(Endpoint("127.0.0.1:0"), false).value();
  auto request = get(bound_endpoint(listener));
  request.timeout = 5ms;
  const Outcome outcome = fetch(loop, client, request);
  ::close(listener);
  REQUIRE(outcome.failure);
  CHECK(outcome.failure->error.code == http::HttpErrc::kTimeout);
  CHECK(outcome.failure->sent);
}

TEST_CASE("a response larger than the limit is refused") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{kCompleteResponse}});
  std::optional<http::FetchFailure> failure;
  client.fetch(
      get(peer.endpoint()),
      [&](auto result) {
        REQUIRE_FALSE(result);
        failure = result.error();
        loop.stop();
      },
      1);
  loop.run();
  CHECK(failure->error.code == http::HttpErrc::kTooLarge);
}

TEST_CASE("nothing is sent after the send deadline or after a withdrawal") {
  http::EventLoop loop;
  http::Client client(loop);
  struct Row {
    std::function<void(http::ClientRequest&)> prepare;
    http::HttpErrc error;
  };
  const Row rows[] = {
      {[](auto& request) { request.send_before = SystemClock().now(); }, http::HttpErrc::kExpired},
      {[](auto& request) { request.may_send = [] { return false; }; }, http::HttpErrc::kWithdrawn}};
  for (const Row& row : rows) {
    for (const bool reused : {false, true}) {
      CAPTURE(http::describe(row.error));
      CAPTURE(reused);
      ScriptedPeer peer(reused ? std::vector<std::vector<std::string>>{{kCompleteResponse}}
                               : std::vector<std::vector<std::string>>{{}});
      if (reused) {
        CHECK(fetch(loop, client, get(peer.endpoint())).body == "ok");
      }
      auto request = get(peer.endpoint());
      row.prepare(request);
      const Outcome outcome = fetch(loop, client, request);
      REQUIRE(outcome.failure);
      CHECK(outcome.failure->error.code == row.error);
      CHECK_FALSE(outcome.failure->sent);
    }
  }
}

TEST_CASE("a client may be destroyed while its fetches are running") {
  http::EventLoop loop;
  const int listener = http::open_listener(Endpoint("127.0.0.1:0"), false).value();
  bool done = false;
  {
    http::Client client(loop);
    client.fetch(get(bound_endpoint(listener)), [&done](auto) { done = true; });
    loop.schedule_after(20ms, [&loop] { loop.stop(); });
    loop.run();
  }
  loop.schedule_after(1ms, [&loop] { loop.stop(); });
  loop.run();
  ::close(listener);
  CHECK_FALSE(done);
}

TEST_CASE("a response to another request is skipped, and the connection is not reused") {
  http::EventLoop loop;
  http::Client client(loop);
  const std::string stray = "HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 5\r\n\r\nstray";
  const std::string own = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nok";
  ScriptedPeer peer({{stray + own}, {own}});
  auto request = get(peer.endpoint());
  request.echo = http::Header{"x-id", "mine"};
  CHECK(fetch(loop, client, request).body == "ok");
  CHECK(fetch(loop, client, request).body == "ok");
  CHECK(client.statistics().connections_opened == 2);
}

// Guards against the refusal, or the answer, of an earlier request that is taken for the answer to
// one that its server is running.
TEST_CASE("on a reused connection, a response that names no request belongs to another one") {
  http::EventLoop loop;
  http::Client client(loop);
  const std::string own = "HTTP/1.1 200 OK\r\nx-id: mine\r\ncontent-length: 2\r\n\r\nok";
  const std::string refusal = "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
  const std::string success = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";
  for (const std::string& unnamed : {refusal, success, refusal + success}) {
    ScriptedPeer peer({{own, unnamed + own}});
    auto request = get(peer.endpoint());
    request.echo = http::Header{"x-id", "mine"};
    CHECK(fetch(loop, client, request).body == "ok");
    CHECK(fetch(loop, client, request).body == "ok");
    CHECK_FALSE(client.has_idle_connection(peer.endpoint()));
  }
  ScriptedPeer fresh({{success}});
  auto request = get(fresh.endpoint());
  request.echo = http::Header{"x-id", "mine"};
  CHECK(fetch(loop, client, request).body == "stray");
}

TEST_CASE("an orderly close ends a response without a length only with close_ends_answer") {
  http::EventLoop loop;
  http::Client client(loop);
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nwhole";
  ScriptedPeer peer({{unframed}, {unframed}});
  auto request = get(peer.endpoint());
  CHECK(fetch(loop, client, request).failure);
  request.close_ends_answer = true;
  CHECK(fetch(loop, client, request).body == "whole");
}

TEST_CASE("bytes after a complete response close the connection but do not fail the response") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{kCompleteResponse + "surplus"}, {kCompleteResponse}});
  CHECK(fetch(loop, client, get(peer.endpoint())).body == "ok");
  CHECK(fetch(loop, client, get(peer.endpoint())).body == "ok");
  CHECK(client.statistics().connections_opened == 2);
}

TEST_CASE("at most max_idle_connections idle connections are kept") {
  http::EventLoop loop;
  http::Client client(loop);
  ScriptedPeer peer({{kCompleteResponse}, {kCompleteResponse}});
  auto request = get(peer.endpoint());
  request.max_idle_connections = 0;
  CHECK(fetch(loop, client, request).body == "ok");
  CHECK(fetch(loop, client, request).body == "ok");
  CHECK(client.statistics().connections_reused == 0);
}

TEST_CASE("a probe distinguishes an accepting peer from an unreachable one") {
  http::EventLoop loop;
  http::Client client(loop);
  const auto probe = [&](const Endpoint& endpoint) {
    std::optional<http::ProbeResult> received;
    client.probe(endpoint, 300ms, [&](http::ProbeResult result) {
      received = result;
      loop.stop();
    });
    loop.run();
    return received;
  };
  const int listener = http::open_listener(Endpoint("127.0.0.1:0"), false).value();
  const Endpoint endpoint = bound_endpoint(listener);
  CHECK(probe(endpoint) == http::ProbeResult::kAccepted);
  ::close(listener);
  CHECK(probe(endpoint) == http::ProbeResult::kRefused);
  CHECK(probe(Endpoint("no address")) == http::ProbeResult::kRefused);
  // A proxy without a back end accepts the connection and closes it.
  const ScriptedPeer closes(std::vector<std::vector<std::string>>(1));
  CHECK(probe(closes.endpoint()) == http::ProbeResult::kRefused);
}
