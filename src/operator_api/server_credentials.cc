#include "operator_api/server_credentials.h"

#include <grpc/grpc.h>
#include <grpc/grpc_security.h>

#include <mutex>

namespace ochrespring::operator_api {

namespace {

/// Bridges gRPC's fetcher interface, the public one that replaces certificates between
/// connections, to an identity source. The library's file watcher would also adopt files that do
/// not fit each other; the identity source has checked them.
class ReloadableCredentials final : public grpc::ServerCredentials {
 public:
  ReloadableCredentials(tls::IdentitySource& source, bool require_client_certificate)
      : source_(source) {
    const auto request = require_client_certificate
                             ? GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY
                             : GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE;
    credentials_ = grpc_ssl_server_credentials_create_with_options(
        grpc_ssl_server_credentials_create_options_using_config_fetcher(
            request, &ReloadableCredentials::fetch, this));
  }
  ~ReloadableCredentials() override { grpc_server_credentials_release(credentials_); }

  void SetAuthMetadataProcessor(
      const std::shared_ptr<grpc::AuthMetadataProcessor>& /*processor*/) override {}

 private:
  int AddPortToServer(const std::string& address, grpc_server* server) override {
    return grpc_server_add_http2_port(server, address.c_str(), credentials_);
  }

  /// Called on gRPC's threads before each handshake.
  static grpc_ssl_certificate_config_reload_status fetch(
      void* self, grpc_ssl_server_certificate_config** config) {
    return static_cast<ReloadableCredentials*>(self)->fetch_current(config);
  }

  grpc_ssl_certificate_config_reload_status fetch_current(
      grpc_ssl_server_certificate_config** config) {
    const auto identity = source_.current();
    const std::lock_guard lock(mutex_);
    if (identity == used_) {
      return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_UNCHANGED;
    }
    const grpc_ssl_pem_key_cert_pair pair{identity->private_key_pem.c_str(),
                                          identity->certificate_pem.c_str()};
    const char* authority =
        identity->authority_pem.empty() ? nullptr : identity->authority_pem.c_str();
    *config = grpc_ssl_server_certificate_config_create(authority, &pair, 1);
    used_ = identity;
    return GRPC_SSL_CERTIFICATE_CONFIG_RELOAD_NEW;
  }

  tls::IdentitySource& source_;
  grpc_server_credentials* credentials_ = nullptr;
  std::mutex mutex_;
  std::shared_ptr<const tls::Identity> used_;  ///< Guarded by mutex_.
};

}  // namespace

std::shared_ptr<grpc::ServerCredentials> make_server_credentials(tls::IdentitySource& source,
                                                                 bool require_client_certificate) {
  return std::make_shared<ReloadableCredentials>(source, require_client_certificate);
}

}  // namespace ochrespring::operator_api
