#include "gateway/request_session.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "gateway/progress_timeout.h"

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxUnreachableAttempts = 4;
/// Retry-After of a request that did not run, as a fraction of the route's target latency.
constexpr double kRetryAfterLatencyRatio = 0.15;
/// Reading from the back end stops while more bytes than this wait for the caller.
constexpr std::size_t kMaxCallerBufferBytes = 64U << 10U;
/// An answer that is larger is not held until it is complete: a success is forwarded as it arrives,
/// any other fails. A back end may send bytes without end.
constexpr std::size_t kMaxHeldBody = 1U << 20U;
/// Maximum size of the answer to a prefill call, which names a cache handle.
constexpr std::size_t kMaxPrefillAnswer = 64U << 10U;
/// Maximum size of one event of a stream.
constexpr std::size_t kMaxEvent = 1U << 20U;
/// Maximum size of a stream's comments and of events that the caller already has.
constexpr std::size_t kMaxEmptyEventBytes = 8U << 20U;
/// How long a stream whose connection broke may wait until its run is shown to have ended. Callers
/// give up a stream that pauses for two seconds.
constexpr Duration kMaxRunCheck = milliseconds(1200);

std::int64_t to_milliseconds(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

bool is_success(std::uint16_t status) {
  return status >= 200 && status < 300;
}

}  // namespace

RequestSession::RequestSession(Environment& environment, std::shared_ptr<const RouteTable> routes,
                               const Admission& admission, IncomingRequest incoming)
    : environment_(environment),
      routes_(std::move(routes)),
      route_(*admission.route),
      tenant_(admission.key.tenant),
      log_(environment.clock, environment.logger, route_, tenant_),
      request_(std::move(incoming.request)),
      answer_(environment.clock, environment.statistics, std::move(incoming.writer),
              incoming.arrived),
      arrived_(incoming.arrived),
      deadline_timer_(environment.timers),
      progress_timer_(environment.timers),
      cache_(environment),
      backup_(environment.fleet, environment.loads),
      continuation_(environment, route_, request_, tenant_),
      starter_(environment, cache_, backup_),
      retry_limit_(environment, route_, log_),
      attempts_({.environment = environment,
                 .log = log_,
                 .retry_limit = retry_limit_,
                 .cache = cache_,
                 .backup = backup_}),
      reports_(environment, request_, tenant_),
      dispatch_(std::make_shared<RequestDispatch>(environment, *this)) {}

void RequestSession::begin(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  const HeaderNames& names = environment_.names;
  const MonotonicTime now = environment_.clock.now();
  id_ = http::find_header(request_.headers, names.request_id);
  log_.begin(id_, arrived_);
  const auto max_ms = static_cast<std::uint64_t>(to_milliseconds(route_.timeout));
  const std::string_view requested_ms = http::find_header(request_.headers, names.deadline);
  deadline_ =
      arrived_ + milliseconds(std::min(max_ms, http::parse_number(requested_ms).value_or(max_ms)));
  if (routes_->has_tenants()) {
    std::erase_if(request_.headers,
                  [&](const http::Header& header) { return header.name == names.credentials; });
  }
  if (!continuation_.is_taken_up()) {
    select_service(environment_.shares.pick(route_));
  }
  answer_.writer()->on_closed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->on_caller_disconnected();
    }
  });
  answer_.writer()->on_drained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->attempts_.is_current_open()) {
      self->current().exchange->set_reading(true);
    }
  });
  if (environment_.shutdown_time && deadline_ > *environment_.shutdown_time) {
    fail(FailureReason::kStopping);
    return;
  }
  deadline_timer_.arm(deadline_ - now, [this] { on_deadline(); });
  if (continuation_.is_taken_up()) {
    take_up_stream();
  } else {
    dispatch_->begin();
  }
}

void RequestSession::select_service(ServiceName name) {
  service_ = std::move(name);
  const Service* service = routes_->configuration().find_service(service_);
  if (service != nullptr && service->engine) {
    prompt_ = parse_prompt(http::find_header(request_.headers, environment_.names.prompt_parts),
                           http::find_header(request_.headers, environment_.names.token_counts),
                           http::find_header(request_.headers, environment_.names.output_estimate));
    reports_.set_prompt(service_, *prompt_);
    if (wants_backup(route_, &*service->engine, &*prompt_, id_,
                     environment_.replicate_retryable_streams)) {
      backup_.enable(id_, environment_.gate);
    }
  }
  environment_.budget.note_request(service_, environment_.clock.now());
  attempts_.set_request(service_, prompt_ ? &*prompt_ : nullptr);
  retry_limit_.begin(service_);
}

void RequestSession::take_up_stream() {
  ++environment_.statistics.streams_taken_up;
  last_event_ =
      http::parse_number(http::find_header(request_.headers, environment_.names.last_event))
          .value_or(0);
  if (environment_.streams == nullptr) {
    on_stream_found({});
    return;
  }
  environment_.streams->find(continuation_.query(routes_, arrived_),
                             [weak = weak_from_this()](const StreamOrigin& origin) {
                               const auto self = weak.lock();
                               if (self && !self->ended_) {
                                 self->on_stream_found(origin);
                               }
                             });
}

