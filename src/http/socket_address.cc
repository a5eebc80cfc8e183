#include "http/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace ochrespring::http {

namespace {

constexpr int kListenBacklog = 4096;
/// Of connections from clients. The kernel adds as much again for its own use.
constexpr int kReceiveBufferBytes = 32 << 10;
constexpr int kSendBufferBytes = 64 << 10;

std::string describe_errno(const std::string& action) {
  return action + ": " + std::generic_category().message(errno);
}

}  // namespace

Result<SocketAddress, HttpError> parse_endpoint(const Endpoint& endpoint) {
  if (auto address = ochrespring::parse_endpoint(endpoint)) {
    return *address;
  }
  return fail(HttpErrc::kAddressInvalid, "not an IP address and port: '" + endpoint.value() + "'");
}

Result<int, HttpError> open_listener(const Endpoint& endpoint, bool reuse_port) {
  BOOST_OUTCOME_TRY(address, http::parse_endpoint(endpoint));
  const int descriptor =
      ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return fail(HttpErrc::kAddressInvalid, describe_errno("open a socket"));
  }
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (reuse_port) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  }
  // Accepted connections inherit the sizes. The kernel would otherwise hold megabytes for each of
  // them.
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
  const bool listening = ::bind(descriptor, address.get(), address.length) == 0 &&
                         ::listen(descriptor, kListenBacklog) == 0;
  if (!listening) {
    const auto code = errno == EADDRINUSE ? HttpErrc::kAddressInUse : HttpErrc::kAddressInvalid;
    std::string message = describe_errno("listen on " + endpoint.value());
    ::close(descriptor);
    return fail(code, std::move(message));
  }
  return descriptor;
}

}  // namespace ochrespring::http
