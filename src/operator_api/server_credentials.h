// gRPC server credentials that follow an identity source: each new connection is served with the
// identity in use at that moment.
#pragma once

#include <grpcpp/security/server_credentials.h>

#include <memory>

#include "tls/identity_source.h"

namespace ochrespring::operator_api {

/// TLS credentials; with `require_client_certificate`, clients must show a certificate of the
/// identity's authority. `source` must outlive the server.
std::shared_ptr<grpc::ServerCredentials> make_server_credentials(tls::IdentitySource& source,
                                                                 bool require_client_certificate);

}  // namespace ochrespring::operator_api
