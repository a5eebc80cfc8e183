// OpenSSL contexts for the HTTP and peer layers, made from an identity.
#pragma once

#include <cstdint>
#include <memory>

#include "tls/identity.h"

struct ssl_ctx_st;

namespace ochrespring::tls {

struct ContextDeleter {
  void operator()(ssl_ctx_st* context) const;
};

/// Owned SSL_CTX.
using ContextPointer = std::unique_ptr<ssl_ctx_st, ContextDeleter>;

enum class ContextSide : std::uint8_t { kServer, kClient };

/// Whether the other side's certificate is asked for and checked against the authority.
enum class PeerVerification : std::uint8_t { kNone, kRequired };

/// Context for TLS 1.2 and later. kNoAuthority if peers are to be verified without an authority.
Result<ContextPointer, TlsError> make_context(const Identity& identity, ContextSide side,
                                              PeerVerification verification);

}  // namespace ochrespring::tls
