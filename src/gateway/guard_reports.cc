#include "gateway/guard_reports.h"

namespace ochrespring::gateway {

const RequestFingerprint& GuardReports::fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = fingerprint_of(request_, tenant_ != nullptr ? tenant_->name.value() : "");
  }
  return *fingerprint_;
}

void GuardReports::note_break(const ServiceName& service, const Attempt& attempt,
                              AttemptFailureKind kind) {
  RequestGuard* guard = environment_.guard;
  // Callers that leave are many, and tell something only of a request that is suspected.
  const bool tells =
      guard != nullptr && (kind != AttemptFailureKind::kAbandoned || guard->watching());
  if (tells) {
    guard->note_break({fingerprint(), service, attempt.backend, attempt.started, kind});
  }
}

void GuardReports::note_answer(const Attempt& attempt) {
  RequestGuard* guard = environment_.guard;
  if (guard != nullptr && guard->watching()) {
    guard->note_answer({fingerprint(), attempt.backend, attempt.started});
  }
}

}  // namespace ochrespring::gateway
