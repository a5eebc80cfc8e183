// One TCP connection on a loop. Uses its own reads and writes, because h2o's socket does
// not distinguish a reset from an orderly close, and a response without a length is complete only
// after the latter. Private to src/http.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/h2o_api.h"

namespace ochrespring::http {

/// How long sent bytes may stay unacknowledged on connections that carry requests.
inline constexpr Duration kMaxUnacknowledgedTime = std::chrono::milliseconds(800);

/// Result of one read or write.
enum class IoStatus : std::uint8_t {
  kDone,          ///< Bytes were transferred.
  kAgain,         ///< Would block; wait for the next event.
  kClosed,        ///< Orderly close by the peer.
  kFailed,        ///< Reset or unreachable.
  kUnresponsive,  ///< The peer did not acknowledge data or keep-alive probes in time.
};

struct IoResult {
  IoStatus status = IoStatus::kAgain;
  std::size_t bytes = 0;
};

/// Owned by an exchange, the pool or a relayed connection. Destruction closes the connection.
class TcpConnection {
 public:
  /// Receives the events on the loop; may destroy the connection from within.
  class Listener {
   public:
    virtual ~Listener() = default;
    /// The connection was established or has failed.
    virtual void on_connected(bool success) = 0;
    virtual void on_readable() = 0;
    virtual void on_writable() = 0;
  };

  /// Starts connecting. `max_unacknowledged` limits how long sent bytes may stay unacknowledged.
  static Result<std::unique_ptr<TcpConnection>, HttpError> open(EventLoop& loop,
                                                                const SocketAddress& address,
                                                                Duration max_unacknowledged);
  /// Takes over a connection that a listener has accepted. Its end is a reset unless
  /// close_in_order() is called, also if the process is killed.
  static std::unique_ptr<TcpConnection> adopt(EventLoop& loop, int accepted,
                                              Duration max_unacknowledged);
  ~TcpConnection();
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void set_listener(Listener* listener) { listener_ = listener; }
  /// Whether the connection failed because no process accepts connections at the address.
  bool was_refused() const { return refused_; }
  /// Returns kClosed only if the peer has ended its direction in order. An error that an earlier
  /// read() or write() has returned is returned again once all bytes received before it are read.
  IoResult read(char* buffer, std::size_t size);
  IoResult write(std::string_view head, std::string_view body);
  /// Enables or disables on_readable().
  void set_reading(bool reading);
  /// Requests one call of on_writable().
  void await_writable();
  /// Makes the destructor reset the connection if the peer has not acknowledged all written bytes.
  /// An orderly close would still deliver them. Otherwise the close stays orderly, because the
  /// kernel sends a reset only once, and it may be lost.
  void discard_unacknowledged();
  /// Makes the destructor reset the connection.
  void reset_on_close();
  /// Makes the destructor close the connection in order, after the bytes written so far.
  void close_in_order();
  /// Ends this direction in order, after the bytes written so far; reading goes on.
  void end_output();
  /// Whether there is unread data or an unread close from the peer.
  bool has_pending_input();

 private:
  explicit TcpConnection(h2o_socket_t* socket) : socket_(socket) {}

  static void on_connect_event(h2o_socket_t* socket, const char* error);
  static void on_read_event(h2o_socket_t* socket, const char* error);
  static void on_write_event(h2o_socket_t* socket, const char* error);

  IoStatus note_error(int error);

  h2o_socket_t* socket_;
  /// Error of the connection that a call has returned. The kernel returns it to one call only;
  /// after that the end of the input looks like an orderly close.
  std::optional<IoStatus> error_;
  Listener* listener_ = nullptr;
  bool refused_ = false;
};

}  // namespace ochrespring::http
