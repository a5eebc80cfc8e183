// Connection to one peer with its queue: connects when there is something to send, connects again
// with backoff after a failure. Private to src/peer.
#pragma once

#include <deque>
#include <string>

#include "base/timer.h"
#include "peer/connection_context.h"

struct st_h2o_socket_t;

namespace ochrespring::peer {

class OutgoingLink {
 public:
  OutgoingLink(ConnectionContext& context, const Endpoint& to);
  ~OutgoingLink();
  OutgoingLink(const OutgoingLink&) = delete;
  OutgoingLink& operator=(const OutgoingLink&) = delete;

  /// Queues an encoded frame. Returns false when the queue is full and the frame was dropped.
  bool enqueue(std::string frame);
  std::size_t queued_bytes() const { return queued_bytes_; }
  /// Called each idle period. Returns whether the link was unused and may be destroyed.
  bool sweep();

 private:
  enum class State : std::uint8_t { kIdle, kConnecting, kHandshaking, kOpen, kBackingOff };

  static void on_connected(st_h2o_socket_t* socket, const char* error);
  static void on_handshake(st_h2o_socket_t* socket, const char* error);
  static void on_readable(st_h2o_socket_t* socket, const char* error);
  static void on_written(st_h2o_socket_t* socket, const char* error);

  void connect();
  void open();
  void write_more();
  void close_socket();
  void fail_connection();
  Duration backoff();

  ConnectionContext& context_;
  Endpoint to_;
  State state_ = State::kIdle;
  st_h2o_socket_t* socket_ = nullptr;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  std::string writing_;  ///< Bytes handed to the socket; kept until it is done with them.
  std::uint32_t failures_ = 0;
  bool used_ = true;
  Timer timer_;
};

}  // namespace ochrespring::peer
