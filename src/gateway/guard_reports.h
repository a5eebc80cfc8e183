// Reports the attempts of one request to the RequestGuard.
#pragma once

#include <optional>

#include "gateway/attempt.h"
#include "gateway/environment.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_guard.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Serves one request, on one event loop. The referenced objects must outlive it.
class GuardReports {
 public:
  /// `tenant` is null for a request without one.
  GuardReports(Environment& environment, const http::Request& request, const Tenant* tenant)
      : environment_(environment), request_(request), tenant_(tenant) {}

  /// Computed on first use, since most requests never need it.
  const RequestFingerprint& fingerprint();
  /// None if fingerprint() has not been called.
  const std::optional<RequestFingerprint>& known_fingerprint() const { return fingerprint_; }
  /// Reports an attempt that ended without an answer.
  void note_failure(const ServiceName& service, const Attempt& attempt, AttemptFailureKind kind);
  void note_answer(const Attempt& attempt);

 private:
  Environment& environment_;
  const http::Request& request_;
  const Tenant* tenant_;
  std::optional<RequestFingerprint> fingerprint_;
};

}  // namespace ochrespring::gateway
