// Listening sockets, and parsing of endpoints with the errors of the HTTP layer.
#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "base/socket_address.h"
#include "http/errc.h"

namespace ochrespring::http {

/// Parses `127.0.0.1:8080` or `[::1]:8080`. Fails with kAddressInvalid; the message names the text.
Result<SocketAddress, HttpError> parse_endpoint(const Endpoint& endpoint);

/// Opens a listening, non-blocking TCP socket and returns its descriptor. Fails with kAddressInUse
/// if the port is taken, else with kAddressInvalid.
Result<int, HttpError> open_listener(const Endpoint& endpoint, bool reuse_port);

}  // namespace ochrespring::http
