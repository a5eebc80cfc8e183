// Errors of loading and using TLS certificates.
#pragma once

#include <cstdint>

#include "base/result.h"

namespace ochrespring::tls {

enum class TlsErrc : std::uint8_t {
  kUnreadable,   ///< A file cannot be read.
  kMalformed,    ///< A file holds no usable PEM certificate or key.
  kKeyMismatch,  ///< The private key does not belong to the certificate.
  kExpired,      ///< A certificate's time has passed.
  kNotYetValid,  ///< A certificate's time has not come.
  kNoAuthority,  ///< Peers are to be verified, and no authority was given.
};

using TlsError = LayerError<TlsErrc>;

}  // namespace ochrespring::tls
