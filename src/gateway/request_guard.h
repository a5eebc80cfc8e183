// Keeps requests that end the servers that run them away from further servers.
#pragma once

#include <cstdint>
#include <functional>

#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// How an attempt came to its end without an answer.
enum class AttemptFailureKind : std::uint8_t {
  kClosed,     ///< The back end closed or reset the connection.
  kSilent,     ///< Nothing came for too long.
  kAbandoned,  ///< The caller left while the back end was at work.
};

struct FailedAttempt {
  RequestFingerprint request;
  ServiceName service;
  BackendId backend;
  MonotonicTime started{};
  AttemptFailureKind kind = AttemptFailureKind::kClosed;
};

/// A back end has given a whole answer, whatever it says.
struct AnsweredAttempt {
  RequestFingerprint request;
  BackendId backend;
  MonotonicTime started{};
};

/// Whether a request may be sent to a back end now.
enum class SendVerdict : std::uint8_t {
  kAllowed,
  kRefused,   ///< Back ends have ended under it.
  kTrialDue,  ///< As kRefused, but one node may try it again, with claim_trial().
};

/// One loop.
class RequestGuard {
 public:
  virtual ~RequestGuard() = default;
  /// Whether anything is held against any request. While not, no request needs a fingerprint, and
  /// only note_break() is to be called.
  virtual bool watching() const = 0;
  /// To be asked before each send, also of a request that runs already.
  virtual SendVerdict judge(const RequestFingerprint& request) = 0;
  /// How long a refused caller is told to stay away: until the next trial may be due.
  virtual Duration retry_after(const RequestFingerprint& request) const = 0;
  /// Asks for the only send that the fleet may try now. Calls back, not inside the call.
  virtual void claim_trial(const RequestFingerprint& request,
                           std::function<void(bool granted)> done) = 0;
  virtual void note_break(const FailedAttempt& attempt) = 0;
  virtual void note_answer(const AnsweredAttempt& attempt) = 0;
};

}  // namespace ochrespring::gateway
