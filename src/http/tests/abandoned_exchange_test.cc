// Tests what reaches the peer of an exchange that is cancelled while the peer does not read. Guards
// against a request that is delivered after it was given up.
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>

#include "http/client.h"
#include "http/socket_address.h"

using namespace ochrespring;
using namespace std::chrono_literals;

namespace {

struct IgnoringObserver final : http::ResponseObserver {
  void on_head(const http::ResponseHead& /*head*/) override {}
  void on_body(std::string_view /*bytes*/) override {}
  void on_complete() override {}
  void on_failure(const http::HttpError& /*error*/, bool /*sent*/) override {}
};

/// Accepts one connection and reads nothing until the test asks it to.
class IdlePeer {
 public:
  IdlePeer() : listener_(http::open_listener(Endpoint("127.0.0.1:0"), false).value()) {
    const int receive_bytes = 4096;
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
  }
  ~IdlePeer() {
    ::close(connection_);
    ::close(listener_);
  }
  IdlePeer(const IdlePeer&) = delete;
  IdlePeer& operator=(const IdlePeer&) = delete;

  Endpoint endpoint() const { return bound_endpoint(listener_); }
  void accept() {
    while (connection_ < 0) {
      connection_ = ::accept(listener_, nullptr, nullptr);
    }
  }
  /// Reads to the end of the connection. Returns 0 for an orderly close, else the error.
  int read_to_end() const {
    std::array<char, 65536> buffer{};
    ssize_t count = 0;
    while ((count = ::recv(connection_, buffer.data(), buffer.size(), 0)) > 0) {
    }
    return count == 0 ? 0 : errno;
  }

 private:
  int listener_;
  int connection_ = -1;
};

void run_for(http::EventLoop& loop, Duration span) {
  loop.schedule_after(span, [&] { loop.stop(); });
  loop.run();
}

/// Starts a request with this body, cancels it, and returns how its connection ended at the peer.
int cancel_request(std::string body) {
  http::EventLoop loop;
  http::Client client(loop);
  IdlePeer peer;
  http::ClientRequest request;
  request.endpoint = peer.endpoint();
  request.method = "POST";
  request.body = std::move(body);
  IgnoringObserver observer;
  auto exchange = client.start(std::move(request), observer);
  run_for(loop, 20ms);
  peer.accept();
  exchange.reset();
  run_for(loop, 20ms);
  return peer.read_to_end();
}

}  // namespace

TEST_CASE("bytes of a cancelled request that its peer has not accepted are discarded") {
  constexpr std::size_t kMoreThanBuffersTake = 32U << 20U;
  CHECK(cancel_request(std::string(kMoreThanBuffersTake, 'x')) == ECONNRESET);
}

TEST_CASE("a cancelled request that its peer has accepted ends with an orderly close") {
  CHECK(cancel_request("short") == 0);
}
