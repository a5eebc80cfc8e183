#include "peer/incoming_connection.h"

#include <h2o.h>

namespace ochrespring::peer {

namespace {
/// Peers close unused connections after one period; a peer that does not is given up after these.
constexpr std::uint32_t kLongestSilence = 3;
}  // namespace

IncomingConnection::IncomingConnection(ConnectionContext& context, h2o_socket_t* socket,
                                       IncomingObserver& observer)
    : context_(context), socket_(socket), observer_(observer) {
  socket_->data = this;
}

IncomingConnection::~IncomingConnection() {
  h2o_socket_close(socket_);
}

void IncomingConnection::start() {
  ++context_.statistics.connections_accepted;
  if (context_.server_tls == nullptr) {
    h2o_socket_read_start(socket_, &IncomingConnection::on_readable);
    return;
  }
  h2o_socket_ssl_handshake(socket_, context_.server_tls, nullptr,
                           &IncomingConnection::on_handshake);
}

bool IncomingConnection::sweep() {
  return ++silent_periods_ > kLongestSilence;
}

void IncomingConnection::on_handshake(h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<IncomingConnection*>(socket->data);
  if (error != nullptr) {
    ++connection->context_.statistics.handshake_failures;
    connection->end();
    return;
  }
  h2o_socket_read_start(socket, &IncomingConnection::on_readable);
  connection->read_frames();
}

void IncomingConnection::on_readable(h2o_socket_t* socket, const char* error) {
  auto* connection = static_cast<IncomingConnection*>(socket->data);
  if (error != nullptr) {
    connection->end();
    return;
  }
  connection->read_frames();
}

void IncomingConnection::read_frames() {
  silent_periods_ = 0;
  std::size_t consumed = 0;
  const std::string_view bytes(socket_->input->bytes, socket_->input->size);
  FrameView frame = find_frame(bytes);
  while (frame.state == FrameState::kReady) {
    if (!take(frame.body)) {
      end();
      return;
    }
    consumed += frame.consumed;
    frame = find_frame(bytes.substr(consumed));
  }
  if (frame.state == FrameState::kTooLarge) {
    ++context_.statistics.malformed_frames;
    end();
    return;
  }
  h2o_buffer_consume(&socket_->input, consumed);
}

bool IncomingConnection::take(std::string_view body) {
  if (!from_) {
    return take_hello(body);
  }
  const auto frame = wire::decode<Frame>(body);
  if (!frame || !is_known(frame.value().channel)) {
    ++context_.statistics.malformed_frames;
    return false;
  }
  observer_.on_frame(*from_, frame.value());
  return true;
}

bool IncomingConnection::take_hello(std::string_view body) {
  const auto hello = wire::decode<Hello>(body);
  if (!hello) {
    ++context_.statistics.malformed_frames;
    return false;
  }
  if (hello.value().protocol != kProtocolVersion ||
      hello.value().cluster != context_.settings.cluster) {
    ++context_.statistics.foreign_connections;
    return false;
  }
  from_ = hello.value().from;
  return true;
}

void IncomingConnection::end() {
  if (ended_) {
    return;
  }
  ended_ = true;
  h2o_socket_read_stop(socket_);
  observer_.on_ended(socket_);
}

}  // namespace ochrespring::peer
