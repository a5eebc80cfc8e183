// Errors of the HTTP layer.
#pragma once

#include <string_view>

#include "base/result.h"

namespace ochrespring::http {

enum class HttpErrc {
  kAddressInvalid,
  kAddressInUse,
  kTlsInvalid,    ///< The certificate, key or authority is unusable.
  kConnect,       ///< No connection; no byte of the request was sent.
  kRefused,       ///< As kConnect: no process accepts connections at the address.
  kRelayFailed,   ///< The relay is unreachable; no byte of the request was sent.
  kRelayRefused,  ///< The relay did not try to connect; no byte of the request was sent.
  kNoPath,        ///< No connection, neither direct nor relayed; no byte of the request was sent.
  kLinkCut,       ///< As kTimeout, but this node's link to the peer is known to be cut.
  kReset,         ///< The connection failed after bytes of the request may have been sent, or the
                  ///< response head is malformed or too large.
  kStaleConnection,  ///< A reused connection failed before the first byte of the response; bytes
                     ///< may have been sent.
  kTruncated,  ///< The connection ended before the end of the response, or the chunked encoding
               ///< of the response is malformed.
  kTimeout,    ///< No complete response before the timeout, or the peer stopped acknowledging
               ///< data; bytes may have been sent.
  kTooLarge,
  kExpired,    ///< The send deadline passed before any byte was sent.
  kWithdrawn,  ///< The requester withdrew the request before any byte was sent.
  kCancelled,
};

/// Name of an error in logs.
std::string_view describe(HttpErrc code);

using HttpError = LayerError<HttpErrc>;

}  // namespace ochrespring::http
