// One outgoing TCP connection on a loop. Reads and writes itself, because h2o's socket does not
// tell a reset from an orderly close, and an answer without a length is whole only after the
// latter. Private to src/http.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/h2o_api.h"

namespace ochrespring::http {

/// How one read or write ended.
enum class IoStatus : std::uint8_t {
  kDone,          ///< Bytes were moved.
  kAgain,         ///< Nothing now; wait for the next event.
  kClosed,        ///< The peer has closed its side in order.
  kFailed,        ///< Reset or unreachable.
  kUnresponsive,  ///< The peer has not acknowledged bytes or probes for too long.
};

struct IoResult {
  IoStatus status = IoStatus::kAgain;
  std::size_t bytes = 0;
};

/// Owned by an exchange or by the pool. Destruction closes the connection.
class ClientConnection {
 public:
  /// Told on the loop about events; may destroy the connection from within.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// The connection was made, or could not be.
    virtual void on_connected(bool success) = 0;
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
  };

  /// Begins to connect. `silence` bounds how long sent bytes may stay unacknowledged.
  static Result<std::unique_ptr<ClientConnection>, HttpError> open(EventLoop& loop,
                                                                   const SocketAddress& address,
                                                                   Duration max_unacknowledged);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  void set_listener(Listener* listener) { listener_ = listener; }
  IoResult read(char* buffer, std::size_t size);
  IoResult write(std::string_view head, std::string_view body);
  /// Starts or stops reporting that there is something to read.
  void set_reading(bool reading);
  /// Reports once when more can be written.
  void await_writable();
  /// Whether the peer has sent anything, or closed, that was not read yet.
  bool has_pending_input() const;

 private:
  explicit ClientConnection(h2o_socket_t* socket) : socket_(socket) {}

  static void on_connect_event(h2o_socket_t* socket, const char* error);
  static void on_read_event(h2o_socket_t* socket, const char* error);
  static void on_write_event(h2o_socket_t* socket, const char* error);

  h2o_socket_t* socket_;
  Listener* listener_ = nullptr;
};

}  // namespace ochrespring::http
