#include "oracle/request_checks.h"

namespace ochrespring::oracle {

void RequestChecks::on(const RunStarted& run) {
  RequestState& request = requests_[run.request];
  ++request.runs;
  reporter_.checked(Promise::kAtMostOnce);
  if (!run.idempotency_key.empty() && ++runs_by_key_[run.idempotency_key] > 1) {
    reporter_.violated(Promise::kAtMostOnce, "key " + run.idempotency_key + " ran again on " +
                                                 run.backend.value() + " as " +
                                                 run.request.value());
  } else if (!request.submitted.repeatable && request.runs > 1) {
    reporter_.violated(Promise::kAtMostOnce,
                       "request " + run.request.value() + " ran again on " + run.backend.value());
  }
  if (request.verdict == AnswerVerdict::kNotRun) {
    reporter_.violated(Promise::kTrueRefusal,
                       run.request.value() + " ran after its caller was told it had not run");
  }
  const auto leaving = leaving_since_.find(run.backend);
  if (leaving == leaving_since_.end()) {
    return;
  }
  reporter_.checked(Promise::kLeavingBackendIdle);
  if (run.sent > leaving->second + settings_.leaving_bound) {
    reporter_.violated(Promise::kLeavingBackendIdle,
                       run.backend.value() + " was sent " + run.request.value() + " " +
                           std::to_string(to_seconds(run.sent - leaving->second)) +
                           " s after it began to leave");
  }
}

void RequestChecks::on(const RunCut& cut) {
  RequestState& request = requests_[cut.request];
  (cut.cause == CutCause::kPlannedChange ? request.planned_cuts : request.fault_cuts)++;
}

void RequestChecks::on(const RequestSubmitted& request) {
  RequestState& state = requests_[request.request];
  state.submitted = request;
  state.repeats_key =
      !request.idempotency_key.empty() && !submitted_keys_.insert(request.idempotency_key).second;
}

void RequestChecks::on(const RequestEnded& end) {
  RequestState& request = requests_[end.request];
  request.verdict = end.verdict;
  check_end(request, end);
}

void RequestChecks::check_end(const RequestState& request, const RequestEnded& end) {
  const std::string& name = end.request.value();
  reporter_.checked(Promise::kNoCutByPlannedChange);
  if (end.verdict == AnswerVerdict::kUnknown && request.planned_cuts > 0 &&
      request.fault_cuts == 0) {
    reporter_.violated(Promise::kNoCutByPlannedChange, name + " was cut by an order");
  }
  if (end.verdict == AnswerVerdict::kNotRun) {
    reporter_.checked(Promise::kTrueRefusal);
    if (request.runs > 0) {
      reporter_.violated(Promise::kTrueRefusal, name + " ran, and its caller was told it had not");
    }
  }
  if (end.verdict == AnswerVerdict::kWhole) {
    reporter_.checked(Promise::kWholeAnswer);
    if (end.answer != request.submitted.expected_answer) {
      reporter_.violated(Promise::kWholeAnswer, name + " got \"" + end.answer +
                                                    "\" in place of \"" +
                                                    request.submitted.expected_answer + "\"");
    }
  } else if (settings_.expect_every_answer && end.verdict != AnswerVerdict::kGone &&
             !request.repeats_key) {
    // A repeat may come while the first is still running, and is then told so.
    reporter_.violated(Promise::kWholeAnswer, name + " got no whole answer though nothing failed");
  }
}

void RequestChecks::on(const BackendLeaving& change) {
  if (change.leaving) {
    leaving_since_.emplace(change.backend, reporter_.now());
  } else {
    leaving_since_.erase(change.backend);
  }
}

void RequestChecks::on(const NodeStopped& stop) {
  if (!stop.planned) {
    return;
  }
  reporter_.checked(Promise::kNoCutByPlannedStop);
  for (const RequestId& request : stop.open_requests) {
    reporter_.violated(Promise::kNoCutByPlannedStop,
                       request.value() + " was open when " + stop.node.value() + " stopped");
  }
}

void RequestChecks::on(const Quiescent& /*end*/) {
  for (const auto& [id, request] : requests_) {
    if (!request.verdict && !request.submitted.request.empty()) {
      reporter_.violated(Promise::kWholeAnswer, id.value() + " never ended");
    }
  }
}

}  // namespace ochrespring::oracle