void RequestSession::on_stream_found(const StreamOrigin& origin) {
  note("stream taken up", describe(origin.evidence));
  if (!origin.software) {
    fail(continuation_.unknown_reason(origin.evidence));
    return;
  }
  continuation_.set_software(*origin.software);
  const std::optional<ServiceName> service = continuation_.find_service();
  if (!service) {
    fail(FailureReason::kVersionUnavailable);
    return;
  }
  select_service(*service);
  dispatch_->begin();
}

std::optional<StreamRequirements> RequestSession::stream_needs() const {
  const Service* service = routes_->configuration().find_service(service_);
  if (!is_stream() || !prompt_ || service == nullptr || !service->engine ||
      service->engine->tokens_per_event == 0) {
    return std::nullopt;
  }
  const std::uint32_t tokens = service->engine->tokens_per_event;
  const auto events = [&](std::uint64_t output) {
    return std::ceil(static_cast<double>(output) / tokens);
  };
  return StreamRequirements{.target_gap = route_.target_gap,
                            .min_target_gap = routes_->min_target_gap(service_),
                            .time_left = time_left(),
                            .tokens_per_event = tokens,
                            .expected_events = events(prompt_->expected_output_tokens),
                            .max_events = events(prompt_->output_tokens)};
}

PlacementRequest RequestSession::placement_request() const {
  PlacementRequest wanted;
  wanted.service = service_;
  wanted.prompt = prompt_ ? &*prompt_ : nullptr;
  wanted.allow_separate_prefill = !prefill_attempted_;
  wanted.avoid = tried_;
  wanted.gate = environment_.gate;
  wanted.software = continuation_.software();
  wanted.stream = stream_needs();
  if (dispatch_->trial()) {
    wanted.fewest_requests_only = true;
    wanted.avoid.merge(environment_.guard->terminated_backends());
  }
  wanted.connected = [this](const Backend& backend) {
    return environment_.transport.has_idle_connection(backend.address);
  };
  return wanted;
}

QueueRequest RequestSession::queue_request() const {
  const std::uint64_t tokens =
      prompt_ ? prompt_->own_tokens() + prompt_->expected_output_tokens : 1;
  return {.service = service_,
          .route = route_.name,
          .tenant = tenant_ != nullptr ? tenant_->name : TenantName(),
          .priority = priority(),
          .begun = has_stream_started(),
          .sent_before = retry_limit_.sends() != 0,
          .cost = static_cast<double>(tokens),
          .bytes = request_.body.size(),
          .target = arrived_ + route_.target_latency,
          .deadline = deadline_};
}

void RequestSession::start_attempt(const PlacementChoice& choice, SendKind kind) {
  const Backend& backend = *choice.backend;
  const AttemptInput input = attempt_input();
  attempts_.start(starter_.make(choice, kind, input), *this);
  retry_limit_.begin_send(current());
  if (current().is_prefill_call) {
    prefill_attempted_ = true;
  } else {
    tried_.insert(backend.id);
  }
  note(current().is_prefill_call ? "prefill started" : "attempt started", backend.address.value());
  starter_.send(current(), backend, input, *current().observer);
  watch_progress();
}

AttemptInput RequestSession::attempt_input() const {
  return {.request = request_,
          .caller = answer_.writer(),
          .service = routes_->configuration().find_service(service_),
          .tenant = tenant_,
          .prompt = prompt_ ? &*prompt_ : nullptr,
          .tried = tried_,
          .priority = priority(),
          .time_left = time_left(),
          .last_event = last_event_,
          .head_sent = answer_.has_begun(),
          .trial = dispatch_->trial()};
}

std::uint32_t RequestSession::priority() const {
  return tenant_ != nullptr ? tenant_->priority.value_or(route_.priority) : route_.priority;
}

void RequestSession::on_head(Attempt& attempt, const http::ResponseHead& head) {
  select(attempt);
  retry_limit_.note_answer(current());
  note_heard();
  current().head = head;
  current().ends_with_connection = head.ends_with_connection;
  current().statement = parse_statement(head, environment_.names);
  const BackendStatement& statement = current().statement;
  note_statement(statement);
  const bool ran = !current().is_prefill_call && statement.is_signed && !statement.not_run;
  current().forwards_events = ran && is_stream() && is_success(head.status);
  if (current().forwards_events && current().resumed_run) {
    // The run goes on here. The engine that it was resumed from must not continue it as well.
    end_other_attempts();
  }
  if (current().forwards_events && current().resumed_run && backup_.head()) {
    current().head = backup_.head();
  } else if (current().forwards_events && current().cache_backup) {
    backup_.note_head(head);
  }
  if (ran && !current().forwards_events) {
    // Back ends that are not engines usually start a request when they receive it.
    note_run(environment_.clock.now() - current().started);
  }
}

void RequestSession::note_heard() {
  current().last_heard = environment_.clock.now();
  current().stalled = false;
}

