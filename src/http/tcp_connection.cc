#include "http/tcp_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <system_error>

#include "http/tcp_state.h"

namespace ochrespring::http {

namespace {

constexpr int kKeepAliveProbeSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// What the kernel may hold of a peer's data that is not read yet. Without it, the buffer grows to
/// several megabytes.
constexpr int kReceiveBufferBytes = 128 << 10;

void set_option(int descriptor, int option, int value) {
  ::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

/// Keep-alive probes detect a peer behind a network partition, which sends nothing.
void set_options(int descriptor, Duration max_unacknowledged) {
  set_option(descriptor, TCP_NODELAY, 1);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  set_option(descriptor, TCP_KEEPIDLE, kKeepAliveProbeSeconds);
  set_option(descriptor, TCP_KEEPINTVL, kKeepAliveProbeSeconds);
  set_option(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
  set_option(
      descriptor, TCP_USER_TIMEOUT,
      static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(max_unacknowledged).count()));
}

bool is_retry(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

Result<std::unique_ptr<TcpConnection>, HttpError> TcpConnection::open(EventLoop& loop,
                                                                      const SocketAddress& address,
                                                                      Duration max_unacknowledged) {
  const int descriptor =
      ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) {
    return fail(HttpErrc::kConnect, "open a socket: " + std::generic_category().message(errno));
  }
  set_options(descriptor, max_unacknowledged);
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
  if (::connect(descriptor, address.get(), address.length) != 0 && errno != EINPROGRESS) {
    const int error = errno;
    ::close(descriptor);
    return fail(error == ECONNREFUSED ? HttpErrc::kRefused : HttpErrc::kConnect,
                std::generic_category().message(error));
  }
  h2o_socket_t* socket =
      h2o_evloop_socket_create(loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
  std::unique_ptr<TcpConnection> connection(new TcpConnection(socket));
  socket->data = connection.get();
  h2o_socket_notify_write(socket, on_connect_event);
  return connection;
}

std::unique_ptr<TcpConnection> TcpConnection::adopt(EventLoop& loop, int accepted,
                                                    Duration max_unacknowledged) {
  set_options(accepted, max_unacknowledged);
  h2o_socket_t* socket =
      h2o_evloop_socket_create(loop.native(), accepted, H2O_SOCKET_FLAG_DONT_READ);
  std::unique_ptr<TcpConnection> connection(new TcpConnection(socket));
  socket->data = connection.get();
  connection->reset_on_close();
  return connection;
}

TcpConnection::~TcpConnection() {
  socket_->data = nullptr;
  h2o_socket_close(socket_);
}

IoResult TcpConnection::read(char* buffer, std::size_t size) {
  const ssize_t count = ::recv(h2o_socket_get_fd(socket_), buffer, size, 0);
  if (count > 0) {
    return {IoStatus::kDone, static_cast<std::size_t>(count)};
  }
  if (count == 0) {
    return {error_.value_or(IoStatus::kClosed), 0};
  }
  return {note_error(errno), 0};
}

IoResult TcpConnection::write(std::string_view head, std::string_view body) {
  iovec parts[2] = {{const_cast<char*>(head.data()), head.size()},
                    {const_cast<char*>(body.data()), body.size()}};
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = 2;
  const ssize_t count = ::sendmsg(h2o_socket_get_fd(socket_), &message, MSG_NOSIGNAL);
  if (count >= 0) {
    return {IoStatus::kDone, static_cast<std::size_t>(count)};
  }
  return {note_error(errno), 0};
}

/// Returns the status of a call that has failed with `error`, and remembers it unless the input may
/// still end in order: EPIPE says that nothing can be written any more, either because the peer has
/// ended its direction before it reset the connection, or because an error was returned before.
IoStatus TcpConnection::note_error(int error) {
  if (is_retry(error)) {
    return IoStatus::kAgain;
  }
  if (error == EPIPE) {
    return IoStatus::kFailed;
  }
  error_ = error == ETIMEDOUT ? IoStatus::kUnresponsive : IoStatus::kFailed;
  return *error_;
}

void TcpConnection::set_reading(bool reading) {
  const bool active = h2o_socket_is_reading(socket_) != 0;
  if (reading && !active) {
    h2o_socket_read_start(socket_, on_read_event);
  } else if (!reading && active) {
    h2o_socket_read_stop(socket_);
  }
}

void TcpConnection::await_writable() {
  h2o_socket_notify_write(socket_, on_write_event);
}

void TcpConnection::discard_unacknowledged() {
  const int descriptor = h2o_socket_get_fd(socket_);
  if (has_unacknowledged_output(descriptor)) {
    set_reset_on_close(descriptor);
  }
}

void TcpConnection::reset_on_close() {
  set_reset_on_close(h2o_socket_get_fd(socket_));
}

void TcpConnection::close_in_order() {
  clear_reset_on_close(h2o_socket_get_fd(socket_));
}

void TcpConnection::end_output() {
  close_in_order();
  ::shutdown(h2o_socket_get_fd(socket_), SHUT_WR);
}

bool TcpConnection::has_pending_input() {
  char byte = 0;
  const ssize_t count =
      ::recv(h2o_socket_get_fd(socket_), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || note_error(errno) != IoStatus::kAgain;
}

void TcpConnection::on_connect_event(h2o_socket_t* socket, const char* /*error*/) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (connection == nullptr || connection->listener_ == nullptr) {
    return;
  }
  int error = 0;
  socklen_t length = sizeof(error);
  const int outcome =
      ::getsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_ERROR, &error, &length);
  connection->refused_ = outcome == 0 && error == ECONNREFUSED;
  connection->listener_->on_connected(outcome == 0 && error == 0);
}

void TcpConnection::on_read_event(h2o_socket_t* socket, const char* /*error*/) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (connection != nullptr && connection->listener_ != nullptr) {
    connection->listener_->on_readable();
  }
}

void TcpConnection::on_write_event(h2o_socket_t* socket, const char* /*error*/) {
  auto* connection = static_cast<TcpConnection*>(socket->data);
  if (connection != nullptr && connection->listener_ != nullptr) {
    connection->listener_->on_writable();
  }
}

}  // namespace ochrespring::http
