// Tests the server and the client against each other on real sockets.
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "http/client.h"
#include "http/server.h"
#include "http/socket_address.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

/// Records the events of an exchange and stops the loop at its end.
struct Recorder : http::ResponseObserver {
  explicit Recorder(http::EventLoop& event_loop) : loop(event_loop) {}
  void on_head(const http::ResponseHead& received) override { head = received; }
  void on_body(std::string_view bytes) override {
    body += bytes;
    if (on_bytes) {
      on_bytes();
    }
  }
  void on_complete() override {
    complete = true;
    loop.stop();
  }
  void on_failure(const http::HttpError& error, bool left) override {
    failure = error;
    sent = left;
    loop.stop();
  }

  http::EventLoop& loop;
  http::ResponseHead head;
  std::string body;
  bool complete = false;
  bool sent = false;
  std::optional<http::HttpError> failure;
  std::function<void()> on_bytes;
};

struct Fixture {
  http::EventLoop loop;
  http::Server server{loop, settings()};
  std::unique_ptr<http::Client> client = std::make_unique<http::Client>(loop);

  static http::ServerSettings settings() {
    http::ServerSettings made;
    made.listen = Endpoint("127.0.0.1:0");
    made.largest_body_bytes = 1U << 20U;
    return made;
  }

  http::ClientRequest request(std::string path, std::string body = {}) {
    http::ClientRequest made;
    made.endpoint = server.bound();
    made.method = body.empty() ? "GET" : "POST";
    made.path = std::move(path);
    made.body = std::move(body);
    return made;
  }
};

/// Address of a server that listens on loopback.
sockaddr_in loopback_address(const Endpoint& endpoint) {
  const std::string& text = endpoint.value();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1))));
  return address;
}

}  // namespace

TEST_CASE("an endpoint is an IP address and a port") {
  CHECK(http::parse_endpoint(Endpoint("127.0.0.1:80")));
  CHECK(http::parse_endpoint(Endpoint("[::1]:80")));
  for (const char* wrong : {"", ":", "localhost:80", "127.0.0.1", "127.0.0.1:99999", "::1:80"}) {
    CHECK(http::parse_endpoint(Endpoint(wrong)).error().code == http::HttpErrc::kAddressInvalid);
  }
}

