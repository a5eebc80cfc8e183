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
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/message.h"

namespace ochrespring::http {

/// Files of a TLS identity, read again by Server::reload_tls().
struct TlsFiles {
  std::string certificate;  ///< PEM chain.
  std::string key;          ///< PEM.
  std::string authority;    ///< PEM; when set, the peer must present a certificate it signed.
};

struct ServerSettings {
  Endpoint listen;  ///< Port 0 picks a free one.
  std::optional<TlsFiles> tls;
  std::uint64_t largest_body_bytes = 8U << 20U;
  bool reuse_port = false;  ///< Several loops listen on one address.
  /// How long a caller's connection may rest. Longer than clients keep their end.
  Duration idle_timeout{std::chrono::seconds(60)};
};

/// The answer to one request. Shared between the handler and the server; used on the loop only.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual void send_head(const ResponseHead& head) = 0;
  virtual void send_body(std::string_view bytes) = 0;
  virtual void finish() = 0;
  /// Cuts the answer so that the caller sees it is not whole.
  virtual void abort() = 0;
  /// Bytes accepted and not yet written to the caller's connection.
  virtual std::size_t buffered_bytes() const = 0;
  /// Whether the caller's connection or stream is gone.
  virtual bool closed() const = 0;
  /// Called once when the caller goes away before the answer is finished.
  virtual void on_closed(std::function<void()> callback) = 0;
  /// Called whenever buffered_bytes() falls to zero.
  virtual void on_drained(std::function<void()> callback) = 0;

  /// Sends a whole answer.
  void respond(std::uint16_t status, std::vector<Header> headers, std::string_view body);
};

using Handler = std::function<void(Request request, std::shared_ptr<ResponseWriter> response)>;

/// Server on one loop. Destroy only after the loop has stopped.
class Server {
 public:
  Server(EventLoop& loop, ServerSettings settings);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Handles requests whose path begins with `prefix`; the longest prefix wins. Before listen().
  void route(const std::string& prefix, Handler handler);
  /// Binds and accepts.
  Result<void, HttpError> listen();
  /// The address bound, with its real port.
  Endpoint bound() const;
  /// From now on every answer says that its connection closes; new connections are still taken.
  void announce_close();
  /// Largest body of a request from now on.
  void set_largest_body(std::uint64_t bytes);
  /// How long connections may rest from now on.
  void set_idle_timeout(Duration timeout);
  /// Stops accepting; connections that are busy go on, and those that the kernel has already taken
  /// for this server are accepted first: it would reset them with the listener.
  void stop_accepting();
  /// Requests of which a byte has been read and whose answer has not wholly been handed to the
  /// kernel, whoever waits for what meanwhile. Walks the connections.
  std::size_t requests_in_progress() const;
  /// Reads the TLS files again; keeps the old identity on failure.
  Result<void, HttpError> reload_tls();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
