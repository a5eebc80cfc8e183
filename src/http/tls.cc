#include "http/tls.h"

#include <openssl/err.h>
#include <openssl/x509.h>

#include <array>
#include <string>

#include "http/h2o_api.h"

namespace ochrespring::http {

namespace {

auto tls_failure(const std::string& what) {
  std::array<char, 256> reason{};
  const unsigned long code = ERR_get_error();
  ERR_clear_error();
  if (code == 0) {
    return fail(HttpErrc::kTlsInvalid, what);
  }
  ERR_error_string_n(code, reason.data(), reason.size());
  return fail(HttpErrc::kTlsInvalid, what + ": " + reason.data());
}

Result<void, HttpError> check_validity(SSL_CTX* context, const std::string& file) {
  const X509* certificate = SSL_CTX_get0_certificate(context);
  if (certificate == nullptr) {
    return tls_failure("no certificate in " + file);
  }
  if (X509_cmp_current_time(X509_get0_notAfter(certificate)) < 0) {
    return tls_failure("the certificate in " + file + " has expired");
  }
  if (X509_cmp_current_time(X509_get0_notBefore(certificate)) > 0) {
    return tls_failure("the certificate in " + file + " is not valid yet");
  }
  return outcome::success();
}

Result<void, HttpError> require_peer_certificate(SSL_CTX* context, const std::string& file) {
  if (SSL_CTX_load_verify_locations(context, file.c_str(), nullptr) != 1) {
    return tls_failure("cannot use the authority in " + file);
  }
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
  return outcome::success();
}

}  // namespace

Result<TlsContext, HttpError> load_server_tls(const TlsFiles& files) {
  TlsContext context(SSL_CTX_new(TLS_server_method()));
  if (!context) {
    return tls_failure("cannot create a TLS context");
  }
  SSL_CTX_set_min_proto_version(context.get(), TLS1_2_VERSION);
  SSL_CTX_set_session_cache_mode(context.get(), SSL_SESS_CACHE_OFF);
  if (SSL_CTX_use_certificate_chain_file(context.get(), files.certificate.c_str()) != 1) {
    return tls_failure("cannot use the certificate in " + files.certificate);
  }
  if (SSL_CTX_use_PrivateKey_file(context.get(), files.key.c_str(), SSL_FILETYPE_PEM) != 1) {
    return tls_failure("cannot use the key in " + files.key);
  }
  if (SSL_CTX_check_private_key(context.get()) != 1) {
    return tls_failure("the key in " + files.key + " does not belong to " + files.certificate);
  }
  BOOST_OUTCOME_TRY(check_validity(context.get(), files.certificate));
  if (!files.authority.empty()) {
    BOOST_OUTCOME_TRY(require_peer_certificate(context.get(), files.authority));
  }
  h2o_ssl_register_alpn_protocols(context.get(), h2o_http2_alpn_protocols);
  return context;
}

}  // namespace ochrespring::http
