#include "http/lingering_close.h"

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <iterator>

namespace ochrespring::http {

namespace {

constexpr Duration kLingerTime = std::chrono::seconds(2);
constexpr std::size_t kMaxDiscarded = 16U << 20U;
constexpr std::size_t kDiscardedPerCall = 1U << 20U;

}  // namespace

LingeringCloser::~LingeringCloser() {
  while (close_oldest()) {
  }
}

void LingeringCloser::close(int descriptor) {
  ::shutdown(descriptor, SHUT_WR);
  h2o_socket_t* socket =
      h2o_evloop_socket_create(loop_.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  Connection& connection = connections_.emplace_back(*this, socket);
  connection.self = std::prev(connections_.end());
  socket->data = &connection;
  connection.timeout.arm(kLingerTime, [this, self = connection.self] { erase(self); });
  h2o_socket_read_start(socket, on_readable);
}

void LingeringCloser::on_readable(h2o_socket_t* socket, const char* /*error*/) {
  Connection& connection = *static_cast<Connection*>(socket->data);
  // With MSG_TRUNC, the kernel discards the bytes without copying them.
  const ssize_t count =
      ::recv(h2o_socket_get_fd(socket), nullptr, kDiscardedPerCall, MSG_DONTWAIT | MSG_TRUNC);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  connection.discarded += count > 0 ? static_cast<std::size_t>(count) : 0;
  if (count <= 0 || connection.discarded >= kMaxDiscarded) {
    connection.owner.erase(connection.self);
  }
}

bool LingeringCloser::close_oldest() {
  if (connections_.empty()) {
    return false;
  }
  erase(connections_.begin());
  return true;
}

void LingeringCloser::erase(Connections::iterator connection) {
  h2o_socket_t* socket = connection->socket;
  connections_.erase(connection);
  h2o_socket_close(socket);
}

}  // namespace ochrespring::http
