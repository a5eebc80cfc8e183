// Interface that keeps requests that crash back ends away from further back ends.
#pragma once

#include <cstdint>
#include <functional>

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// How an attempt ended without an answer.
enum class AttemptFailureKind : std::uint8_t {
  kClosed,        ///< The back end closed or reset the connection.
  kUnresponsive,  ///< Nothing was received for too long.
  kAbandoned,     ///< The caller or this node ended the request during the attempt.
};

struct FailedAttempt {
  RequestFingerprint request;
  ServiceName service;
  BackendId backend;
  MonotonicTime started{};
  AttemptFailureKind kind = AttemptFailureKind::kClosed;
};

/// An attempt with a complete answer, whatever its status.
struct AnsweredAttempt {
  RequestFingerprint request;
  BackendId backend;
  MonotonicTime started{};
};

/// Whether a request may be sent to a back end now.
enum class SendVerdict : std::uint8_t {
  kAllowed,
  kRefused,   ///< Back ends have terminated while running it.
  kTrialDue,  ///< As kRefused, but one node may try it again after claim_trial().
};

/// Used on one event loop.
class RequestGuard {
 public:
  virtual ~RequestGuard() = default;
  /// Whether any request is currently suspected. While none is, requests need no fingerprint and
  /// only note_failure() may be called.
  virtual bool is_active() const = 0;
  /// Must be called before each send, including later sends of the same request.
  virtual SendVerdict check(const RequestFingerprint& request) = 0;
  /// Retry-After for a refused caller: the time until the next trial may be due.
  virtual Duration retry_after(const RequestFingerprint& request) const = 0;
  /// Claims the only trial that the fleet may send now. `done` is called later, never from within
  /// this call.
  virtual void claim_trial(const RequestFingerprint& request,
                           std::function<void(bool granted)> done) = 0;
  virtual void note_failure(const FailedAttempt& attempt) = 0;
  virtual void note_answer(const AnsweredAttempt& attempt) = 0;
};

}  // namespace ochrespring::gateway
