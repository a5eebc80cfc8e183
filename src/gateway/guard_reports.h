// Reports the attempts of one request to the RequestGuard.
#pragma once

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

  /// Sets the parts that the request shares with others. Called once, when its service is known.
  void set_prompt(const ServiceName& service, const Prompt& prompt) {
    identity_.parts = fingerprints_of_parts(service, prompt);
  }
  /// The fingerprint is computed on first use, since most requests never need it.
  const RequestIdentity& identity();
  /// Null if identity() has not been called.
  const RequestFingerprint* known_fingerprint() const {
    return fingerprint_known_ ? &identity_.fingerprint : nullptr;
  }
  /// Reports an attempt that ended without an answer.
  void note_failure(const ServiceName& service, const Attempt& attempt, AttemptFailureKind kind);
  /// Reports an attempt with a complete answer, not that of a prefill call.
  void note_answer(const Attempt& attempt);

 private:
  Environment& environment_;
  const http::Request& request_;
  const Tenant* tenant_;
  RequestIdentity identity_;
  bool fingerprint_known_ = false;
};

}  // namespace ochrespring::gateway
