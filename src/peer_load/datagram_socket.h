// A UDP socket on a loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "http/errc.h"
#include "http/event_loop.h"

namespace ochrespring::peer_load {

/// Datagrams may be lost, doubled or late. Used on the loop only.
class DatagramSocket {
 public:
  using Receive = std::function<void(std::string_view bytes)>;

  /// Binds; `receive` is called for each datagram.
  static Result<std::unique_ptr<DatagramSocket>, http::HttpError> bind(http::EventLoop& loop,
                                                                       const Endpoint& endpoint,
                                                                       Receive receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends if the network takes it now; else the datagram is lost.
  void send(const Endpoint& endpoint, std::string_view bytes);
  Endpoint bound() const;

 private:
  struct State;
  explicit DatagramSocket(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::peer_load
