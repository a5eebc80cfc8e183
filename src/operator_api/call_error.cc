#include "operator_api/call_error.h"

#include <utility>

namespace ochrespring::operator_api {

namespace {

CallError make_error(grpc::StatusCode code, v1::ErrorReason reason, std::string message) {
  CallError error;
  error.code = code;
  error.message = std::move(message);
  error.detail.set_reason(reason);
  return error;
}

CallError from_fleet_code(const fleet::FleetError& error) {
  using fleet::FleetErrc;
  switch (error.code) {
    case FleetErrc::kInvalid:
    case FleetErrc::kMalformed:
    case FleetErrc::kUnsupportedFormat:
      return make_error(grpc::StatusCode::INVALID_ARGUMENT, v1::ERROR_REASON_INVALID_FIELD,
                        error.message);
    case FleetErrc::kNotFound:
      return make_error(grpc::StatusCode::NOT_FOUND, v1::ERROR_REASON_NOT_FOUND, error.message);
    case FleetErrc::kAlreadyExists:
      return make_error(grpc::StatusCode::ALREADY_EXISTS, v1::ERROR_REASON_ALREADY_EXISTS,
                        error.message);
    case FleetErrc::kInUse:
      return make_error(grpc::StatusCode::FAILED_PRECONDITION, v1::ERROR_REASON_IN_USE,
                        error.message);
    case FleetErrc::kRevisionMismatch:
      return make_error(grpc::StatusCode::ABORTED, v1::ERROR_REASON_REVISION_MISMATCH,
                        error.message);
    case FleetErrc::kMutationIdReused:
      return make_error(grpc::StatusCode::ALREADY_EXISTS, v1::ERROR_REASON_MUTATION_ID_REUSED,
                        error.message);
  }
  return make_error(grpc::StatusCode::INTERNAL, v1::ERROR_REASON_UNSPECIFIED, error.message);
}

}  // namespace

CallError to_call_error(const fleet::FleetError& error) {
  CallError result = from_fleet_code(error);
  for (const fleet::FieldError& field : error.fields) {
    v1::FieldViolation& violation = *result.detail.add_violations();
    violation.set_field(field.field);
    violation.set_message(field.message);
  }
  return result;
}

CallError to_call_error(const AdminError& error) {
  switch (error.code) {
    case AdminErrc::kRefused:
      return error.refusal ? to_call_error(*error.refusal)
                           : make_error(grpc::StatusCode::FAILED_PRECONDITION,
                                        v1::ERROR_REASON_UNSPECIFIED, error.message);
    case AdminErrc::kUnavailable:
      return make_error(grpc::StatusCode::UNAVAILABLE, v1::ERROR_REASON_STORE_UNAVAILABLE,
                        error.message);
    case AdminErrc::kRateLimited:
      return make_error(grpc::StatusCode::RESOURCE_EXHAUSTED, v1::ERROR_REASON_RATE_LIMITED,
                        error.message);
    case AdminErrc::kUnknownEffect:
      return make_error(grpc::StatusCode::UNKNOWN, v1::ERROR_REASON_EFFECT_UNKNOWN, error.message);
    case AdminErrc::kNotFound:
      return make_error(grpc::StatusCode::NOT_FOUND, v1::ERROR_REASON_NOT_FOUND, error.message);
  }
  return make_error(grpc::StatusCode::INTERNAL, v1::ERROR_REASON_UNSPECIFIED, error.message);
}

CallError invalid_field(const std::string& field, const std::string& message) {
  return to_call_error(
      fleet::FleetError{fleet::FleetErrc::kInvalid, "1 field(s) are wrong", {{field, message, 0}}});
}

CallError stopping() {
  return make_error(grpc::StatusCode::UNAVAILABLE, v1::ERROR_REASON_STOPPING,
                    "the node is stopping; ask another one");
}

}  // namespace ochrespring::operator_api
