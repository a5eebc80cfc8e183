// Failures of operators' calls as they travel: a gRPC status code, a message, and structured detail
// in trailing metadata.
#pragma once

#include <grpcpp/support/status.h>

#include <string>

#include "fleet/errc.h"
#include "ochrespring/v1/errors.pb.h"
#include "operator_api/fleet_admin.h"

namespace ochrespring::operator_api {

/// Key of the trailing metadata that holds a serialized ErrorDetail.
inline constexpr const char* kErrorDetailKey = "ochrespring-error-bin";

/// A failed call.
struct CallError {
  grpc::StatusCode code = grpc::StatusCode::INTERNAL;
  std::string message;
  v1::ErrorDetail detail;
};

/// Conversions from the layers below.
CallError to_call_error(const fleet::FleetError& error);
CallError to_call_error(const AdminError& error);

/// A request in which one field is wrong.
CallError invalid_field(const std::string& field, const std::string& message);
/// The node is stopping; another one may be asked.
CallError stopping();

}  // namespace ochrespring::operator_api
