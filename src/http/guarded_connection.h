// A client's connection as the guard sees it. Private to src/http.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_set>

#include "base/time.h"
#include "http/eviction_order.h"
#include "http/h2o_api.h"
#include "http/memory_account.h"

namespace ochrespring::http {

class ResponseStream;

/// Accounts for what one accepted connection holds. It stands between h2o's event loop and h2o's
/// protocols: their callbacks for the socket are replaced by its own, which call them and then look
/// at what the connection holds. So the account is right after each read, not only once a request
/// is complete.
class GuardedConnection {
 public:
  /// Called when something was read or written; may close any connection.
  using OnActivity = void (*)(void* owner);
  /// Called when the socket is closed; destroys this object.
  using OnClosed = void (*)(void* owner, GuardedConnection& connection);
  /// Takes the descriptor of a connection that h2o has closed after an answer of its own.
  using OnAnswered = void (*)(void* owner, int descriptor);

  struct Owner {
    void* object;
    OnActivity on_activity;
    OnClosed on_closed;
    OnAnswered on_answered;
  };

  GuardedConnection(const Owner& owner, std::shared_ptr<MemoryAccount> account,
                    h2o_socket_t* socket);
  GuardedConnection(const GuardedConnection&) = delete;
  GuardedConnection& operator=(const GuardedConnection&) = delete;

  /// The guarded connection of a socket that a server accepted.
  static GuardedConnection& of(h2o_socket_t* socket) {
    return *static_cast<GuardedConnection*>(socket->on_close.data);
  }

  /// Takes over callbacks that h2o has set for the socket. Called after everything that may set
  /// one.
  void capture();

  /// The stream of the HTTP/1 request whose caller is watched for a disconnect; null if there is
  /// none.
  ResponseStream* watcher = nullptr;

  /// A request of this connection is passed to a handler. `released` bytes of h2o's buffers are no
  /// longer backed by memory.
  void note_handled(ResponseStream& stream, std::size_t body, std::size_t released);
  /// The response has ended, or its request was disposed of.
  void note_ended(ResponseStream& stream);

  ConnectionUse use() const;
  Duration idle_time() const;
  /// The incomplete request of an HTTP/1 connection; empty if there is none.
  std::optional<Occupancy> incomplete_request() const;
  /// HTTP/2 only: sets what the unhandled streams hold, which is estimated between two calls.
  void set_unhandled_bytes(std::size_t bytes);
  /// HTTP/2 only: an unhandled stream was refused.
  void note_refused(std::size_t bytes);
  /// The connection of an HTTP/2 socket; null for HTTP/1.
  h2o_conn_t* http2() const;
  const std::unordered_set<ResponseStream*>& streams() const { return streams_; }

  /// Closes the connection. An incomplete HTTP/1 request is ended with the answer, unless that is
  /// empty. Returns the descriptor to linger on, or a negative number. A connection whose answers
  /// are not read is reset in the next iteration of the loop.
  int end(std::string_view answer);
  /// Makes the close of the connection a reset, and lets h2o close it in the next iteration of the
  /// loop.
  void reset();

 private:
  static void on_read(h2o_socket_t* socket, const char* error);
  static void on_write(h2o_socket_t* socket, const char* error);
  static void on_socket_closed(void* self);
  void finish_callback(std::size_t bytes_read);
  void update(std::size_t bytes_read);
  std::size_t input_bytes() const;
  std::uint64_t now() const;

  Owner owner_;
  h2o_socket_t* socket_;
  MemoryCharge reading_;
  h2o_socket_cb read_ = nullptr;
  h2o_socket_cb write_ = nullptr;
  std::unordered_set<ResponseStream*> streams_;  ///< Of the requests that handlers have.
  std::size_t released_ = 0;                     ///< HTTP/1: of the buffered request.
  std::uint64_t began_;       ///< When the request being read began, milliseconds of the loop.
  std::uint64_t progressed_;  ///< When bytes were last read or a response ended, likewise.
  bool used_ = false;         ///< A request was handled.
  bool answered_by_h2o_ = false;
  bool* closed_ = nullptr;  ///< Set to true if the socket is closed during a callback.
};

}  // namespace ochrespring::http
