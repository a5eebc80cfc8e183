// What the guard of requests is told of one request's attempts.
#pragma once

#include <optional>

#include "gateway/attempt.h"
#include "gateway/environment.h"
#include "gateway/request_fingerprint.h"
#include "gateway/request_guard.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// One request's; one loop. References outlive it.
class GuardReports {
 public:
  /// `tenant`: null if nobody's.
  GuardReports(Environment& environment, const http::Request& request, const Tenant* tenant)
      : environment_(environment), request_(request), tenant_(tenant) {}

  /// Made when it is first asked for: most requests never need it.
  const RequestFingerprint& fingerprint();
  /// None: nobody has asked for it.
  const std::optional<RequestFingerprint>& known_fingerprint() const { return fingerprint_; }
  /// Tells what an attempt that ends without an answer may say of the request, or of the back end.
  void note_break(const ServiceName& service, const Attempt& attempt, AttemptFailureKind kind);
  void note_answer(const Attempt& attempt);

 private:
  Environment& environment_;
  const http::Request& request_;
  const Tenant* tenant_;
  std::optional<RequestFingerprint> fingerprint_;
};

}  // namespace ochrespring::gateway