/// Records the load, pace and limits that an answer reports. Status 421 comes from another back end
/// that now has the address, so nothing is recorded.
void RequestSession::note_statement(const BackendStatement& statement) {
  if (statement.load) {
    environment_.loads.note_report(current().backend, *statement.load, environment_.clock.now());
    if (environment_.observer != nullptr && !statement.misdirected) {
      environment_.observer->note_pace(current().backend, statement.load->pace_percent,
                                       environment_.clock.now());
    }
  }
  if (environment_.gate != nullptr && !statement.misdirected) {
    environment_.gate->note_answer(
        {.backend = current().backend, .sent = current().started, .statement = statement});
  }
}

void RequestSession::on_body(Attempt& attempt, std::string_view bytes) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  select(attempt);
  note_heard();
  if (current().forwards_body) {
    forward_bytes(bytes);
    return;
  }
  if (!current().forwards_events) {
    current().body.append(bytes);
    const std::size_t most = current().is_prefill_call ? kMaxPrefillAnswer : kMaxHeldBody;
    if (current().body.size() > most || !may_hold(current().body.size())) {
      handle_large_body();
    }
    return;
  }
  current().events.append(bytes);
  forward_events();
  if (!attempts_.is_current_open()) {
    return;
  }
  const std::size_t rest = current().events.rest().size();
  if (rest > kMaxEvent || !may_hold(rest)) {
    fail_attempt({http::HttpErrc::kTruncated, "event too large to be held"});
  }
}

/// Whether this many bytes of the current attempt's answer may be held.
bool RequestSession::may_hold(std::size_t bytes) {
  current().held->resize(bytes);
  if (!current().held->must_release()) {
    return true;
  }
  ++environment_.statistics.answers_released_early;
  return false;
}

void RequestSession::handle_large_body() {
  const bool ran = current().statement.is_signed && !current().statement.not_run;
  if (current().is_prefill_call) {
    end_prefill(true);
  } else if (current().statement.not_run) {
    handle_refusal();
  } else if (ran && is_success(current().head->status) && !answer_.has_begun()) {
    current().forwards_body = true;
    end_other_attempts();
    answer_.begin_stream(*current().head);
    current().held->resize(0);
    forward_bytes(std::exchange(current().body, {}));
  } else {
    fail_attempt({http::HttpErrc::kTruncated, "answer too large to be held that is no success"});
  }
}

void RequestSession::forward_bytes(std::string_view bytes) {
  answer_.send_event(bytes);
  if (answer_.buffered_bytes() > kMaxCallerBufferBytes) {
    current().exchange->set_reading(false);
  }
}

void RequestSession::on_complete(Attempt& attempt) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  select(attempt);
  if (current().is_prefill_call) {
    end_prefill(current().head->status != 200);
    return;
  }
  const std::string_view missing =
      current().forwards_events ? describe_missing_part(current()) : "";
  if (!missing.empty()) {
    fail_attempt({http::HttpErrc::kTruncated, std::string(missing)});
    return;
  }
  if (current().statement.not_run) {
    handle_refusal();
    return;
  }
  handle_complete_answer();
}

/// A prefill call cannot run the request, so a run may follow whatever its result.
void RequestSession::end_prefill(bool failed) {
  const Backend* backend = environment_.fleet.find(current().backend);
  const auto handle =
      failed ? std::nullopt : environment_.engine_calls.parse_cache_handle(current().body);
  if (handle && backend != nullptr) {
    cache_.hold({backend->id, backend->address, *handle});
  }
  if (handle) {
    observe_prefill();
  }
  note(handle ? "prefill done" : "prefill returned no cache handle", handle.value_or(""));
  end_attempt(handle ? AttemptOutcome::kSucceeded : failed_prefill_verdict(current().statement));
  if (!handle && !retry_limit_.charge_prefill()) {
    on_unsendable(FailureReason::kRefused);
    return;
  }
  dispatch_->begin();
}

/// Observes only prefills of exactly the prompt's own, unshared tokens. Whether an engine still
/// caches a shared part is an estimate; a part that was cached after all would make the engine
/// appear too fast.
void RequestSession::observe_prefill() {
  const bool certain = prompt_ && !current().uses_cache && !current().cache_source &&
                       current().prefill_tokens == prompt_->own_tokens();
  if (environment_.observer == nullptr || !certain) {
    return;
  }
  const MonotonicTime now = environment_.clock.now();
  environment_.observer->note_prefill({.engine = current().backend,
                                       .took = now - current().started,
                                       .tokens = current().prefill_tokens,
                                       .tokens_ahead = current().tokens_ahead,
                                       .includes_first_event = !current().is_prefill_call},
                                      now);
}

/// The remaining length of the stream is unknown if the caller resumed it.
void RequestSession::observe_stream() {
  const bool known = prompt_ && (timing_.events() != 0 || !last_event_);
  current().observation = std::make_unique<StreamObservation>(
      environment_.observer, current().backend,
      known ? std::optional(prompt_->expected_output_tokens) : std::nullopt, timing_.events());
}

