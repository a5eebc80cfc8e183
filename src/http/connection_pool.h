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

/// Keeps connections until they are taken, the peer closes or talks, or their time is over.
class ConnectionPool {
 public:
  explicit ConnectionPool(EventLoop& loop) : loop_(loop) {}

  /// The connection used last, or null.
  std::unique_ptr<ClientConnection> take(const std::string& endpoint);
  /// Keeps a connection for `keep`, or closes it if `most` are kept already.
  void put(const std::string& endpoint, std::unique_ptr<ClientConnection> connection, Duration keep,
           std::size_t most);
  bool has(const std::string& endpoint) const;
  void close_all(const std::string& endpoint) { idle_.erase(endpoint); }

 private:
  /// One kept connection. Anything it reports while idle ends it.
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
