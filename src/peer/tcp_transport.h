// Messages between nodes over TCP on one event loop. Each node connects to the peers it sends to;
// a connection carries messages one way. Messages are lost when a connection fails; components
// repeat what they need.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/random.h"
#include "base/time.h"
#include "http/event_loop.h"
#include "peer/errc.h"
#include "peer/transport.h"
#include "tls/identity_source.h"

namespace ochrespring::peer {

struct TcpTransportSettings {
  Endpoint listen;     ///< Port 0 picks a free one.
  Endpoint advertise;  ///< Where peers reach this node; the bound address when empty.
  std::string cluster = "ochrespring";
  /// Identity for mutual TLS; null: plain TCP. A peer is accepted when the identity's authority
  /// signed its certificate, so that authority must sign nodes only. Names in certificates are not
  /// compared: nodes are known by IP numbers that change. Must outlive the transport.
  tls::IdentitySource* identity = nullptr;
  std::size_t queue_bytes = 4U << 20U;  ///< Per peer; messages beyond it are dropped.
  std::size_t links = 1024;  ///< Peers with a queue at once; messages beyond are dropped.
  Duration shortest_backoff{std::chrono::milliseconds(50)};
  Duration longest_backoff{std::chrono::seconds(2)};
  Duration connect_timeout{std::chrono::seconds(2)};
  Duration idle_timeout{std::chrono::seconds(60)};  ///< An unused connection is closed after this.
};

/// Traffic of one channel. Bytes are whole frames, without TLS.
struct ChannelStatistics {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_received = 0;
};

struct TransportStatistics {
  std::array<ChannelStatistics, kChannelCount> channels;
  std::uint64_t messages_dropped = 0;  ///< A queue was full or a connection failed.
  std::uint64_t connections_opened = 0;
  std::uint64_t connection_failures = 0;
  std::uint64_t connections_accepted = 0;
  std::uint64_t malformed_frames = 0;     ///< Each ends its connection.
  std::uint64_t foreign_connections = 0;  ///< Of another cluster or protocol version.
  std::uint64_t handshake_failures = 0;
};

/// Takes whole messages off the transport, on the loop.
using MessageHandler =
    std::function<void(const Endpoint& from, Channel channel, std::string_view payload)>;

/// Transport over TCP. Used on the loop's thread only; destroy after the loop has stopped or on it.
class TcpTransport final : public Transport {
 public:
  TcpTransport(http::EventLoop& loop, RandomSource& random, TcpTransportSettings settings);
  ~TcpTransport() override;
  TcpTransport(const TcpTransport&) = delete;
  TcpTransport& operator=(const TcpTransport&) = delete;

  /// Binds and accepts. Once, before send().
  Result<void, PeerError> listen(MessageHandler handler);
  /// The address bound, with its real port.
  const Endpoint& bound() const;
  /// What peers are told to answer to.
  const Endpoint& advertised() const;
  /// Takes up the identity source's current identity for new connections; keeps the old one on
  /// failure. To be called when the identity has changed.
  Result<void, PeerError> refresh_identity();

  void send(const Endpoint& to, Channel channel, std::string payload) override;

  const TransportStatistics& statistics() const;
  /// Bytes queued for all peers.
  std::size_t queued_bytes() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace ochrespring::peer
