#include "gateway/guard_reports.h"

#include <utility>

namespace ochrespring::gateway {

const RequestIdentity& GuardReports::identity() {
  if (!std::exchange(fingerprint_known_, true)) {
    identity_.fingerprint =
        fingerprint_of(request_, tenant_ != nullptr ? tenant_->name.value() : "");
  }
  return identity_;
}

void GuardReports::note_failure(const ServiceName& service, const Attempt& attempt,
                                AttemptFailureKind kind) {
  RequestGuard* guard = environment_.guard;
  // Callers disconnect often, which matters only for a suspected request.
  const bool relevant =
      guard != nullptr && (kind != AttemptFailureKind::kAbandoned || guard->is_active());
  if (relevant) {
    guard->note_failure({identity(), service, attempt.backend, attempt.started, kind});
  }
}

void GuardReports::note_answer(const Attempt& attempt) {
  RequestGuard* guard = environment_.guard;
  if (guard == nullptr) {
    return;
  }
  AnsweredAttempt answered{{}, attempt.backend, attempt.started, attempt.head->status};
  if (answered.is_success() && !identity_.parts.empty()) {
    guard->note_answered_parts(identity_.parts);
  }
  if (guard->is_active()) {
    answered.request = identity();
    guard->note_answer(answered);
  }
}

}  // namespace ochrespring::gateway