/// Reports a request once, even if it runs several times.
void RequestSession::note_run(Duration ago) {
  if (std::exchange(run_noted_, true) || tenant_ == nullptr || !environment_.note_run) {
    return;
  }
  environment_.note_run(tenant_->name, ago);
}

/// Called when an attempt ends before its back end has said whether it runs the request. A back end
/// that is not an engine has usually started a request that it received.
void RequestSession::note_probable_run(const Attempt& attempt) {
  if (!prompt_ && attempt.exchange->sent() && !attempt.statement.not_run) {
    note_run(environment_.clock.now() - attempt.started);
  }
}

/// Ends an attempt whose back end has stated that it does not run the request.
void RequestSession::handle_refusal() {
  note("attempt refused", std::to_string(current().head->status));
  retry_limit_.note_send(current());
  if (current().resumed_run) {
    // A resume that the backup engine refused does not count as one of the route's attempts.
    retry_limit_.exclude_send();
    ++environment_.statistics.resumes_refused;
  }
  // A missing copy does not mean that the engine is unhealthy or full.
  const AttemptOutcome refused =
      current().resumed_run ? AttemptOutcome::kAbandoned : AttemptOutcome::kRefused;
  end_attempt(current().statement.misdirected ? AttemptOutcome::kReplaced : refused);
  continue_or_retry(FailureReason::kRefused);
}

void RequestSession::handle_complete_answer() {
  const http::ResponseHead& head = *current().head;
  const BackendStatement& statement = current().statement;
  retry_limit_.note_send(current());
  may_have_run_ = true;
  note_run(environment_.clock.now() - current().started);
  if (!statement.is_signed) {
    note("answer without signature", std::to_string(head.status));
    end_attempt(AttemptOutcome::kFailed);
    continue_or_retry(FailureReason::kBroken);
    return;
  }
  reports_.note_answer(current());
  if (current().forwards_events) {
    relay_complete_answer();
    return;
  }
  if (!is_success(head.status) && !answer_.has_begun() && route_.repeatable()) {
    if (expects_other() || acquire_retry()) {
      note("back end answered with an error", std::to_string(head.status));
      answer_.keep_error(head, std::move(current().body), std::move(current().held));
      end_attempt(AttemptOutcome::kFailed);
      if (!continue_with_other()) {
        dispatch_->begin();
      }
      return;
    }
  }
  relay_complete_answer();
}

void RequestSession::relay_complete_answer() {
  if (current().forwards_events || current().forwards_body) {
    answer_.begin_stream(*current().head);
    answer_.finish_stream();
  } else if (answer_.has_begun()) {
    // The caller already has the head of a stream, but this answer is not one.
    end_attempt(AttemptOutcome::kFailed);
    continue_or_retry(FailureReason::kBroken);
    return;
  } else {
    answer_.send(*current().head, current().body);
  }
  ++environment_.statistics.answered;
  environment_.statistics.answers_ended_by_close += current().ends_with_connection ? 1 : 0;
  environment_.statistics.resumes_completed +=
      current().forwards_events && current().resumed_run ? 1 : 0;
  end_attempt(is_success(current().head->status) ? AttemptOutcome::kSucceeded
                                                 : AttemptOutcome::kFailed);
  finish("answered");
}

void RequestSession::forward_events() {
  bool forwarded = false;
  while (const auto event = current().events.next()) {
    if (!current().prefill_ended) {
      current().prefill_ended = true;
      note("first event", "");
      note_run(Duration::zero());
      environment_.loads.note_prefilled(current().backend, current().prefill_tokens);
      observe_prefill();
      observe_stream();
    }
    const bool is_new = forward_event(*event);
    forwarded = is_new || forwarded;
    if (!is_new || event->is_comment()) {
      current().empty_event_bytes += event->bytes.size();
    }
    if (current().empty_event_bytes > kMaxEmptyEventBytes) {
      fail_attempt({http::HttpErrc::kTruncated, "too many events that tell nothing new"});
      return;
    }
  }
  if (forwarded) {
    watch_progress();
  }
}

/// Forwards one event to the caller. Returns false if the caller already has it.
bool RequestSession::forward_event(const StreamEvent& event) {
  if (event.id && last_event_ && *event.id <= *last_event_) {
    return false;
  }
  if (event.is_comment() && attempts_.has_others()) {
    return false;
  }
  end_other_attempts();
  continuation_.note_event(service_, current().software);
  answer_.begin_stream(*current().head);
  if (event.id) {
    last_event_ = event.id;
  }
  backup_.note_event(event, environment_.clock.now());
  timing_.note_event(environment_.clock.now());
  current().observation->note_event(environment_.clock.now());
  forward_bytes(event.bytes);
  if (answer_.buffered_bytes() > kMaxCallerBufferBytes) {
    current().observation->note_reading_stopped();
  }
  return true;
}

