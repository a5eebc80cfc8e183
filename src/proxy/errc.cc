#include "proxy/errc.h"

namespace ochrespring::proxy {

namespace {

struct ErrorText {
  std::string_view code;
  std::uint16_t status;
};

ErrorText text_of(ProxyErrc code) {
  switch (code) {
    case ProxyErrc::kMalformedBody:
      return {"malformed-body", 400};
    case ProxyErrc::kBodyTooLarge:
      return {"body-too-large", 413};
    case ProxyErrc::kUnknownPath:
      return {"unknown-path", 404};
    case ProxyErrc::kUnknownService:
      return {"unknown-service", 404};
    case ProxyErrc::kUnknownModel:
      return {"unknown-model", 404};
    case ProxyErrc::kNoEngine:
      return {"no-engine", 503};
    case ProxyErrc::kQueueFull:
      return {"queue-full", 503};
    case ProxyErrc::kTenantLimit:
      return {"tenant-limit", 429};
    case ProxyErrc::kShed:
      return {"shed", 503};
    case ProxyErrc::kLimitsNotMet:
      return {"limits-not-met", 503};
    case ProxyErrc::kDeadline:
      return {"deadline", 504};
    case ProxyErrc::kShuttingDown:
      return {"shutting-down", 503};
    case ProxyErrc::kNoConfiguration:
      return {"no-configuration", 503};
    case ProxyErrc::kBackendRefused:
      return {"backend-refused", 503};
    case ProxyErrc::kBackendFailed:
      return {"backend-failed", 502};
    case ProxyErrc::kClaimUnavailable:
      return {"claim-unavailable", 503};
    case ProxyErrc::kKeyReused:
      return {"key-reused", 409};
    case ProxyErrc::kAlreadyRunning:
      return {"already-running", 409};
    case ProxyErrc::kOutcomeUnknown:
      return {"outcome-unknown", 409};
    case ProxyErrc::kAnswerNotKept:
      return {"answer-not-kept", 409};
  }
  return {"internal", 500};
}

}  // namespace

std::string_view error_code(ProxyErrc code) {
  return text_of(code).code;
}

std::uint16_t error_status(ProxyErrc code) {
  return text_of(code).status;
}

std::string_view outcome_name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace ochrespring::proxy
