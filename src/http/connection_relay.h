// Passes the bytes of other nodes' connections on to servers that these nodes cannot reach.
//
// A node opens a connection to the relay and sends a preface that names a server. The relay
// connects to the server and answers with one byte, a RelayStatus. After kConnected it passes on
// the bytes of both directions and the way in which the server ends the connection: a reset as a
// reset, an orderly close as an orderly close. If the relay fails, the connection is reset, also if
// its process is killed, so that a response that only a close ends never looks complete.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/errc.h"
#include "http/event_loop.h"

namespace ochrespring::http {

enum class RelayStatus : char {
  kConnected = '+',
  kUnreachable = '-',  ///< The relay tried to connect to the server and failed.
  kRefused = '!',      ///< The relay did not try.
};

/// The line with which a node asks a relay to connect to a server.
std::string make_relay_preface(const Endpoint& server);

/// Counters since the construction of the relay.
struct RelayStatistics {
  std::uint64_t connected = 0;
  std::uint64_t unreachable = 0;
  std::uint64_t refused = 0;
  std::uint64_t bytes = 0;  ///< Passed on, both directions together.
};

/// Accepts and serves relayed connections on one event loop. It never connects through another
/// relay.
class ConnectionRelay {
 public:
  struct Options {
    Endpoint listen;
    /// Limit for connecting to a server.
    Duration connect_timeout{std::chrono::milliseconds(150)};
    std::size_t max_connections = 512;
  };
  struct Callbacks {
    /// Whether connections of the node at `node` (its port is arbitrary) to `server` are relayed.
    std::function<bool(const Endpoint& node, const Endpoint& server)> admit;
    /// Called with the result of connecting to a server.
    std::function<void(const Endpoint& server, bool connected)> on_result;
    /// Called when the last relayed connection has ended.
    std::function<void()> on_idle;
  };

  ConnectionRelay(EventLoop& loop, Options options, Callbacks callbacks);
  ~ConnectionRelay();
  ConnectionRelay(const ConnectionRelay&) = delete;
  ConnectionRelay& operator=(const ConnectionRelay&) = delete;

  /// Fails if the address cannot be bound.
  Result<void, HttpError> listen();
  /// Refuses new connections from now on; open ones go on.
  void stop_accepting();
  /// Returns the bound address, with the actual port.
  Endpoint bound() const;
  /// Number of relayed connections, including idle ones.
  std::size_t open_connections() const;
  const RelayStatistics& statistics() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::http
