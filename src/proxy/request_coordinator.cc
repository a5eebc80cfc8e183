#include "proxy/request_coordinator.h"

#include <algorithm>
#include <utility>

#include "statechart/chart_library.h"

namespace ochrespring::proxy {

namespace {

using Event = RequestCoordinator::Chart::Event;
using Guard = RequestCoordinator::Chart::Guard;
using Action = RequestCoordinator::Chart::Action;
using State = RequestCoordinator::Chart::State;

ProxyError describe(router::RefusalReason reason) {
  switch (reason) {
    case router::RefusalReason::kUnknownService:
      return {ProxyErrc::kUnknownService, "no back end belongs to this service"};
    case router::RefusalReason::kUnknownModel:
      return {ProxyErrc::kUnknownModel, "no engine runs this model"};
    case router::RefusalReason::kQueueFull:
      return {ProxyErrc::kQueueFull, "too many requests wait"};
    case router::RefusalReason::kTenantLimit:
      return {ProxyErrc::kTenantLimit, "the tenant's limit is reached"};
    case router::RefusalReason::kLimitsNotMet:
      return {ProxyErrc::kLimitsNotMet, "the service's limits could not be met now"};
    case router::RefusalReason::kDeadline:
      return {ProxyErrc::kDeadline, "the deadline cannot be met"};
    case router::RefusalReason::kNone:
    case router::RefusalReason::kNoEngine:
      break;
  }
  return {ProxyErrc::kNoEngine, "no engine can take the request"};
}

}  // namespace

RequestCoordinator::RequestCoordinator(RequestContext& context, RequestTicket ticket,
                                       ParsedRequest request, std::unique_ptr<CallerStream> caller)
    : context_(context),
      ticket_(ticket),
      request_(std::move(request)),
      relay_(request_.kind, request_.route.id, request_.caller_id, std::move(caller)),
      attempt_(context, *this),
      claim_(context.environment.claims),
      machine_(statechart::ChartLibrary::built_in().request_attempt),
      deadline_(context.environment.timers),
      retry_(context.environment.timers) {}

RequestCoordinator::~RequestCoordinator() = default;

void RequestCoordinator::start() {
  machine_.start(*this);
  const Duration left = request_.route.deadline - context_.environment.clock.now();
  deadline_.arm(left, [this] { on_deadline(); });
  route();
}

void RequestCoordinator::post(Event event) {
  machine_.post(event, *this);
  while (const auto next = std::exchange(posted_by_action_, std::nullopt)) {
    machine_.post(*next, *this);
  }
  if (machine_.finished()) {
    finish();
  }
}

bool RequestCoordinator::evaluate(Guard guard) {
  switch (guard) {
    case Guard::kNeedsClaim:
      return RequestClaim::needed(request_) && !claim_.held();
    case Guard::kRetryAllowed:
      return allow_retry();
    case Guard::kRepeatable:
      return request_.repeatable;
    case Guard::kResumable:
      return request_.repeatable && relay_.resumable();
    case Guard::kMaybeRan:
      return maybe_ran_;
  }
  return false;
}

void RequestCoordinator::run(Action action) {
  switch (action) {
    case Action::kRequestClaim:
      return request_claim();
    case Action::kStartAttempt:
      return start_attempt();
    case Action::kCancelAttempt:
      maybe_ran_ = maybe_ran_ || attempt_.running();
      return end_attempt();
    case Action::kForwardHead:
      return note_first_answer();
    case Action::kScheduleRetry:
      return schedule_retry();
    case Action::kRecordAnswer:
      return claim_.record_answer(relay_);
    case Action::kRecordUnknown:
      return claim_.record_unknown();
    case Action::kReleaseClaim:
      return claim_.release();
    case Action::kReplayRecorded:
      return replay_recorded();
    case Action::kFinishAnswer:
      return relay_.finish();
    case Action::kSendRefusal:
      return relay_.fail(error_, Outcome::kNotRun);
    case Action::kSendUnknown:
      return relay_.fail(error_, Outcome::kUnknown);
    case Action::kAbortAnswer:
      return;  // fail() cuts what has begun.
  }
}

void RequestCoordinator::route() {
  const MonotonicTime now = context_.environment.clock.now();
  request_.route.excluded = failed_engines_;
  const std::vector<EngineId> blocked = context_.breakers.blocked(now);
  auto& excluded = request_.route.excluded;
  excluded.insert(excluded.end(), blocked.begin(), blocked.end());
  router::RouteDecision decision = context_.environment.router.route(request_.route, now);
  const bool only_excluded = decision.verdict == router::RouteVerdict::kRefuse &&
                             decision.reason == router::RefusalReason::kNoEngine &&
                             !excluded.empty();
  if (only_excluded) {
    decision.verdict = router::RouteVerdict::kWait;
  }
  switch (decision.verdict) {
    case router::RouteVerdict::kDispatch:
      return choose(std::move(decision));
    case router::RouteVerdict::kWait:
      // An engine that failed may have recovered when no other is left.
      if (only_excluded) {
        failed_engines_.clear();
      }
      return on_no_engine_now();
    case router::RouteVerdict::kRefuse:
      return on_router_refused(decision.reason);
  }
}

void RequestCoordinator::choose(router::RouteDecision decision) {
  decision_ = std::move(decision);
  if (std::exchange(waiting_, false)) {
    context_.owner.stop_waiting(ticket_);
  }
  context_.remember({request_.caller_id, request_.route.id, request_.route.service,
                     request_.route.model, context_.environment.clock.now(), attempts_, decision_});
  post(Event::kEngineChosen);
}

void RequestCoordinator::on_no_engine_now() {
  if (waiting_) {
    return;
  }
  if (attempts_ != 0) {
    // Its turn has come before; it does not queue up again.
    retry_.arm(context_.settings.queue_poll, [this] { route(); });
    return;
  }
  waiting_ = true;
  if (context_.owner.wait_for_engine(ticket_)) {
    ++context_.statistics.queued;
    return;
  }
  waiting_ = false;
  refuse({ProxyErrc::kQueueFull, "too many requests wait"});
}

void RequestCoordinator::on_router_refused(router::RefusalReason reason) {
  refuse(describe(reason));
}

bool RequestCoordinator::route_waiting() {
  route();
  return waiting_;
}

void RequestCoordinator::refuse(ProxyError error) {
  error_ = std::move(error);
  if (std::exchange(waiting_, false)) {
    context_.owner.stop_waiting(ticket_);
  }
  post(Event::kRefused);
}

void RequestCoordinator::request_claim() {
  ++context_.statistics.claims;
  claim_.request(request_, [this](const ledger::ClaimResult& result) { on_claim_result(result); });
}

void RequestCoordinator::on_claim_result(const ledger::ClaimResult& result) {
  claim_result_ = result;
  if (machine_.finished()) {
    claim_.release();
    return;
  }
  switch (result.verdict) {
    case ledger::ClaimVerdict::kGranted:
      return post(Event::kClaimGranted);
    case ledger::ClaimVerdict::kRepeated:
      ++context_.statistics.repeats;
      return post(Event::kClaimRepeated);
    case ledger::ClaimVerdict::kKeyReused:
      error_ = {ProxyErrc::kKeyReused, "the idempotency key was used for another request"};
      return post(Event::kClaimUnavailable);
    case ledger::ClaimVerdict::kUnavailable:
      error_ = {ProxyErrc::kClaimUnavailable, "the request could not be claimed by a majority"};
      return post(Event::kClaimUnavailable);
  }
}

void RequestCoordinator::replay_recorded() {
  const ledger::RecordedOutcome& recorded = claim_result_.outcome;
  switch (recorded.state) {
    case ledger::RecordedState::kAnswered:
      if (recorded.body_kept) {
        return relay_.replay(recorded.status, recorded.content_type, recorded.body);
      }
      return relay_.fail({ProxyErrc::kAnswerNotKept, "answered before; the answer was not kept"},
                         Outcome::kAnswered);
    case ledger::RecordedState::kRunning:
      return relay_.fail({ProxyErrc::kAlreadyRunning, "a request with this key runs now"},
                         Outcome::kUnknown);
    case ledger::RecordedState::kUnknown:
      return relay_.fail({ProxyErrc::kOutcomeUnknown, "sent before, and no answer came"},
                         Outcome::kUnknown);
  }
}

void RequestCoordinator::start_attempt() {
  const MonotonicTime now = context_.environment.clock.now();
  if (attempts_++ != 0) {
    ++context_.statistics.retries;
  }
  if (relay_.delivered_tokens() != 0) {
    ++context_.statistics.resumed_streams;
  }
  relay_.begin_attempt();
  attempt_started_ = now;
  first_answer_seen_ = false;
  context_.environment.router.on_dispatched(request_.route, decision_, now);
  const auto fault =
      attempt_.start(request_, decision_, relay_.delivered_tokens(), claim_.valid_until());
  reading_paused_ = false;
  if (!fault) {
    return;
  }
  end_attempt();
  fault_is_planned_ = fault->planned;
  failed_engines_.push_back(fault->engine);
  error_ = {ProxyErrc::kBackendRefused, fault->reason};
  post_from_action(Event::kFailedNotRun);
}

void RequestCoordinator::on_answer_head(const BackendResponseHead& head) {
  relay_.on_head(head);
  post(Event::kHeadReceived);
}

void RequestCoordinator::note_first_answer() {}

void RequestCoordinator::on_answer_body(std::string_view bytes) {
  const std::uint64_t before = relay_.delivered_tokens();
  const RelayVerdict verdict = relay_.on_body(bytes);
  const MonotonicTime now = context_.environment.clock.now();
  context_.statistics.tokens += relay_.delivered_tokens() - before;
  if (!std::exchange(first_answer_seen_, true)) {
    context_.environment.router.on_first_token(request_.route.id, now - attempt_started_, now);
  }
  if (verdict == RelayVerdict::kGood) {
    apply_back_pressure();
    return;
  }
  const bool crossed = verdict == RelayVerdict::kCrossed;
  ++(crossed ? context_.statistics.crossed_answers : context_.statistics.truncated_answers);
  attempt_.reject();
  fail_attempt({.failure = crossed ? AttemptFailure::kCrossed : AttemptFailure::kTruncated,
                .engine = decision_.engine,
                .reason = "the answer was broken"});
}

void RequestCoordinator::on_answer_complete() {
  if (!relay_.whole()) {
    ++context_.statistics.truncated_answers;
    fail_attempt({.failure = AttemptFailure::kTruncated,
                  .engine = decision_.engine,
                  .reason = "the stream ended before its terminal event"});
    return;
  }
  end_attempt();
  post(Event::kCompleted);
}

void RequestCoordinator::on_attempt_failed(const AttemptFault& fault) {
  // The terminal event proves the stream, however its connection ends.
  const bool proven = machine_.in(State::kStreaming) && request_.kind == AnswerKind::kTokenStream &&
                      relay_.whole() && relay_.delivered_tokens() != 0;
  if (proven) {
    end_attempt();
    post(Event::kCompleted);
    return;
  }
  fail_attempt(fault);
}

void RequestCoordinator::fail_attempt(const AttemptFault& fault) {
  end_attempt();
  const bool not_run = fault.outcome == Outcome::kNotRun;
  maybe_ran_ = maybe_ran_ || !not_run;
  fault_is_planned_ = fault.planned;
  fault_is_permanent_ = fault.permanent;
  failed_engines_.push_back(fault.engine);
  error_ = {fault.permanent          ? ProxyErrc::kMalformedBody
            : not_run && !maybe_ran_ ? ProxyErrc::kBackendRefused
                                     : ProxyErrc::kBackendFailed,
            fault.reason};
  post(not_run ? Event::kFailedNotRun : Event::kFailedUnknown);
}

/// Whatever ends an attempt: cancels it if it runs, and tells the router once.
void RequestCoordinator::end_attempt() {
  attempt_.cancel();
  context_.environment.router.on_finished(request_.route.id,
                                          static_cast<std::uint32_t>(relay_.delivered_tokens()),
                                          context_.environment.clock.now());
  context_.owner.on_capacity_freed();
}

bool RequestCoordinator::allow_retry() {
  if (!caller_present_ && !claim_.held()) {
    return false;
  }
  if (fault_is_permanent_) {
    return false;
  }
  if (fault_is_planned_) {
    return true;
  }
  if (attempts_ >= context_.settings.most_attempts) {
    return false;
  }
  if (context_.retry_budget.withdraw()) {
    return true;
  }
  ++context_.statistics.retries_denied;
  return false;
}

void RequestCoordinator::schedule_retry() {
  const bool first_planned = fault_is_planned_ && attempts_ <= context_.settings.most_attempts;
  const Duration delay = first_planned ? Duration::zero()
                                       : backoff_delay(context_.settings.backoff, attempts_ - 1,
                                                       context_.environment.random);
  retry_.arm(delay, [this] {
    post(Event::kRetryDue);
    route();
  });
}

void RequestCoordinator::on_deadline() {
  error_ = {ProxyErrc::kDeadline, "the deadline passed"};
  if (std::exchange(waiting_, false)) {
    context_.owner.stop_waiting(ticket_);
  }
  post(Event::kDeadlinePassed);
}

void RequestCoordinator::on_caller_gone() {
  caller_present_ = false;
  relay_.detach();
  const bool sent = machine_.in(State::kWaiting) || machine_.in(State::kStreaming);
  // A request that may not be repeated goes on, so that its outcome can be recorded.
  if (sent && claim_.held()) {
    apply_back_pressure();
    return;
  }
  if (std::exchange(waiting_, false)) {
    context_.owner.stop_waiting(ticket_);
  }
  post(Event::kCallerGone);
}

void RequestCoordinator::on_caller_drained() {
  apply_back_pressure();
}

void RequestCoordinator::apply_back_pressure() {
  const bool pause = relay_.caller_buffered_bytes() > context_.settings.caller_buffer_bytes;
  if (pause == reading_paused_) {
    return;
  }
  if (!pause && relay_.caller_buffered_bytes() != 0) {
    return;
  }
  reading_paused_ = pause;
  attempt_.set_reading(!pause);
}

const EngineId* RequestCoordinator::running_on() const {
  return attempt_.running() ? &attempt_.engine() : nullptr;
}

void RequestCoordinator::move_off(const EngineId& engine) {
  const EngineId* running = running_on();
  if (running == nullptr || *running != engine) {
    return;
  }
  if (!request_.repeatable || !relay_.resumable()) {
    return;
  }
  router::RouteRequest elsewhere = request_.route;
  elsewhere.excluded.push_back(engine);
  const auto decision =
      context_.environment.router.route(elsewhere, context_.environment.clock.now());
  if (decision.verdict != router::RouteVerdict::kDispatch) {
    return;
  }
  ++context_.statistics.moved_streams;
  attempt_.retire_as_source();
  fail_attempt({.failure = AttemptFailure::kCancelled,
                .engine = engine,
                .planned = true,
                .reason = "the engine is to change"});
}

void RequestCoordinator::finish() {
  if (std::exchange(reported_, true)) {
    return;
  }
  deadline_.disarm();
  retry_.disarm();
  attempt_.release_source();
  count_outcome();
  context_.owner.on_request_finished(ticket_);
}

void RequestCoordinator::count_outcome() {
  Statistics& statistics = context_.statistics;
  switch (machine_.state()) {
    case State::kAnswered:
      ++statistics.answered;
      return;
    case State::kNotRun:
      ++statistics.not_run;
      return;
    case State::kUnknown:
      ++statistics.unknown;
      return;
    default:
      ++statistics.cancelled;
      return;
  }
}

}  // namespace ochrespring::proxy
