// HTTP/1.1 client on h2o's loop and parser, with pooled connections.
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
#include "http/errc.h"
#include "http/event_loop.h"
#include "http/message.h"

namespace ochrespring::http {

struct ClientRequest {
  Endpoint endpoint;
  std::string method = "GET";
  std::string path = "/";  ///< With the query, if any.
  std::vector<Header> headers;
  std::string body;
  Duration timeout{std::chrono::seconds(5)};          ///< For the whole exchange.
  Duration connect_timeout{std::chrono::seconds(5)};  ///< For a new connection; within `timeout`.
  std::size_t max_idle_connections = 64;  ///< Connections to this endpoint kept while idle.
  bool fresh_connection = false;          ///< Do not reuse a pooled connection.
  /// A header that the answer repeats, with the value it must have. An answer that names another
  /// value belongs to another request: it is read over, and the connection not used again.
  std::optional<Header> echo;
  /// Take an orderly close for the end of an answer that tells no length.
  bool close_ends_answer = false;
  /// Checked when the connection is there: at or after this, no byte leaves (kExpired).
  MonotonicTime send_before = MonotonicTime::max();
  /// Asked when the connection is there: where it says no, no byte leaves (kWithdrawn). Null: yes.
  std::function<bool()> may_send{};
};

/// Follows one exchange. Called on the loop, never inside start(); after on_complete or on_failure
/// nothing follows.
class ResponseObserver {
 public:
  virtual ~ResponseObserver() = default;
  virtual void on_head(const ResponseHead& head) = 0;
  virtual void on_body(std::string_view bytes) = 0;
  /// The answer's end is proven: its length, its last chunk, or the close that was asked for.
  virtual void on_complete() = 0;
  /// `sent` tells whether any byte of the request may have left this process.
  virtual void on_failure(const HttpError& error, bool sent) = 0;
};

/// One running exchange; destruction closes its connection.
class Exchange {
 public:
  virtual ~Exchange() = default;
  /// Stops or resumes reading the answer.
  virtual void set_reading(bool reading) = 0;
};

/// What ended a fetch: the error and whether bytes may have left.
struct FetchFailure {
  HttpError error;
  bool sent = false;
};

/// What a client has done since it was made.
struct ClientStatistics {
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_reused = 0;
};

/// What became of a connection that was only opened.
enum class ProbeResult : std::uint8_t {
  kAccepted,  ///< And kept open for a while, as by a server that waits for a request.
  kRefused,   ///< Nothing listens there, there is no way to it, or it was closed at once: whoever
              ///< accepts for others has nobody behind.
  kNoAnswer,  ///< Not in time.
};

/// Client on one loop.
class Client {
 public:
  explicit Client(EventLoop& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Starts an exchange; `observer` must outlive the returned object.
  std::unique_ptr<Exchange> start(ClientRequest request, ResponseObserver& observer);
  /// Fetches a whole answer of at most `largest_body_bytes`.
  void fetch(ClientRequest request, std::function<void(Result<Response, FetchFailure>)> done,
             std::uint64_t largest_body_bytes = 8U << 20U);
  /// Opens a connection and, if it is accepted and stays open for 150 ms, closes it without a byte.
  void probe(const Endpoint& endpoint, Duration timeout, std::function<void(ProbeResult)> done);
  /// Closes the idle connections to an endpoint.
  void close_idle_connections(const Endpoint& endpoint);
  bool has_idle_connection(const Endpoint& endpoint) const;
  const ClientStatistics& statistics() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
