#include "tls/context.h"

#include <openssl/pem.h>
#include <openssl/ssl.h>

#include "tls/openssl_error.h"

namespace ochrespring::tls {

namespace {

struct BioDeleter {
  void operator()(BIO* bio) const { BIO_free(bio); }
};
using BioPointer = std::unique_ptr<BIO, BioDeleter>;

BioPointer open_memory(const std::string& text) {
  return BioPointer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

auto malformed(const char* what) {
  return fail(TlsErrc::kMalformed, std::string(what) + ": " + take_openssl_error());
}

Result<void, TlsError> use_chain(SSL_CTX* context, const std::string& pem) {
  const BioPointer bio = open_memory(pem);
  X509* leaf = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr);
  const bool used = leaf != nullptr && SSL_CTX_use_certificate(context, leaf) == 1;
  X509_free(leaf);
  if (!used) {
    return malformed("certificate");
  }
  while (X509* issuer = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) {
    if (SSL_CTX_add0_chain_cert(context, issuer) != 1) {
      X509_free(issuer);
      return malformed("certificate chain");
    }
  }
  ERR_clear_error();
  return outcome::success();
}

Result<void, TlsError> use_key(SSL_CTX* context, const std::string& pem) {
  const BioPointer bio = open_memory(pem);
  EVP_PKEY* key = PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr);
  const bool used = key != nullptr && SSL_CTX_use_PrivateKey(context, key) == 1 &&
                    SSL_CTX_check_private_key(context) == 1;
  EVP_PKEY_free(key);
  if (!used) {
    return malformed("private key");
  }
  return outcome::success();
}

Result<void, TlsError> trust(SSL_CTX* context, const std::string& pem) {
  const BioPointer bio = open_memory(pem);
  while (X509* authority = PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr)) {
    const bool added = X509_STORE_add_cert(SSL_CTX_get_cert_store(context), authority) == 1 &&
                       SSL_CTX_add_client_CA(context, authority) == 1;
    X509_free(authority);
    if (!added) {
      return malformed("authority");
    }
  }
  ERR_clear_error();
  return outcome::success();
}

}  // namespace

void ContextDeleter::operator()(ssl_ctx_st* context) const {
  SSL_CTX_free(context);
}

Result<ContextPointer, TlsError> make_context(const Identity& identity, ContextSide side,
                                              PeerVerification verification) {
  const SSL_METHOD* method =
      side == ContextSide::kServer ? TLS_server_method() : TLS_client_method();
  ContextPointer context(SSL_CTX_new(method));
  if (!context) {
    return malformed("context");
  }
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  BOOST_OUTCOME_TRY(use_chain(context.get(), identity.certificate_pem));
  BOOST_OUTCOME_TRY(use_key(context.get(), identity.private_key_pem));
  if (verification == PeerVerification::kNone) {
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_NONE, nullptr);
    return context;
  }
  if (identity.authority_pem.empty()) {
    return fail(TlsErrc::kNoAuthority, "peers are to be verified, and no authority is given");
  }
  BOOST_OUTCOME_TRY(trust(context.get(), identity.authority_pem));
  SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  return context;
}

}  // namespace ochrespring::tls
