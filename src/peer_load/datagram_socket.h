// A UDP socket on an event loop.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "http/errc.h"
#include "http/event_loop.h"

namespace ochrespring::peer_load {

/// Sends and receives UDP datagrams, which may be lost, duplicated or delayed. Not thread-safe;
/// used on its event loop only.
class DatagramSocket {
 public:
  using Receive = std::function<void(std::string_view bytes)>;

  /// Binds a socket to `endpoint`; `receive` is called for each datagram. Datagrams longer than
  /// 8192 bytes are truncated. Fails with kAddressInvalid or kAddressInUse.
  static Result<std::unique_ptr<DatagramSocket>, http::HttpError> bind(http::EventLoop& loop,
                                                                       const Endpoint& endpoint,
                                                                       Receive receive);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Sends a datagram, or drops it if `endpoint` cannot be parsed or the socket is not writable at
  /// once.
  void send(const Endpoint& endpoint, std::string_view bytes);
  /// Returns the local address, with the port that was assigned.
  Endpoint bound() const;

 private:
  struct State;
  explicit DatagramSocket(std::unique_ptr<State> state);

  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::peer_load
