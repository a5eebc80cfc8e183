// Conversion between endpoints and the socket addresses of the operating system. Endpoints are IP
// addresses with ports; host names are not resolved.
#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <optional>

#include "base/ids.h"

namespace ochrespring {

/// IPv4 or IPv6 socket address.
struct SocketAddress {
  sockaddr_storage storage{};
  socklen_t length = 0;

  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses `127.0.0.1:8080` or `[::1]:8080`; empty if the text is neither.
std::optional<SocketAddress> parse_endpoint(const Endpoint& endpoint);

/// Returns whether the text is an IP address and a port other than 0, which one can connect to.
bool is_remote_endpoint(const Endpoint& endpoint);

/// Formats a socket address; empty for families other than IPv4 and IPv6.
Endpoint format_endpoint(const sockaddr* address);

/// Returns the address that a socket is bound to; empty on failure.
Endpoint bound_endpoint(int socket);

}  // namespace ochrespring
