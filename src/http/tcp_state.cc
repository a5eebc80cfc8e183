#include "http/tcp_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <optional>

namespace ochrespring::http {

namespace {

std::optional<tcp_info> read_tcp_info(int descriptor) {
  tcp_info info{};
  socklen_t length = sizeof(info);
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
    return std::nullopt;
  }
  return info;
}

void set_linger(int descriptor, const linger& option) {
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

bool has_peer_closed(int descriptor) {
  const std::optional<tcp_info> info = read_tcp_info(descriptor);
  return !info || info->tcpi_state != TCP_ESTABLISHED;
}

bool has_unacknowledged_output(int descriptor) {
  int bytes = 0;
  return ::ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void set_reset_on_close(int descriptor) {
  set_linger(descriptor, {1, 0});
}

void clear_reset_on_close(int descriptor) {
  set_linger(descriptor, {0, 0});
}

bool reset_connection(int descriptor) {
  // Dissolves the association of a TCP socket with its peer.
  sockaddr unspecified{};
  unspecified.sa_family = AF_UNSPEC;
  return ::connect(descriptor, &unspecified, sizeof(unspecified)) == 0;
}

void discard_input(int descriptor) {
  std::array<char, 4096> buffer;
  std::size_t discarded = 0;
  ssize_t count = 0;
  while (discarded < kMaxDiscardedBytes &&
         (count = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
    discarded += static_cast<std::size_t>(count);
  }
}

Duration time_since_last_input(int descriptor) {
  const std::optional<tcp_info> info = read_tcp_info(descriptor);
  return std::chrono::milliseconds(info ? info->tcpi_last_data_recv : 0);
}

}  // namespace ochrespring::http
