#include "peer/outgoing_link.h"

#include <h2o.h>
#include <netinet/tcp.h>

#include <algorithm>

#include "base/socket_address.h"

namespace ochrespring::peer {

namespace {

/// Frames are joined up to this many bytes into one write.
constexpr std::size_t kWriteBytes = 64U << 10U;
/// Largest power of two the backoff grows by.
constexpr std::uint32_t kLargestBackoffShift = 16;
constexpr double kBackoffJitter = 0.5;
/// Sent data that is not acknowledged for this long ends the connection, so that a healed partition
/// is not kept waiting by the kernel's own, much longer retransmission backoff.
constexpr unsigned kUnacknowledgedMilliseconds = 5000;
/// Present only because h2o tells a client's handshake by it; see TcpTransportSettings::identity on
/// names.
constexpr const char* kTlsServerName = "ochrespring-node";

void set_socket_options(h2o_socket_t* socket) {
  const int descriptor = h2o_socket_get_fd(socket);
  const int no_delay = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  const unsigned limit = kUnacknowledgedMilliseconds;
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

}  // namespace

OutgoingLink::OutgoingLink(ConnectionContext& context, const Endpoint& to)
    : context_(context), to_(to), timer_(context.loop) {}

OutgoingLink::~OutgoingLink() {
  close_socket();
}

bool OutgoingLink::enqueue(std::string frame) {
  used_ = true;
  if (queued_bytes_ + frame.size() > context_.settings.queue_bytes) {
    return false;
  }
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (state_ == State::kIdle) {
    connect();
  } else if (state_ == State::kOpen && writing_.empty()) {
    write_more();
  }
  return true;
}

bool OutgoingLink::sweep() {
  if (state_ == State::kOpen) {
    failures_ = 0;
  }
  const bool unused = !used_ && queue_.empty() && writing_.empty();
  used_ = false;
  return unused;
}

void OutgoingLink::connect() {
  auto address = parse_endpoint(to_);
  if (address) {
    socket_ = h2o_socket_connect(context_.loop.native(), address->get(), address->length,
                                 &OutgoingLink::on_connected);
  }
  if (socket_ == nullptr) {
    fail_connection();
    return;
  }
  socket_->data = this;
  state_ = State::kConnecting;
  timer_.arm(context_.settings.connect_timeout, [this] { fail_connection(); });
}

void OutgoingLink::on_connected(h2o_socket_t* socket, const char* error) {
  auto* link = static_cast<OutgoingLink*>(socket->data);
  if (error != nullptr) {
    link->fail_connection();
    return;
  }
  set_socket_options(socket);
  if (link->context_.client_tls == nullptr) {
    link->open();
    return;
  }
  link->state_ = State::kHandshaking;
  h2o_socket_ssl_handshake(socket, link->context_.client_tls, kTlsServerName,
                           &OutgoingLink::on_handshake);
}

void OutgoingLink::on_handshake(h2o_socket_t* socket, const char* error) {
  auto* link = static_cast<OutgoingLink*>(socket->data);
  // The chain was verified; only the name differs, which nodes do not compare.
  if (error != nullptr && error != h2o_socket_error_ssl_cert_name_mismatch) {
    ++link->context_.statistics.handshake_failures;
    link->fail_connection();
    return;
  }
  link->open();
}

void OutgoingLink::open() {
  timer_.disarm();
  state_ = State::kOpen;
  ++context_.statistics.connections_opened;
  queue_.push_front(context_.hello);
  queued_bytes_ += context_.hello.size();
  h2o_socket_read_start(socket_, &OutgoingLink::on_readable);
  write_more();
}

void OutgoingLink::on_readable(h2o_socket_t* socket, const char* error) {
  auto* link = static_cast<OutgoingLink*>(socket->data);
  if (error != nullptr) {
    link->fail_connection();
    return;
  }
  // Peers answer on connections of their own; anything here is of no meaning.
  h2o_buffer_consume(&socket->input, socket->input->size);
}

void OutgoingLink::write_more() {
  while (!queue_.empty() && writing_.size() < kWriteBytes) {
    writing_ += queue_.front();
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
  }
  if (writing_.empty()) {
    return;
  }
  h2o_iovec_t bytes = h2o_iovec_init(writing_.data(), writing_.size());
  h2o_socket_write(socket_, &bytes, 1, &OutgoingLink::on_written);
}

void OutgoingLink::on_written(h2o_socket_t* socket, const char* error) {
  auto* link = static_cast<OutgoingLink*>(socket->data);
  link->writing_.clear();
  if (error != nullptr) {
    link->fail_connection();
    return;
  }
  link->write_more();
}

void OutgoingLink::close_socket() {
  if (socket_ != nullptr) {
    h2o_socket_close(socket_);
    socket_ = nullptr;
  }
}

void OutgoingLink::fail_connection() {
  close_socket();
  ++context_.statistics.connection_failures;
  // What waited is stale by the time the peer is back; dropping it also bounds memory.
  context_.statistics.messages_dropped += queue_.size();
  queue_.clear();
  queued_bytes_ = 0;
  writing_.clear();
  state_ = State::kBackingOff;
  timer_.arm(backoff(), [this] {
    state_ = State::kIdle;
    if (!queue_.empty()) {
      connect();
    }
  });
}

Duration OutgoingLink::backoff() {
  const std::uint32_t shift = std::min(failures_++, kLargestBackoffShift);
  const Duration grown = context_.settings.shortest_backoff * (std::int64_t{1} << shift);
  return context_.random.jitter(std::min(grown, context_.settings.longest_backoff), kBackoffJitter);
}

}  // namespace ochrespring::peer
