#include "operator_api/unary_call.h"

#include <grpc/grpc_security_constants.h>

namespace ochrespring::operator_api {

grpc::Status to_status(const CallError& error, grpc::CallbackServerContext& context) {
  context.AddTrailingMetadata(kErrorDetailKey, error.detail.SerializeAsString());
  return {error.code, error.message};
}

Caller caller_of(const grpc::CallbackServerContext& context) {
  Caller caller;
  const auto authentication = context.auth_context();
  if (authentication == nullptr || !authentication->IsPeerAuthenticated()) {
    return caller;
  }
  const auto names = authentication->FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
  if (!names.empty()) {
    caller.certificate_name = std::string(names.front().data(), names.front().size());
  }
  return caller;
}

}  // namespace ochrespring::operator_api
