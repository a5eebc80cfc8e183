#include "http/guarded_connection.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/http2_streams.h"
#include "http/response_stream.h"
#include "http/tcp_state.h"

namespace ochrespring::http {

namespace {

/// Buffers up to this size are kept with each connection and count as part of it.
constexpr std::size_t kFreeBufferBytes = 4U << 10U;

Duration to_duration(std::uint64_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

GuardedConnection::GuardedConnection(const Owner& owner, std::shared_ptr<MemoryAccount> account,
                                     h2o_socket_t* socket)
    : owner_(owner),
      socket_(socket),
      reading_(std::move(account), MemoryAccount::Kind::kReading, 0),
      began_(now()),
      progressed_(began_) {
  socket->on_close.cb = on_socket_closed;
  socket->on_close.data = this;
}

std::uint64_t GuardedConnection::now() const {
  return h2o_now(h2o_socket_get_loop(socket_));
}

void GuardedConnection::capture() {
  if (socket_->_cb.read != nullptr && socket_->_cb.read != on_read) {
    read_ = std::exchange(socket_->_cb.read, on_read);
  }
  if (socket_->_cb.write != nullptr && socket_->_cb.write != on_write) {
    write_ = std::exchange(socket_->_cb.write, on_write);
  }
}

void GuardedConnection::on_read(h2o_socket_t* socket, const char* error) {
  GuardedConnection& connection = of(socket);
  const std::size_t bytes_read = error == nullptr ? socket->bytes_read : 0;  // By the last read.
  bool closed = false;
  connection.closed_ = &closed;
  socket->_cb.read = connection.read_;
  connection.read_(socket, error);
  if (closed) {
    return;
  }
  // h2o itself answers requests that it rejects, and requests that expect an interim response.
  connection.answered_by_h2o_ = connection.streams_.empty() && h2o_socket_is_reading(socket) == 0 &&
                                h2o_socket_is_writing(socket) != 0;
  connection.progressed_ = connection.now();
  connection.finish_callback(bytes_read);
}

void GuardedConnection::on_write(h2o_socket_t* socket, const char* error) {
  GuardedConnection& connection = of(socket);
  const bool may_end = std::exchange(connection.answered_by_h2o_, false) && socket->ssl == nullptr;
  const int descriptor = may_end ? ::fcntl(h2o_socket_get_fd(socket), F_DUPFD_CLOEXEC, 0) : -1;
  const Owner owner = connection.owner_;
  bool closed = false;
  connection.closed_ = &closed;
  connection.write_(socket, error);
  if (!closed) {
    connection.finish_callback(0);
  }
  if (descriptor >= 0 && closed) {
    owner.on_answered(owner.object, descriptor);
  } else if (descriptor >= 0) {
    ::close(descriptor);
  }
}

void GuardedConnection::on_socket_closed(void* self) {
  auto& connection = *static_cast<GuardedConnection*>(self);
  if (connection.closed_ != nullptr) {
    *connection.closed_ = true;
  }
  connection.owner_.on_closed(connection.owner_.object, connection);
}

void GuardedConnection::finish_callback(std::size_t bytes_read) {
  closed_ = nullptr;
  capture();
  update(bytes_read);
  owner_.on_activity(owner_.object);
}

void GuardedConnection::update(std::size_t bytes_read) {
  const std::size_t held_before = reading_.bytes();
  if (const h2o_conn_t* connection = http2()) {
    // An upper bound: only a visit of all streams tells what those of this connection hold.
    reading_.resize(has_unhandled_streams(*connection) ? held_before + bytes_read
                                                       : frame_bytes(*connection) + input_bytes());
    return;
  }
  const std::size_t held = input_bytes() - std::min(input_bytes(), released_);
  reading_.resize(held);
  if (held_before == 0 || !streams_.empty()) {
    began_ = now();
  }
}

/// Bytes in the input buffer, with those that were consumed but not given back.
std::size_t GuardedConnection::input_bytes() const {
  const h2o_buffer_t& input = *socket_->input;
  if (input.bytes == nullptr || input.capacity <= kFreeBufferBytes) {
    return 0;
  }
  return static_cast<std::size_t>(input.bytes - input._buf) + input.size;
}

h2o_conn_t* GuardedConnection::http2() const {
  // Until a handshake has ended, the socket does not belong to a protocol.
  const bool established = socket_->ssl == nullptr || used_;
  auto* connection = static_cast<h2o_conn_t*>(socket_->data);
  return established && is_http2(*connection) ? connection : nullptr;
}

void GuardedConnection::set_unhandled_bytes(std::size_t bytes) {
  reading_.resize(bytes + frame_bytes(*http2()) + input_bytes());
}

void GuardedConnection::note_refused(std::size_t bytes) {
  reading_.resize(reading_.bytes() - std::min(reading_.bytes(), bytes));
  capture();
}

void GuardedConnection::note_handled(ResponseStream& stream, std::size_t body,
                                     std::size_t released) {
  streams_.insert(&stream);
  used_ = true;
  if (http2() != nullptr) {
    reading_.resize(reading_.bytes() - std::min(reading_.bytes(), body));
  } else {
    released_ = released;
  }
}

void GuardedConnection::note_ended(ResponseStream& stream) {
  streams_.erase(&stream);
  released_ = 0;
  progressed_ = now();
}

ConnectionUse GuardedConnection::use() const {
  if (answered_by_h2o_) {
    return ConnectionUse::kBusy;
  }
  if (!streams_.empty()) {
    const bool unread =
        std::all_of(streams_.begin(), streams_.end(),
                    [](const ResponseStream* stream) { return stream->is_stalled(); });
    return unread ? ConnectionUse::kUnread : ConnectionUse::kBusy;
  }
  const h2o_conn_t* connection = http2();
  const bool reads =
      connection != nullptr ? has_unhandled_streams(*connection) : socket_->input->size != 0;
  if (reads) {
    return ConnectionUse::kReading;
  }
  return used_ ? ConnectionUse::kIdle : ConnectionUse::kUnused;
}

Duration GuardedConnection::idle_time() const {
  return to_duration(now() - progressed_);
}

std::optional<Occupancy> GuardedConnection::incomplete_request() const {
  if (use() != ConnectionUse::kReading || http2() != nullptr ||
      h2o_socket_is_reading(socket_) == 0) {
    return std::nullopt;
  }
  return Occupancy{reading_.bytes(), to_duration(now() - began_), idle_time()};
}

int GuardedConnection::end(std::string_view answer) {
  const int open = h2o_socket_get_fd(socket_);
  int descriptor = -1;
  if (!answer.empty() && socket_->ssl == nullptr &&
      ::send(open, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL) ==
          static_cast<ssize_t>(answer.size())) {
    descriptor = ::fcntl(open, F_DUPFD_CLOEXEC, 0);
  }
  if (streams_.empty() && h2o_socket_is_reading(socket_) != 0) {
    socket_->_cb.read = read_;
    read_(socket_, h2o_socket_error_closed);
  } else {
    reset();
  }
  return descriptor;
}

void GuardedConnection::reset() {
  const int open = h2o_socket_get_fd(socket_);
  set_reset_on_close(open);
  ::shutdown(open, SHUT_RDWR);
}

}  // namespace ochrespring::http
