// Connection a peer opened to this node: takes frames off it. Private to src/peer.
#pragma once

#include <functional>
#include <optional>

#include "peer/connection_context.h"
#include "peer/frame.h"

struct st_h2o_socket_t;

namespace ochrespring::peer {

/// What an incoming connection reports to.
class IncomingObserver {
 public:
  virtual ~IncomingObserver() = default;
  virtual void on_frame(const Endpoint& from, const Frame& frame) = 0;
  /// The connection ended; destroy it, but not inside this call.
  virtual void on_ended(st_h2o_socket_t* socket) = 0;
};

class IncomingConnection {
 public:
  /// Takes over an accepted socket.
  IncomingConnection(ConnectionContext& context, st_h2o_socket_t* socket,
                     IncomingObserver& observer);
  ~IncomingConnection();
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  /// Starts the handshake or reading.
  void start();
  /// Called each idle period; returns whether the peer has been silent for too many.
  bool sweep();

 private:
  static void on_handshake(st_h2o_socket_t* socket, const char* error);
  static void on_readable(st_h2o_socket_t* socket, const char* error);

  void read_frames();
  /// Returns whether the connection may go on.
  bool take(std::string_view body);
  bool take_hello(std::string_view body);
  void end();

  ConnectionContext& context_;
  st_h2o_socket_t* socket_;
  IncomingObserver& observer_;
  std::optional<Endpoint> from_;  ///< Known after the hello.
  std::uint32_t silent_periods_ = 0;
  bool ended_ = false;
};

}  // namespace ochrespring::peer