TEST_CASE("a complete response is fetched, and the longest prefix wins") {
  Fixture fixture;
  fixture.server.route("/", [](auto, auto response) { response->respond(404, {}, "no"); });
  fixture.server.route("/echo", [](http::Request request, auto response) {
    CHECK(request.query == "a=b");
    CHECK(http::find_header(request.headers, "x-test") == "1");
    response->respond(200, {{"x-answer", "yes"}}, request.body);
  });
  REQUIRE(fixture.server.listen());
  auto request = fixture.request("/echo?a=b", std::string(300'000, 'x'));
  request.headers.push_back({"x-test", "1"});
  for (int i = 0; i != 3; ++i) {
    bool done = false;
    fixture.client->fetch(request, [&](auto result) {
      REQUIRE(result);
      CHECK(result.value().head.status == 200);
      CHECK(http::find_header(result.value().head.headers, "x-answer") == "yes");
      CHECK(result.value().body == request.body);
      done = true;
      fixture.loop.stop();
    });
    fixture.loop.run();
    CHECK(done);
  }
}

// A caller's deadline counts from when its request arrived. A busy process reads requests late.
TEST_CASE("a request to an odd address of a server's entry fails without ending the process") {
  Fixture fixture;
  for (const std::string& odd :
       {std::string(), std::string("127.0.0.1:0"), std::string("127.0.0.1:65536"),
        std::string("127.0.0.1:-1"), std::string("127.0.0.1:1000000000000"),
        std::string("127.0.0.1\0:80", 13), std::string("\xff\xfe:80"),
        std::string(1'000'000, '[') + ":80"}) {
    http::ClientRequest request = fixture.request("/");
    request.endpoint = Endpoint(odd);
    std::optional<bool> succeeded;
    fixture.client->fetch(std::move(request), [&](const auto& result) {
      succeeded = result.has_value();
      fixture.loop.stop();
    });
    if (!succeeded) {
      fixture.loop.run();
    }
    CHECK(succeeded == false);
  }
}

TEST_CASE("a request tells how long its bytes waited to be read") {
  constexpr Duration kBusy = 60ms;
  constexpr Duration kClockResolution = 20ms;
  Fixture fixture;
  Duration read_delay{};
  fixture.server.route("/", [&](const http::Request& request, auto response) {
    read_delay = request.read_delay;
    response->respond(200, {}, "");
  });
  REQUIRE(fixture.server.listen());
  const SocketAddress address = http::parse_endpoint(fixture.server.bound()).value();
  const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(::connect(caller, address.get(), address.length) == 0);
  const std::string_view bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(::send(caller, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
  std::this_thread::sleep_for(kBusy);
  fixture.loop.schedule_after(20ms, [&] { fixture.loop.stop(); });
  fixture.loop.run();
  CHECK(read_delay >= kBusy - kClockResolution);
  ::close(caller);
}

TEST_CASE("an empty response is complete and its connection is reused") {
  Fixture fixture;
  fixture.server.route("/", [](auto, auto response) { response->respond(200, {}, ""); });
  REQUIRE(fixture.server.listen());
  for (int i = 0; i != 2; ++i) {
    Recorder recorder(fixture.loop);
    const auto exchange = fixture.client->start(fixture.request("/"), recorder);
    fixture.loop.run();
    CHECK(recorder.complete);
  }
}

TEST_CASE("a stream arrives as it is sent and ends completely") {
  Fixture fixture;
  std::shared_ptr<http::ResponseWriter> writer;
  fixture.server.route("/", [&](auto, auto response) {
    writer = response;
    writer->send_head({200, {{"content-type", "text/event-stream"}}});
    writer->send_body("one");
  });
  REQUIRE(fixture.server.listen());
  Recorder recorder(fixture.loop);
  recorder.on_bytes = [&] {
    if (recorder.body == "one") {
      writer->send_body("two");
    }
    if (recorder.body == "onetwo") {
      writer->finish();
    }
  };
  const auto exchange = fixture.client->start(fixture.request("/"), recorder);
  fixture.loop.run();
  CHECK(recorder.complete);
  CHECK(recorder.body == "onetwo");
}

TEST_CASE("an aborted response is reported as truncated") {
  for (const bool after_bytes : {false, true}) {
    Fixture fixture;
    std::shared_ptr<http::ResponseWriter> writer;
    fixture.server.route("/", [&](auto, auto response) {
      writer = response;
      writer->send_head({200, {}});
      writer->send_body("part");
      if (!after_bytes) {
        writer->abort();
      }
    });
    REQUIRE(fixture.server.listen());
    Recorder recorder(fixture.loop);
    recorder.on_bytes = [&] {
      if (writer) {
        writer->abort();
      }
    };
    const auto exchange = fixture.client->start(fixture.request("/"), recorder);
    fixture.loop.run();
    CHECK_FALSE(recorder.complete);
    REQUIRE(recorder.failure);
    CHECK(recorder.failure->code == http::HttpErrc::kTruncated);
    CHECK(recorder.sent);
  }
}

TEST_CASE("the server detects a caller that disconnects before or after the head") {
  for (const bool with_head : {false, true}) {
    Fixture fixture;
    std::unique_ptr<http::Exchange> exchange;
    std::shared_ptr<http::ResponseWriter> writer;
    bool closed = false;
    fixture.server.route("/", [&](auto, auto response) {
      writer = response;
      if (with_head) {
        writer->send_head({200, {}});
      }
      writer->on_closed([&] {
        closed = true;
        fixture.loop.stop();
      });
      fixture.loop.schedule_after(1ms, [&] { exchange.reset(); });
    });
    REQUIRE(fixture.server.listen());
    Recorder recorder(fixture.loop);
    exchange = fixture.client->start(fixture.request("/"), recorder);
    fixture.loop.run();
    CHECK(closed);
    CHECK(writer->closed());
    writer->send_body("ignored");
    writer->finish();
  }
}

TEST_CASE("on_drained() is not called while the client does not read") {
  constexpr std::size_t kChunk = 1U << 20U;
  constexpr std::size_t kChunks = 64;
  Fixture fixture;
  std::shared_ptr<http::ResponseWriter> writer;
  std::size_t sent = 0;
  const std::string chunk(kChunk, 'x');
  const auto send_next = [&] {
    if (sent == kChunks) {
      writer->finish();
      return;
    }
    ++sent;
    writer->send_body(chunk);
  };
  fixture.server.route("/", [&](auto, auto response) {
    writer = response;
    writer->on_drained(send_next);
    writer->send_head({200, {}});
    send_next();
  });
  REQUIRE(fixture.server.listen());
  Recorder recorder(fixture.loop);
  std::unique_ptr<http::Exchange> exchange;
  std::size_t sent_while_paused = 0;
  bool paused = false;
  recorder.on_bytes = [&] {
    if (std::exchange(paused, true)) {
      return;
    }
    exchange->set_reading(false);
    // Leaves the server enough time to fill the socket buffers.
    fixture.loop.schedule_after(50ms, [&] {
      sent_while_paused = sent;
      exchange->set_reading(true);
    });
  };
  exchange = fixture.client->start(fixture.request("/"), recorder);
  fixture.loop.run();
  CHECK(sent_while_paused < kChunks);
  CHECK(recorder.complete);
  CHECK(recorder.body.size() == kChunks * kChunk);
}

TEST_CASE("a body over the limit is refused") {
  Fixture fixture;
  fixture.server.route("/", [](auto, auto response) { response->respond(200, {}, ""); });
  REQUIRE(fixture.server.listen());
  fixture.client->fetch(fixture.request("/", std::string((1U << 20U) + 1, 'x')), [&](auto result) {
    // The server may close while the body is still being sent.
    if (result) {
      CHECK(result.value().head.status == 413);
    }
    fixture.loop.stop();
  });
  fixture.loop.run();
}

TEST_CASE("a port in use is reported as kAddressInUse") {
  Fixture fixture;
  REQUIRE(fixture.server.listen());
  http::ServerSettings settings;
  settings.listen = fixture.server.bound();
  http::Server second(fixture.loop, settings);
  const auto listening = second.listen();
  REQUIRE_FALSE(listening);
  CHECK(listening.error().code == http::HttpErrc::kAddressInUse);
}

TEST_CASE("shorter limits end no answer under way") {
  Fixture fixture;
  std::shared_ptr<http::ResponseWriter> writer;
  fixture.server.route("/", [&](auto, auto response) {
    writer = response;
    writer->send_head({200, {}});
    writer->send_body("one");
  });
  REQUIRE(fixture.server.listen());
  Recorder recorder(fixture.loop);
  const auto exchange = fixture.client->start(fixture.request("/"), recorder);
  fixture.loop.schedule_after(20ms, [&] {
    fixture.server.set_idle_timeout(2ms);
    fixture.server.set_largest_body(1);
  });
  fixture.loop.schedule_after(100ms, [&] { writer->finish(); });
  fixture.loop.run();
  CHECK(recorder.complete);
}

// The second half of the body follows 80 ms after the first one.
TEST_CASE("shorter limits end no upload under way") {
  for (const bool chunked : {false, true}) {
    for (const bool idle_timeout : {false, true}) {
      CAPTURE(chunked);
      CAPTURE(idle_timeout);
      Fixture fixture;
      fixture.server.route("/", [](auto, auto response) { response->respond(200, {}, ""); });
      REQUIRE(fixture.server.listen());
      const std::string first = chunked ? "transfer-encoding: chunked\r\n\r\n5\r\n01234\r\n"
                                        : "content-length: 10\r\n\r\n01234";
      const std::string rest = chunked ? "5\r\n56789\r\n0\r\n\r\n" : "56789";
      const std::string head = "POST / HTTP/1.1\r\nhost: h\r\n" + first;
      const sockaddr_in target = loopback_address(fixture.server.bound());
      const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
      REQUIRE(::connect(caller, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0);
      REQUIRE(::send(caller, head.data(), head.size(), MSG_NOSIGNAL) > 0);
      fixture.loop.schedule_after(20ms, [&] {
        if (idle_timeout) {
          fixture.server.set_idle_timeout(2ms);
        } else {
          fixture.server.set_largest_body(1);
        }
      });
      fixture.loop.schedule_after(100ms,
                                  [&] { ::send(caller, rest.data(), rest.size(), MSG_NOSIGNAL); });
      fixture.loop.schedule_after(200ms, [&] { fixture.loop.stop(); });
      fixture.loop.run();
      std::string answer(1024, ' ');
      const ssize_t count = ::recv(caller, answer.data(), answer.size(), MSG_DONTWAIT);
      answer.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
      CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
      ::close(caller);
    }
  }
}

TEST_CASE("a smaller limit on bodies holds once earlier uploads have ended") {
  Fixture fixture;
  http::ServerSettings settings = Fixture::settings();
  settings.idle_timeout = 40ms;
  http::Server server(fixture.loop, settings);
  server.route("/", [](auto, auto response) { response->respond(200, {}, ""); });
  REQUIRE(server.listen());
  server.set_largest_body(1);
  http::ClientRequest request = fixture.request("/", "0123456789");
  request.endpoint = server.bound();
  std::uint16_t status = 0;
  fixture.loop.schedule_after(100ms, [&] {
    fixture.client->fetch(request, [&](const auto& result) {
      status = result ? result.value().head.status : 0;
      fixture.loop.stop();
    });
  });
  fixture.loop.run();
  CHECK(status == 413);
}