void RequestSession::on_failure(Attempt& attempt, const http::HttpError& error, bool sent) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  select(attempt);
  if (error.code == http::HttpErrc::kWithdrawn) {
    on_send_withdrawn();
    return;
  }
  if (!sent) {
    note("connection failed", error.message);
    ++unreachable_;
    retry_limit_.drop_send(current());
    // Without a path from this node, nothing is known about the back end.
    end_attempt(error.code == http::HttpErrc::kNoPath ? AttemptOutcome::kNotSent
                                                      : AttemptOutcome::kUnreachable);
    if (continue_with_other()) {
      return;
    }
    if (unreachable_ < kMaxUnreachableAttempts) {
      on_not_sent(current().resumed_run ? SendKind::kResume : SendKind::kRun);
    } else {
      on_unsendable(FailureReason::kUnreachable);
    }
    return;
  }
  if (current().statement.not_run && !current().is_prefill_call) {
    // The head of a refusal says all that matters.
    handle_refusal();
    return;
  }
  fail_attempt(error);
}

/// Ends the current attempt, of which a byte may have been sent, as failed.
void RequestSession::fail_attempt(const http::HttpError& error) {
  log_.note_failure(error, current(), identity().fingerprint.to_hex(),
                    prompt_ ? &*prompt_ : nullptr);
  const bool link_cut = error.code == http::HttpErrc::kLinkCut;
  const bool timed_out = link_cut || error.code == http::HttpErrc::kTimeout;
  if (!timed_out) {
    RetryLimit::note_disconnect(current());
  }
  if (!link_cut) {
    reports_.note_failure(
        service_, current(),
        timed_out ? AttemptFailureKind::kUnresponsive : AttemptFailureKind::kClosed);
    if (ended_) {
      return;
    }
  }
  if (timed_out && !link_cut) {
    environment_.loads.note_unresponsive(current().backend, environment_.clock.now());
  }
  if (current().is_prefill_call) {
    end_prefill(true);
    return;
  }
  retry_limit_.note_send(current());
  may_have_run_ = true;
  // A failure on a kept-alive connection that was already closed says nothing about the back end.
  const bool stale = error.code == http::HttpErrc::kStaleConnection;
  if (!stale && !timed_out) {
    note_probable_run(current());
  }
  if (stale) {
    tried_.erase(current().backend);
  }
  if (current().forwards_body) {
    // The caller already has part of the answer, which another back end cannot continue.
    end_attempt(AttemptOutcome::kFailed);
    fail(FailureReason::kBroken);
    return;
  }
  const FailedRun run = failed_run(error.code);
  end_attempt(stale || link_cut ? AttemptOutcome::kAbandoned : AttemptOutcome::kFailed);
  if (!continue_with_other()) {
    resume_or_retry(run);
  }
}

/// Describes the current attempt, which must still be in progress.
FailedRun RequestSession::failed_run(http::HttpErrc error) const {
  return {.error = error,
          .runner_missing = backup_.is_runner_missing(current().backend, environment_.clock.now()),
          .retry_allowed = route_.repeatable() && !retry_limit_.is_last_attempt(nullptr),
          .has_time = time_left() >= kMinAttemptTime};
}

/// Resumes a stream whose attempt has ended at the engine that holds its copy. Any route allows
/// this, since it is the same run. If the stream cannot be resumed there, it is retried if the
/// route allows a retry.
void RequestSession::resume_or_retry(const FailedRun& run) {
  const MonotonicTime now = environment_.clock.now();
  const BackupObstacle obstacle = backup_.obstacle(run, now);
  if (obstacle != BackupObstacle::kNone) {
    retry_instead_of_resume(describe(obstacle));
  } else if (backup_.is_runner_replaced(now)) {
    resume_at_backup();
  } else {
    check_broken_run(run);
  }
}

/// The engine may work on the run although its connection broke, and a run must not go on at two
/// engines. A stream that may be retried does not wait long for the verdict.
void RequestSession::check_broken_run(const FailedRun& run) {
  note("asking whether the run has ended", "");
  const Duration patience = run.retry_allowed ? Duration::zero() : kMaxRunCheck;
  run_end_check_.begin(
      environment_.runs, backup_.run_query(patience), [this, run](RunVerdict verdict) {
        const std::shared_ptr<RequestSession> keep = shared_from_this();
        if (ended_) {
          return;
        }
        FailedRun ended = run;
        ended.has_time = time_left() >= kMinAttemptTime;
        const BackupObstacle obstacle = backup_.obstacle(ended, environment_.clock.now());
        if (verdict != RunVerdict::kEnded) {
          retry_instead_of_resume("engine is not known to have stopped");
        } else if (obstacle != BackupObstacle::kNone) {
          retry_instead_of_resume(describe(obstacle));
        } else {
          resume_at_backup();
        }
      });
}

void RequestSession::retry_instead_of_resume(std::string_view obstacle) {
  if (current().cache_backup) {
    ++environment_.statistics.streams_not_resumed;
    note("stream not resumed at its backup engine", obstacle);
  }
  retry_or_fail(FailureReason::kBroken);
}

