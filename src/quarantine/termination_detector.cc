#include "quarantine/termination_detector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ochrespring::quarantine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Delay from a broken connection to the probe: a terminating process closes its connections and
/// its listener one after the other.
constexpr Duration kProbeDelay = milliseconds(30);
/// Time for which an unanswered probe waits for the fleet view. Longer than it takes until the
/// entry of a terminated back end is removed: three missed heartbeats (1.2 s each as deployed) and
/// the next poll of the store (up to 1.5 s later if none fails).
constexpr Duration kInvestigationTimeout = seconds(10);
/// For this long after an accepted probe, attempts that failed without a closed connection do not
/// cause another one: under load many requests reach their deadlines.
constexpr Duration kProbeSuppression = seconds(1);
/// Bounds the memory of an investigation; further attempts are not reported.
constexpr std::size_t kMaxAttemptsPerInvestigation = 512;

}  // namespace

TerminationDetector::TerminationDetector(const Clock& clock, TimerService& timers,
                                         const gateway::FleetState& fleet, Probe probe,
                                         OnTerminated on_terminated)
    : clock_(clock),
      timers_(timers),
      fleet_(fleet),
      probe_(std::move(probe)),
      on_terminated_(std::move(on_terminated)) {}

void TerminationDetector::note_failed_attempt(const gateway::FailedAttempt& attempt) {
  const auto known = terminated_at_.find(attempt.backend);
  if (known != terminated_at_.end()) {
    // An attempt that started after the termination was found cannot have caused it; it failed on a
    // pooled connection from before.
    if (attempt.started < known->second) {
      on_terminated_(attempt.backend, {attempt});
    }
    return;
  }
  const gateway::Backend* backend = fleet_.find(attempt.backend);
  if (backend == nullptr || fleet_.is_leaving(*backend)) {
    return;
  }
  const auto accepted = accepted_at_.find(attempt.backend);
  if (attempt.kind != gateway::AttemptFailureKind::kClosed && accepted != accepted_at_.end() &&
      clock_.now() - accepted->second < kProbeSuppression) {
    return;
  }
  std::unique_ptr<Investigation>& investigation = investigations_[attempt.backend];
  if (investigation == nullptr) {
    investigation = std::make_unique<Investigation>(timers_);
    investigation->address = backend->address;
    investigation->timer.arm(kProbeDelay, [this, id = attempt.backend] { probe(id); });
  }
  if (investigation->attempts.size() < kMaxAttemptsPerInvestigation) {
    investigation->attempts.push_back(attempt);
  }
}

void TerminationDetector::probe(const gateway::BackendId& backend) {
  Investigation& investigation = *investigations_.at(backend);
  investigation.probed = true;
  investigation.timer.arm(kInvestigationTimeout,
                          [this, backend] { investigations_.erase(backend); });
  ++probes_;
  probe_(investigation.address,
         [this, backend](http::ProbeResult result) { handle_probe_result(backend, result); });
}

void TerminationDetector::handle_probe_result(const gateway::BackendId& backend,
                                              http::ProbeResult result) {
  if (!investigations_.contains(backend)) {
    return;
  }
  switch (result) {
    case http::ProbeResult::kAccepted:
      investigations_.erase(backend);
      drop_old_results();
      accepted_at_[backend] = clock_.now();
      return;
    case http::ProbeResult::kRefused:
      resolve_as_terminated(backend);
      return;
    case http::ProbeResult::kNoAnswer:
      return;
  }
}

void TerminationDetector::note_backend_removed(const gateway::Backend& backend) {
  if (fleet_.is_leaving(backend)) {
    investigations_.erase(backend.id);
  } else if (investigations_.contains(backend.id)) {
    resolve_as_terminated(backend.id);
  }
}

void TerminationDetector::resolve_as_terminated(const gateway::BackendId& backend) {
  const std::unique_ptr<Investigation> investigation =
      std::move(investigations_.extract(backend).mapped());
  drop_old_results();
  terminated_at_[backend] = clock_.now();
  on_terminated_(backend, investigation->attempts);
}

void TerminationDetector::drop_old_results() {
  const MonotonicTime now = clock_.now();
  for (auto* times : {&terminated_at_, &accepted_at_}) {
    std::erase_if(*times,
                  [&](const auto& entry) { return now - entry.second > kInvestigationTimeout; });
  }
}

CrashLedger::BackendIds TerminationDetector::suspected_terminations(
    const gateway::RequestFingerprint& request) const {
  CrashLedger::BackendIds backends;
  for (const auto& [backend, investigation] : investigations_) {
    const bool affected =
        std::any_of(investigation->attempts.begin(), investigation->attempts.end(),
                    [&](const gateway::FailedAttempt& attempt) {
                      return attempt.request.fingerprint == request &&
                             attempt.kind == gateway::AttemptFailureKind::kClosed;
                    });
    if (affected) {
      backends.insert(backend);
    }
  }
  return backends;
}

}  // namespace ochrespring::quarantine
