// Errors of the HTTP layer.
#pragma once

#include <string_view>

#include "base/result.h"

namespace ochrespring::http {

enum class HttpErrc {
  kAddressInvalid,
  kAddressInUse,
  kTlsInvalid,       ///< Certificate, key or authority cannot be used.
  kConnect,          ///< No connection: no byte of the request left.
  kReset,            ///< The connection failed after bytes of the request may have left.
  kStaleConnection,  ///< A reused connection failed before any byte of an answer; bytes may have
                     ///< left.
  kTruncated,        ///< The answer ended before its proven end.
  kTimeout,          ///< After bytes of the request may have left.
  kTooLarge,
  kExpired,    ///< The time to send by had passed before a byte could leave.
  kWithdrawn,  ///< Whoever asked wanted it sent no more before a byte could leave.
  kCancelled,
};

/// Name of an error in logs.
std::string_view describe(HttpErrc code);

using HttpError = LayerError<HttpErrc>;

}  // namespace ochrespring::http
