#include "gateway/guard_reports.h"

namespace ochrespring::gateway {

const RequestFingerprint& GuardReports::fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = fingerprint_of(request_, tenant_ != nullptr ? tenant_->name.value() : "");
  }
  return *fingerprint_;
}

void GuardReports::note_failure(const ServiceName& service, const Attempt& attempt,
                                AttemptFailureKind kind) {
  RequestGuard* guard = environment_.guard;
  // Callers disconnect often, which matters only for a suspected request.
  const bool relevant =
      guard != nullptr && (kind != AttemptFailureKind::kAbandoned || guard->is_active());
  if (relevant) {
    guard->note_failure({fingerprint(), service, attempt.backend, attempt.started, kind});
  }
}

void GuardReports::note_answer(const Attempt& attempt) {
  RequestGuard* guard = environment_.guard;
  if (guard != nullptr && guard->is_active()) {
    guard->note_answer({fingerprint(), attempt.backend, attempt.started});
  }
}

}  // namespace ochrespring::gateway
