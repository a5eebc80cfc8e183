// A back end that sends raw bytes.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "gateway_node/tests/stopping_node.h"

namespace ochrespring::gateway_node::testing {

/// A back end that sends raw bytes on one connection.
class RawBackend {
 public:
  RawBackend() : listener_(http::open_listener(Endpoint("127.0.0.1:0"), false).value()) {}
  ~RawBackend() {
    close();
    ::close(listener_);
  }
  RawBackend(const RawBackend&) = delete;
  RawBackend& operator=(const RawBackend&) = delete;

  Endpoint address() const { return bound_endpoint(listener_); }

  /// Runs the node until a request has arrived completely.
  void await_request(NodeFixture& fixture) {
    REQUIRE(fixture.run_until([&] {
      connection_ = connection_ >= 0 ? connection_ : ::accept(listener_, nullptr, nullptr);
      std::array<char, 4096> buffer{};
      const ssize_t count = ::recv(connection_, buffer.data(), buffer.size(), MSG_DONTWAIT);
      request_.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
      return request_.find("\r\n\r\n") != std::string::npos;
    }));
  }
  /// Sends what the connection accepts while the node runs; returns the number of bytes.
  std::size_t send(NodeFixture& fixture, std::string_view bytes) const {
    std::size_t sent = 0;
    ssize_t count = 0;
    while (count >= 0 && sent != bytes.size()) {
      count = ::send(connection_, bytes.data() + sent, bytes.size() - sent,
                     MSG_NOSIGNAL | MSG_DONTWAIT);
      sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
      fixture.settle();
    }
    return sent;
  }
  /// Whether the node has closed the connection, in order or by a reset.
  bool was_closed() const {
    char byte = 0;
    const ssize_t count = ::recv(connection_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void close() {
    if (connection_ >= 0) {
      ::close(std::exchange(connection_, -1));
    }
  }
  void reset() {
    set_reset_on_close(connection_);
    close();
  }

 private:
  int listener_;
  int connection_ = -1;
  std::string request_;
};

}  // namespace ochrespring::gateway_node::testing
