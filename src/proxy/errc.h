// Why a request was not answered by a back end: stable codes for callers.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/result.h"
#include "proxy/backend.h"

namespace ochrespring::proxy {

enum class ProxyErrc : std::uint8_t {
  kMalformedBody,
  kBodyTooLarge,
  kUnknownPath,
  kUnknownService,
  kUnknownModel,
  kNoEngine,
  kQueueFull,
  kTenantLimit,
  kShed,          ///< Gave way to a request of higher priority.
  kLimitsNotMet,  ///< Predicted to miss its service's limits.
  kDeadline,
  kShuttingDown,
  kNoConfiguration,   ///< The node has no fleet configuration yet.
  kBackendRefused,    ///< Every back end tried said "not run", or could not be reached.
  kBackendFailed,     ///< The request may have run.
  kClaimUnavailable,  ///< No majority for the claim of a request that may not be repeated.
  kKeyReused,         ///< The idempotency key was used with another body.
  kAlreadyRunning,    ///< A request with this key runs now.
  kOutcomeUnknown,    ///< A request with this key was sent, and its answer never came.
  kAnswerNotKept,     ///< A request with this key was answered; its answer was too large to keep.
};

using ProxyError = LayerError<ProxyErrc>;

/// Code in the JSON error body, such as "queue-full".
std::string_view error_code(ProxyErrc code);
/// HTTP status an error is answered with.
std::uint16_t error_status(ProxyErrc code);
/// Value of the x-ochrespring-outcome header.
std::string_view outcome_name(Outcome outcome);

}  // namespace ochrespring::proxy