void RequestSession::resume_at_backup() {
  if (!dispatch_->check_guard()) {
    return;
  }
  if (!retry_limit_.charge_send()) {
    retry_denied_reason_ = "retry budget";
    on_unsendable(FailureReason::kBroken);
    return;
  }
  const PlacementChoice choice{.backend = backup_.engine()};
  note("stream resumes at its backup engine", choice.backend->address.value());
  if (!dispatch_->start_resume(choice)) {
    on_not_sent(SendKind::kResume);
  }
}

/// A run can be resumed only at its backup engine; any other back end would run the request again.
void RequestSession::on_not_sent(SendKind kind) {
  attempts_.read_others();
  if (kind == SendKind::kResume) {
    retry_or_fail(FailureReason::kBroken);
  } else {
    dispatch_->begin();
  }
}

/// While the request waited for a connection, its caller disconnected or the back end began a
/// backoff period.
void RequestSession::on_send_withdrawn() {
  if (answer_.writer()->poll_closed()) {
    note("request not sent: caller disconnected", "");
    ++environment_.statistics.sends_without_caller;
    end_attempt(AttemptOutcome::kNotSent);
    on_caller_disconnected();
    return;
  }
  note("request not sent: back end is backing off", "");
  ++environment_.statistics.withdrawn;
  retry_limit_.drop_send(current());
  tried_.erase(current().backend);
  if (current().is_prefill_call) {
    prefill_attempted_ = false;
  }
  end_attempt(AttemptOutcome::kNotSent);
  if (!continue_with_other()) {
    on_not_sent(current().resumed_run ? SendKind::kResume : SendKind::kRun);
  }
}

void RequestSession::retry_or_fail(FailureReason reason) {
  const bool not_run = reason == FailureReason::kRefused && !may_have_run_ && !attempts_.may_run();
  const bool allowed = not_run || route_.repeatable();
  if (!allowed) {
    retry_denied_reason_ = "may have run";
  }
  // A retry that no back end accepts would be charged to the retry budget without being sent.
  if (allowed && dispatch_->no_backend_accepts(false)) {
    retry_denied_reason_ = "no other back end has room";
    on_unsendable(reason == FailureReason::kRefused ? dispatch_->no_backend_reason() : reason);
    return;
  }
  if (allowed && acquire_retry()) {
    if (answer_.has_begun()) {
      ++environment_.statistics.started_streams_retried;
    }
    dispatch_->begin();
    return;
  }
  on_unsendable(reason);
}

bool RequestSession::acquire_retry() {
  retry_denied_reason_ = retry_limit_.acquire(dispatch_->trial(), time_left());
  return retry_denied_reason_.empty();
}

/// Ends the current attempt, if it is in progress.
void RequestSession::end_attempt(AttemptOutcome verdict) {
  progress_timer_.disarm();
  attempts_.end_current(verdict);
  attempts_.read_others();
}

void RequestSession::select(Attempt& attempt) {
  if (attempts_.select(attempt)) {
    attempt.exchange->set_reading(answer_.buffered_bytes() <= kMaxCallerBufferBytes);
  }
}

bool RequestSession::note_stalled() {
  if (!attempts_.stall_current()) {
    return true;
  }
  ++attempts_stalled_;
  ++environment_.statistics.attempts_stalled;
  note_probable_run(current());
  reports_.note_failure(service_, current(), AttemptFailureKind::kUnresponsive);
  return !ended_;
}

bool RequestSession::expects_other() const {
  return dispatch_->is_pending() || attempts_.other_expected_to_answer() != nullptr;
}

bool RequestSession::continue_with_other() {
  if (!expects_other()) {
    return false;
  }
  if (!dispatch_->is_pending()) {
    select(*attempts_.other_expected_to_answer());
    watch_progress();
  }
  return true;
}

void RequestSession::continue_or_retry(FailureReason reason) {
  if (!continue_with_other()) {
    retry_or_fail(reason);
  }
}

void RequestSession::end_other_attempts() {
  dispatch_->withdraw();
  attempts_.end_others();
}

bool RequestSession::report_open_attempts(AttemptFailureKind kind) {
  std::vector<const Attempt*> open;
  attempts_.for_each([&](const Attempt& attempt) { open.push_back(&attempt); });
  for (const Attempt* attempt : open) {
    if (!ended_) {
      reports_.note_failure(service_, *attempt, kind);
    }
  }
  return !ended_;
}

/// Without another send, an open attempt is the only one that can still bring the answer.
void RequestSession::on_unsendable(FailureReason reason) {
  dispatch_->withdraw();
  if (!attempts_.is_current_open()) {
    Attempt* open = attempts_.other_heard_last();
    if (open == nullptr || (open->stalled && answer_.has_kept_error())) {
      fail(reason);
      return;
    }
    select(*open);
  }
  note("request not sent again: awaiting the open attempt", describe(reason));
  watch_progress();
}

/// Starts the timer that detects a back end that sends nothing: for retryable requests, and for
/// replicated streams whose engine is missing or whose backup engine was asked to resume.
void RequestSession::watch_progress() {
  if (!route_.repeatable() && !is_runner_missing() && !is_resume_unanswered()) {
    return;
  }
  progress_timer_.arm(progress_timeout(route_, answer_.has_begun(), time_left()),
                      [this] { on_progress_timeout(); });
}

