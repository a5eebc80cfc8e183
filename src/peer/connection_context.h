// What all connections of one transport share. Private to src/peer.
#pragma once

#include <openssl/ssl.h>

#include <string>

#include "base/random.h"
#include "http/event_loop.h"
#include "peer/tcp_transport.h"

namespace ochrespring::peer {

struct ConnectionContext {
  http::EventLoop& loop;
  RandomSource& random;
  const TcpTransportSettings& settings;
  TransportStatistics& statistics;
  SSL_CTX* server_tls = nullptr;  ///< Of new incoming connections; null without TLS.
  SSL_CTX* client_tls = nullptr;  ///< Of new outgoing connections; null without TLS.
  std::string hello;              ///< Encoded first frame of every outgoing connection.
};

}  // namespace ochrespring::peer
