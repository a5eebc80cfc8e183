// HTTP/1.1 client on h2o's event loop with picohttpparser and pooled connections.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/body.h"
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/message.h"

namespace ochrespring::http {

/// A node that passes the bytes of a connection on to the endpoint, see ConnectionRelay.
struct RelayHop {
  Endpoint address;  ///< Of the node's ConnectionRelay.
  /// Whether an idle connection through the relay at this address may be used; any may if it is
  /// null.
  std::function<bool(const Endpoint& relay)> accepts{};
};

struct ClientRequest {
  Endpoint endpoint;
  /// If set, a relayed connection is used: an idle one through any node, or a new one through this
  /// node.
  std::optional<RelayHop> relay{};
  std::string method = "GET";
  std::string path = "/";  ///< Includes the query, if any.
  std::vector<Header> headers;
  Body body;
  Duration timeout{std::chrono::seconds(5)};  ///< Limit for the whole exchange.
  /// Limit for opening a connection; `timeout` also applies.
  Duration connect_timeout{std::chrono::seconds(5)};
  std::size_t max_idle_connections = 64;  ///< Idle connections kept to this endpoint.
  bool fresh_connection = false;          ///< Do not reuse a pooled connection.
  /// Response header that must have this value. It may be missing only on a new connection, or if
  /// the value is empty. Any other response belongs to another request: it is skipped, and the
  /// connection is not reused.
  std::optional<Header> echo;
  /// Treat an orderly close as the end of a response without a length.
  bool close_ends_answer = false;
  /// Checked once the connection is established: at or after this time, nothing is sent (kExpired).
  MonotonicTime send_before = MonotonicTime::max();
  /// Called once the connection is established, right before the first byte is sent: if it returns
  /// false, nothing is sent (kWithdrawn). May be null.
  std::function<bool()> may_send{};
};

/// Receives the events of one exchange. Called on the loop, never from within start(). Nothing
/// follows on_complete() or on_failure().
class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  virtual void on_head(const ResponseHead& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  /// The response is complete: by its length, its last chunk, or a close if `close_ends_answer` is
  /// set.
  virtual void on_complete() = 0;
  /// `sent` is true if any byte of the request may have left this process.
  virtual void on_failure(const HttpError& error, bool sent) = 0;
};

/// Handle of a running exchange; its destruction closes the connection.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Pauses or resumes reading the response.
  virtual void set_reading(bool reading) = 0;
  /// Whether any byte of the request may have left this process.
  virtual bool sent() const = 0;
};

/// Why a fetch failed, and whether any byte of the request may have been sent.
struct FetchFailure {
  HttpError error;
  bool sent = false;
};

/// Counters since the construction of the client.
struct ClientStatistics {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
};

/// Result of a probe, which only opens a connection.
enum class ProbeResult : std::uint8_t {
  kAccepted,  ///< Sent data or kept the connection open, as a server that waits for a request.
  kRefused,   ///< Refused, unreachable, or closed immediately, as by a proxy without a back end.
  kNoAnswer,  ///< No answer in time, neither an acceptance nor a refusal.
};

/// HTTP client on one loop.
class Client {
 public:
  explicit Client(EventLoop& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange; `observer` must outlive the returned object.
  std::unique_ptr<Exchange> start(ClientRequest request, ResponseObserver& observer);
  /// Fetches a complete response with a body of at most `max_body_bytes`.
  void fetch(ClientRequest request, std::function<void(Result<Response, FetchFailure>)> done,
             std::uint64_t max_body_bytes = 8U << 20U);
  /// Opens a connection and closes it without sending anything. The peer counts as accepting if it
  /// sends data or keeps the connection open for `open_time`; by default several round trips within
  /// a local network.
  void probe(const Endpoint& endpoint, Duration timeout, std::function<void(ProbeResult)> done,
             Duration open_time = std::chrono::milliseconds(150));
  /// Closes the idle connections to an endpoint, direct and relayed ones.
  void close_idle_connections(const Endpoint& endpoint);
  void close_idle_direct_connections(const Endpoint& endpoint);
  bool has_idle_connection(const Endpoint& endpoint, bool relayed = false) const;
  const ClientStatistics& statistics() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
