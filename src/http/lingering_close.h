// Closes connections whose peers may still be sending. Private to src/http.
#pragma once

#include <cstddef>
#include <list>

#include "http/event_loop.h"
#include "http/h2o_api.h"

namespace ochrespring::http {

/// Sends the end of the output and discards input for a while, so that the peer can read what was
/// sent: the close of a connection with unread input is a reset, which discards output that the
/// peer has not read. How long, and how many bytes, is bounded for each connection.
class LingeringCloser {
 public:
  explicit LingeringCloser(EventLoop& loop) : loop_(loop) {}
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  /// Takes the descriptor of a connection to which everything was written.
  void close(int descriptor);
  /// Closes the connection that has lingered longest; returns false if there is none.
  bool close_oldest();
  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    Connection(LingeringCloser& closer, h2o_socket_t* open)
        : owner(closer), socket(open), timeout(closer.loop_) {}

    LingeringCloser& owner;
    h2o_socket_t* socket;
    Timer timeout;
    std::size_t discarded = 0;  ///< Bytes.
    std::list<Connection>::iterator self{};
  };
  using Connections = std::list<Connection>;

  static void on_readable(h2o_socket_t* socket, const char* error);
  void erase(Connections::iterator connection);

  EventLoop& loop_;
  Connections connections_;  ///< In order of their beginning.
};

}  // namespace ochrespring::http
