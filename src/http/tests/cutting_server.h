// A server that ends its connection after some bytes of a response.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "http/socket_address.h"

namespace ochrespring::http::testing {

enum class CutEnd : std::uint8_t { kClose, kReset };

/// What a server sends on its only connection.
struct CutPlan {
  std::string before{};  ///< A whole response to a first request, so that the connection is reused;
                         ///< empty: there is no such request.
  std::string bytes;     ///< The response to the last request.
  CutEnd end = CutEnd::kClose;
};

/// Serves one connection on a thread and ends it as planned.
class CuttingServer {
 public:
  explicit CuttingServer(CutPlan plan) : plan_(std::move(plan)), thread_([this] { run(); }) {}
  ~CuttingServer() {
    thread_.join();
    ::close(listener_);
  }
  CuttingServer(const CuttingServer&) = delete;
  CuttingServer& operator=(const CuttingServer&) = delete;

  Endpoint endpoint() const { return bound_endpoint(listener_); }

 private:
  void run() const {
    constexpr int kAcceptTimeoutMilliseconds = 10'000;
    pollfd waiting{listener_, POLLIN, 0};
    ::poll(&waiting, 1, kAcceptTimeoutMilliseconds);
    const int connection = ::accept(listener_, nullptr, nullptr);
    if (!plan_.before.empty()) {
      respond(connection, plan_.before);
    }
    respond(connection, plan_.bytes);
    if (plan_.end == CutEnd::kReset) {
      const linger reset{1, 0};
      ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    ::close(connection);
  }
  /// Reads a request whose body, if any, comes with its head, and responds.
  static void respond(int connection, std::string_view bytes) {
    std::string request;
    std::array<char, 4096> buffer{};
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = ::recv(connection, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return;
      }
      request.append(buffer.data(), static_cast<std::size_t>(count));
    }
    ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }

  int listener_ = http::open_listener(Endpoint("127.0.0.1:0"), false).value();
  CutPlan plan_;
  std::thread thread_;
};

}  // namespace ochrespring::http::testing