void RequestSession::on_progress_timeout() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (!attempts_.is_current_open() || dispatch_->is_pending()) {
    return;
  }
  const Duration timeout = progress_timeout(route_, answer_.has_begun(), time_left());
  const Duration silence = environment_.clock.now() - current().last_heard;
  // While bytes wait for the caller, reading may be stopped, so missing bytes prove nothing.
  if (answer_.buffered_bytes() != 0) {
    watch_progress();
  } else if (silence < timeout) {
    progress_timer_.arm(timeout - silence, [this] { on_progress_timeout(); });
  } else {
    on_no_progress();
  }
}

/// Called when the back end of the current attempt has been silent for the progress timeout.
void RequestSession::on_no_progress() {
  if (is_resume_unanswered()) {
    give_up_resume();
    return;
  }
  if (!check_missing_runner()) {
    try_elsewhere();
  }
}

/// Sends the request to another back end as well, if it may be retried.
void RequestSession::try_elsewhere() {
  if (!route_.repeatable()) {
    watch_progress();
    return;
  }
  if (dispatch_->trial() || current().is_prefill_call || current().forwards_body) {
    return;
  }
  if (Attempt* other = attempts_.other_expected_to_answer()) {
    if (note_stalled()) {
      select(*other);
      watch_progress();
    }
    return;
  }
  if (retry_limit_.is_last_attempt(attempts_.current())) {
    return;
  }
  if (dispatch_->no_backend_accepts(false) || time_left() < kMinAttemptTime ||
      !retry_limit_.charge_send()) {
    watch_progress();
    return;
  }
  note("attempt timed out without progress", "");
  if (answer_.has_begun()) {
    ++environment_.statistics.started_streams_retried;
  }
  if (!note_stalled()) {
    return;
  }
  attempts_.keep_current_open();
  dispatch_->begin();
}

bool RequestSession::is_resume_unanswered() const {
  return attempts_.is_current_open() && current().resumed_run && !current().head &&
         attempts_.has_others();
}

/// The engine that the run was to be resumed from may be running after all.
void RequestSession::give_up_resume() {
  note("backup engine sends nothing", "");
  retry_limit_.note_send(current());
  reports_.note_failure(service_, current(), AttemptFailureKind::kUnresponsive);
  if (!ended_) {
    end_attempt(AttemptOutcome::kFailed);
    retry_or_fail(FailureReason::kBroken);
  }
}

bool RequestSession::is_runner_missing() const {
  return attempts_.is_current_open() && current().prefill_ended &&
         backup_.is_runner_missing(current().backend, environment_.clock.now());
}

/// An engine that is no longer registered and sends nothing may have terminated, even if its
/// connection is still open. But an engine may leave without notice and serve on, and the shared
/// store may lose the registration of one that stays.
bool RequestSession::check_missing_runner() {
  if (!is_runner_missing()) {
    return false;
  }
  const MonotonicTime now = environment_.clock.now();
  const FailedRun run = failed_run(http::HttpErrc::kTimeout);
  if (backup_.obstacle(run, now) != BackupObstacle::kNone) {
    return false;
  }
  if (backup_.is_runner_replaced(now)) {
    resume_silent_run();
    return true;
  }
  note("engine is unregistered and sends nothing; asking whether the run has ended", "");
  run_end_check_.begin(environment_.runs, backup_.run_query(Duration::zero()),
                       [this, last_heard = current().last_heard](RunVerdict verdict) {
                         const std::shared_ptr<RequestSession> keep = shared_from_this();
                         on_missing_runner_checked(verdict, last_heard);
                       });
  return true;
}

/// A verdict on an attempt that has ended, or has been heard since, no longer matters.
void RequestSession::on_missing_runner_checked(RunVerdict verdict, MonotonicTime last_heard) {
  if (ended_ || !attempts_.is_current_open()) {
    return;
  }
  if (current().last_heard != last_heard) {
    watch_progress();
    return;
  }
  const FailedRun run = failed_run(http::HttpErrc::kTimeout);
  const bool resumable = backup_.obstacle(run, environment_.clock.now()) == BackupObstacle::kNone;
  if (verdict == RunVerdict::kEnded && resumable) {
    resume_silent_run();
  } else {
    try_elsewhere();
  }
}

/// The attempt stays open until the backup engine resumes the run. Events are not read while that
/// engine decides, so the caller never gets events of both.
void RequestSession::resume_silent_run() {
  note("engine has terminated", "");
  current().exchange->set_reading(false);
  if (note_stalled()) {
    attempts_.keep_current_open();
    resume_at_backup();
  }
}

void RequestSession::on_backend_unregistered(const BackendId& backend) {
  // For a retryable stream the timer is already running.
  if (!ended_ && !route_.repeatable() && attempts_.is_current_open() &&
      current().backend == backend) {
    watch_progress();
  }
}

