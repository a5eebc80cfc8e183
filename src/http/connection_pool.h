// Idle outgoing connections of one loop, by endpoint. Private to src/http.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "http/client_connection.h"
#include "http/event_loop.h"

namespace ochrespring::http {

/// Keeps connections until they are taken, the peer sends data or closes, or their lifetime ends.
class ConnectionPool {
 public:
  explicit ConnectionPool(EventLoop& loop) : loop_(loop) {}

  /// Returns the most recently used connection, or null.
  std::unique_ptr<ClientConnection> take(const std::string& endpoint);
  /// Keeps a connection for `keep`, or closes it if `max_idle` connections are already kept.
  void put(const std::string& endpoint, std::unique_ptr<ClientConnection> connection, Duration keep,
           std::size_t max_idle);
  bool has(const std::string& endpoint) const;
  void close_all(const std::string& endpoint) { idle_.erase(endpoint); }

 private:
  /// An idle connection. Any event on it removes it from the pool.
  class Idle final : public ClientConnection::Listener {
   public:
    Idle(ConnectionPool& pool, std::string endpoint, std::unique_ptr<ClientConnection> connection,
         Duration keep);
    void on_connected(bool /*success*/) override {}
    void on_writable() override {}
    void on_readable() override { pool_.drop(endpoint_, this); }
    std::unique_ptr<ClientConnection> release();

   private:
    ConnectionPool& pool_;
    std::string endpoint_;
    std::unique_ptr<ClientConnection> connection_;
    Timer expiry_;
  };

  void drop(const std::string& endpoint, const Idle* idle);

  EventLoop& loop_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<Idle>>> idle_;
};

}  // namespace ochrespring::http
