#include "base/socket_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cstring>
#include <string>

namespace ochrespring {

namespace {

bool parse_port(const std::string& text, std::uint16_t& port) {
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, port);
  return error == std::errc() && stopped == end && !text.empty();
}

std::optional<SocketAddress> make_ipv4(const std::string& host, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  SocketAddress result;
  std::memcpy(&result.storage, &address, sizeof(address));
  result.length = sizeof(address);
  return result;
}

std::optional<SocketAddress> make_ipv6(const std::string& host, std::uint16_t port) {
  sockaddr_in6 address{};
  address.sin6_family = AF_INET6;
  address.sin6_port = htons(port);
  if (inet_pton(AF_INET6, host.c_str(), &address.sin6_addr) != 1) {
    return std::nullopt;
  }
  SocketAddress result;
  std::memcpy(&result.storage, &address, sizeof(address));
  result.length = sizeof(address);
  return result;
}

}  // namespace

std::optional<SocketAddress> parse_endpoint(const Endpoint& endpoint) {
  const std::string& text = endpoint.value();
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos || !parse_port(text.substr(colon + 1), port)) {
    return std::nullopt;
  }
  const std::string host = text.substr(0, colon);
  if (host.find('\0') != std::string::npos) {
    // The system's functions would read the text up to there only.
    return std::nullopt;
  }
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return make_ipv6(host.substr(1, host.size() - 2), port);
  }
  return make_ipv4(host, port);
}

bool is_remote_endpoint(const Endpoint& endpoint) {
  const auto address = parse_endpoint(endpoint);
  return address && !format_endpoint(address->get()).value().ends_with(":0");
}

Endpoint format_endpoint(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> host{};
  if (address->sa_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(address);
    inet_ntop(AF_INET, &ipv4->sin_addr, host.data(), host.size());
    return Endpoint(std::string(host.data()) + ":" + std::to_string(ntohs(ipv4->sin_port)));
  }
  if (address->sa_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(address);
    inet_ntop(AF_INET6, &ipv6->sin6_addr, host.data(), host.size());
    return Endpoint("[" + std::string(host.data()) + "]:" + std::to_string(ntohs(ipv6->sin6_port)));
  }
  return Endpoint();
}

Endpoint bound_endpoint(int socket) {
  SocketAddress address;
  address.length = sizeof(address.storage);
  if (getsockname(socket, address.get(), &address.length) != 0) {
    return Endpoint();
  }
  return format_endpoint(address.get());
}

}  // namespace ochrespring
