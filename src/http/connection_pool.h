// Idle outgoing connections of one loop, by endpoint. Private to src/http.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "http/event_loop.h"
#include "http/tcp_connection.h"

namespace ochrespring::http {

/// Keeps connections until they are taken, the peer sends data or closes, or their lifetime ends.
class ConnectionPool {
 public:
  explicit ConnectionPool(EventLoop& loop) : loop_(loop) {}

  /// A connection, and the relay that it goes through; empty if it is direct.
  struct Kept {
    std::unique_ptr<TcpConnection> connection;
    Endpoint relay;
  };
  using AcceptRelay = std::function<bool(const Endpoint& relay)>;

  /// Returns the most recently used direct connection, or null.
  std::unique_ptr<TcpConnection> take(const std::string& endpoint);
  /// Returns the most recently used relayed connection, or null. Closes those through relays that
  /// `accepts` rejects; a null function accepts all.
  Kept take_relayed(const std::string& endpoint, const AcceptRelay& accepts);
  /// Keeps a connection for `keep`, or closes it if `max_idle` connections are already kept.
  void put(const std::string& endpoint, Kept kept, Duration keep, std::size_t max_idle);
  bool has(const std::string& endpoint, bool relayed) const;
  void close_all(const std::string& endpoint) { idle_.erase(endpoint); }
  /// Closes the direct connections, or the relayed ones.
  void close(const std::string& endpoint, bool relayed);

 private:
  /// An idle connection. Any event on it removes it from the pool.
  class Idle final : public TcpConnection::Listener {
   public:
    Idle(ConnectionPool& pool, std::string endpoint, Kept kept, Duration keep);
    void on_connected(bool /*success*/) override {}
    void on_writable() override {}
    void on_readable() override { pool_.drop(endpoint_, this); }
    Kept release();
    bool relayed() const { return !kept_.relay.empty(); }
    const Endpoint& relay() const { return kept_.relay; }

   private:
    ConnectionPool& pool_;
    std::string endpoint_;
    Kept kept_;
    Timer expiry_;
  };

  Kept take(const std::string& endpoint, bool relayed);
  void drop(const std::string& endpoint, const Idle* idle);

  EventLoop& loop_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Idle>>> idle_;
};

}  // namespace ochrespring::http
