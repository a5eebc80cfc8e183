// TLS identities from PEM files.
#pragma once

#include <openssl/ssl.h>

#include <memory>

#include "base/result.h"
#include "http/errc.h"
#include "http/server.h"

namespace ochrespring::http {

struct TlsContextDeleter {
  void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
};

/// Reference-counted by OpenSSL: connections keep the context they were opened with.
using TlsContext = std::unique_ptr<SSL_CTX, TlsContextDeleter>;

/// Loads a server's identity. Fails with kTlsInvalid if a file is unreadable, the key does not
/// match the certificate, or the certificate is expired or not yet valid. The message names the
/// file and the reason.
Result<TlsContext, HttpError> load_server_tls(const TlsFiles& files);

}  // namespace ochrespring::http
