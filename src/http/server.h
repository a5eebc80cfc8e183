// HTTP/1.1 and HTTP/2 server over h2o.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "http/caller_guard.h"
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/message.h"

namespace ochrespring::http {

/// Files of a TLS identity; Server::reload_tls() reads them again.
struct TlsFiles {
  std::string certificate;  ///< PEM chain.
  std::string key;          ///< PEM.
  std::string authority;    ///< PEM CA certificates; if set, clients need one signed by them.
};

struct ServerSettings {
  Endpoint listen;  ///< Port 0 selects a free port.
  std::optional<TlsFiles> tls;
  std::uint64_t largest_body_bytes = 8U << 20U;
  bool reuse_port = false;  ///< Several loops may listen on the same address.
  /// Idle timeout of callers' connections; longer than the keep-alive time of clients.
  Duration idle_timeout{std::chrono::seconds(60)};
  /// Limits shared with the other servers of the loop, which outlive this one; null: default limits
  /// of its own.
  CallerGuard* guard = nullptr;
};

/// Writes the response to one request. Shared between the handler and the server; used on the loop
/// only.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void send_head(const ResponseHead& head) = 0;
  virtual void send_body(std::string_view bytes) = 0;
  virtual void finish() = 0;
  /// Aborts the response such that the caller sees that it is incomplete.
  virtual void abort() = 0;
  /// Bytes accepted but not yet written to the connection.
  virtual std::size_t buffered_bytes() const = 0;
  /// Whether the connection or stream of the caller is closed.
  virtual bool closed() const = 0;
  /// Like closed(), but also detects a close that the loop has not processed yet. Runs no callback;
  /// costs a system call.
  virtual bool poll_closed() const = 0;
  /// Sets the callback for a caller that disconnects before the response is finished; called once.
  virtual void on_closed(std::function<void()> callback) = 0;
  /// Sets the callback for each time buffered_bytes() becomes zero.
  virtual void on_drained(std::function<void()> callback) = 0;

  /// Sends a complete response.
  void respond(std::uint16_t status, std::vector<Header> headers, std::string_view body);
};

using Handler = std::function<void(Request request, std::shared_ptr<ResponseWriter> response)>;

/// HTTP server on one loop. Destroy it only after the loop has stopped.
class Server {
 public:
  Server(EventLoop& loop, ServerSettings settings);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Routes requests whose path begins with `prefix` to `handler`; the longest prefix wins. Call
  /// before listen().
  void route(const std::string& prefix, Handler handler);
  /// Binds the address and starts accepting connections.
  Result<void, HttpError> listen();
  /// The bound address with its actual port.
  Endpoint bound() const;
  /// From now on every response announces that its connection closes. New connections are still
  /// accepted.
  void announce_close();
  /// Sets the maximum size of a request body. A smaller one holds once the requests that are being
  /// read have been read or have timed out.
  void set_largest_body(std::uint64_t bytes);
  /// Sets the idle timeout of HTTP/1.1 connections. A shorter one holds once the former one has
  /// passed, since it limits the time for reading a request as well.
  void set_idle_timeout(Duration timeout);
  /// Closes the listener and announces the close of all connections; requests in progress continue.
  /// Connections that the kernel has already accepted for this server are accepted first, because
  /// closing the listener would reset them.
  void stop_accepting();
  /// Number of requests of which a byte has been read and whose response has not been handed to the
  /// kernel completely. Iterates over all connections.
  std::size_t requests_in_progress() const;
  /// Reloads the TLS files; keeps the old identity on failure.
  Result<void, HttpError> reload_tls();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