void RequestSession::on_quarantined(const RequestFingerprint& quarantined) {
  bool begun = dispatch_->trial();
  attempts_.for_each([&](const Attempt& attempt) {
    begun = begun || attempt.head.has_value() || attempt.prefill_ended;
  });
  if (ended_ || begun) {
    return;
  }
  bool affected = false;
  identity().for_each(
      [&](const RequestFingerprint& own) { affected = affected || own == quarantined; });
  if (!affected) {
    return;
  }
  abandon(FailureReason::kQuarantined);
}

void RequestSession::on_stop() {
  if (!ended_) {
    abandon(FailureReason::kStopping);
  }
}

/// Ends the request by a decision of this node, even if a back end is working on it.
void RequestSession::abandon(FailureReason reason) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (report_open_attempts(AttemptFailureKind::kAbandoned)) {
    fail(reason);
  }
}

void RequestSession::fail(FailureReason reason) {
  attempts_.for_each([this](const Attempt& attempt) { note_probable_run(attempt); });
  may_have_run_ = may_have_run_ || attempts_.may_run();
  end_attempt(AttemptOutcome::kAbandoned);
  end_other_attempts();
  failure_reason_ = describe(reason);
  const bool stalled = attempts_stalled_ != 0 && environment_.clock.now() < deadline_;
  environment_.statistics.ended_after_stall += stalled ? 1 : 0;
  environment_.statistics.quarantined += reason == FailureReason::kQuarantined ? 1 : 0;
  environment_.statistics.rate_limited += reason == FailureReason::kRateLimited ? 1 : 0;
  environment_.statistics.backing_off += reason == FailureReason::kBackingOff ? 1 : 0;
  const bool unknown = reason == FailureReason::kResumedAttemptNotNamed ||
                       reason == FailureReason::kResumedAttemptUnknown ||
                       reason == FailureReason::kViewOutdated;
  environment_.statistics.taken_up_unknown += unknown ? 1 : 0;
  environment_.statistics.taken_up_unavailable +=
      reason == FailureReason::kVersionUnavailable ? 1 : 0;
  if (answer_.has_begun()) {
    ++environment_.statistics.broken;
    answer_.abort_stream();
    finish("broken");
    return;
  }
  if (answer_.send_kept_error()) {
    ++environment_.statistics.answered;
    finish("answered");
    return;
  }
  ++(may_have_run_ ? environment_.statistics.unknown : environment_.statistics.refused);
  const Duration latency_part =
      from_seconds(kRetryAfterLatencyRatio * to_seconds(route_.target_latency));
  answer_.send(make_failure_answer(reason, may_have_run_,
                                   dispatch_->retry_after(reason, latency_part),
                                   {environment_.names.request_id, id_}));
  finish(describe(reason));
}

void RequestSession::on_caller_disconnected() {
  if (ended_) {
    return;
  }
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (!report_open_attempts(AttemptFailureKind::kAbandoned)) {
    return;
  }
  ++environment_.statistics.caller_gone;
  attempts_.for_each([this](const Attempt& attempt) { note_probable_run(attempt); });
  end_attempt(AttemptOutcome::kAbandoned);
  finish("caller-gone");
}

void RequestSession::on_deadline() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (attempts_.is_current_open() && !current().prefill_ended) {
    reports_.note_failure(service_, current(), AttemptFailureKind::kUnresponsive);
  }
  if (!ended_) {
    note("deadline exceeded", "");
    fail(FailureReason::kTimeout);
  }
}

void RequestSession::finish(std::string_view outcome) {
  if (std::exchange(ended_, true)) {
    return;
  }
  end_other_attempts();
  dispatch_->cancel();
  run_end_check_.cancel();
  deadline_timer_.disarm();
  progress_timer_.disarm();
  cache_.release();
  answer_.writer()->on_closed(nullptr);
  answer_.writer()->on_drained(nullptr);
  const RequestFingerprint* known = reports_.known_fingerprint();
  const Attempt* last = attempts_.current();
  log_.note_end(
      {.fingerprint = known != nullptr ? known->to_hex() : "",
       .service = service_.value(),
       .outcome = std::string(outcome),
       .reason = std::string(failure_reason_),
       .resumed_attempt =
           std::string(http::find_header(request_.headers, environment_.names.resumed_attempt)),
       .not_sent_again = std::string(retry_denied_reason_),
       .attempts = static_cast<std::uint64_t>(retry_limit_.sends() + unreachable_),
       .attempts_stalled = attempts_stalled_,
       .configuration = routes_->configuration().version.value(),
       .current_configuration = environment_.fleet.routes()->configuration().version.value(),
       .most_output_tokens = prompt_ ? prompt_->output_tokens : 0,
       .caller_protocol = request_.protocol,
       .ends_with_connection = last != nullptr && last->ends_with_connection,
       .incomplete_event_bytes = last != nullptr ? last->events.rest().size() : 0,
       .silence = last != nullptr ? environment_.clock.now() - last->last_heard : Duration(),
       .read_delay = request_.read_delay},
      timing_);
  if (const auto on_end = std::exchange(on_end_, nullptr)) {
    on_end();
  }
}

}  // namespace ochrespring::gateway
