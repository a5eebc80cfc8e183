#include "gateway/request_session.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "gateway/header_rules.h"
#include "gateway/patience.h"

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMostUnreachable = 4;
/// When a request that did not run may come back, in parts of its objective.
constexpr double kRetryAfterObjectives = 0.15;
/// Bytes a caller has not taken beyond which reading from the back end stops.
constexpr std::size_t kCallerBufferBytes = 64U << 10U;

std::int64_t to_milliseconds(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

bool is_success(std::uint16_t status) {
  return status >= 200 && status < 300;
}

}  // namespace

RequestSession::RequestSession(Environment& environment, std::shared_ptr<const RouteTable> routes,
                               const Admission& admission, http::Request request,
                               std::shared_ptr<http::ResponseWriter> writer)
    : environment_(environment),
      routes_(std::move(routes)),
      route_(*admission.route),
      tenant_(admission.key.tenant),
      log_(environment.clock, environment.logger, route_, tenant_),
      request_(std::move(request)),
      writer_(std::move(writer)),
      deadline_timer_(environment.timers),
      progress_timer_(environment.timers),
      cache_(environment),
      backup_(environment.fleet, environment.loads),
      starter_(environment, cache_, backup_),
      repeats_(environment, route_),
      reports_(environment, request_, tenant_),
      dispatch_(std::make_shared<RequestDispatch>(environment, *this)) {}

void RequestSession::begin(std::function<void()> on_end) {
  on_end_ = std::move(on_end);
  const HeaderNames& names = environment_.names;
  arrived_ = environment_.clock.now();
  id_ = http::find_header(request_.headers, names.request_id);
  log_.begin(id_, arrived_);
  const auto most = static_cast<std::uint64_t>(to_milliseconds(route_.timeout));
  const std::string_view waits = http::find_header(request_.headers, names.deadline);
  deadline_ = arrived_ + milliseconds(std::min(most, http::parse_number(waits).value_or(most)));
  if (routes_->has_tenants()) {
    std::erase_if(request_.headers,
                  [&](const http::Header& header) { return header.name == names.credentials; });
  }
  service_ = environment_.shares.pick(route_);
  const Service* service = routes_->configuration().find_service(service_);
  if (service != nullptr && service->engine) {
    prompt_ = parse_prompt(http::find_header(request_.headers, names.prompt_parts),
                           http::find_header(request_.headers, names.token_counts),
                           http::find_header(request_.headers, names.output_estimate));
    if (wants_backup(route_, &*service->engine, &*prompt_, id_,
                     environment_.replicates_resumable)) {
      backup_.enable(id_, environment_.gate);
    }
  }
  const std::string_view last = http::find_header(request_.headers, names.last_event);
  if (!last.empty()) {
    last_event_ = http::parse_number(last).value_or(0);
  }
  environment_.budget.note_request(service_, arrived_);
  writer_->on_closed([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->caller_gone();
    }
  });
  writer_->on_drained([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self && self->attempt_ && self->attempt_->exchange) {
      self->attempt_->exchange->set_reading(true);
    }
  });
  if (environment_.ends_at && deadline_ > *environment_.ends_at) {
    give_up(FailureReason::kStopping);
    return;
  }
  deadline_timer_.arm(deadline_ - arrived_, [this] { on_deadline(); });
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
  wanted.allow_separate_prefill = !read_apart_;
  wanted.avoid = tried_;
  wanted.gate = environment_.gate;
  wanted.stream = stream_needs();
  wanted.fewest_requests_only = dispatch_->trial();
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
          .begun = is_begun(),
          .sent_before = repeats_.sends() != 0,
          .cost = static_cast<double>(tokens),
          .bytes = request_.body.size(),
          .target = arrived_ + route_.target_latency,
          .deadline = deadline_};
}

void RequestSession::start_attempt(const PlacementChoice& choice, SendKind kind) {
  const Backend& backend = *choice.backend;
  const AttemptInput input = attempt_input();
  attempt_.emplace(starter_.make(choice, kind, input));
  if (attempt_->prefill) {
    read_apart_ = true;
  } else {
    tried_.insert(backend.id);
  }
  note(attempt_->prefill ? "prefill started" : "attempt started", backend.address.value());
  starter_.send(*attempt_, backend, input, *this);
  watch_progress();
}

AttemptInput RequestSession::attempt_input() const {
  return {.request = request_,
          .service = routes_->configuration().find_service(service_),
          .tenant = tenant_,
          .prompt = prompt_ ? &*prompt_ : nullptr,
          .tried = tried_,
          .priority = priority(),
          .left = time_left(),
          .last_event = last_event_,
          .answer_open = answer_open_,
          .trial = dispatch_->trial()};
}

std::uint32_t RequestSession::priority() const {
  return tenant_ != nullptr ? tenant_->priority.value_or(route_.priority) : route_.priority;
}

void RequestSession::on_head(const http::ResponseHead& head) {
  attempt_->head = head;
  attempt_->statement = parse_statement(head, environment_.names);
  const BackendStatement& statement = attempt_->statement;
  note_statement(statement);
  const bool ran = !attempt_->prefill && statement.is_signed && !statement.not_run;
  attempt_->streams = ran && is_stream() && is_success(head.status);
  if (attempt_->streams && attempt_->continues && backup_.head()) {
    attempt_->head = backup_.head();
  } else if (attempt_->streams && attempt_->cache_backup) {
    backup_.note_head(head);
  }
  if (ran && !attempt_->streams) {
    // Ordinary servers begin when they are sent a request, as a rule.
    note_run(environment_.clock.now() - attempt_->started);
  }
}

/// An answer 421 is another back end's, which has the address now.
void RequestSession::note_statement(const BackendStatement& statement) {
  if (statement.load) {
    environment_.loads.note_report(attempt_->backend, *statement.load, environment_.clock.now());
    if (environment_.observer != nullptr && !statement.misdirected) {
      environment_.observer->note_pace(attempt_->backend, statement.load->pace_percent,
                                       environment_.clock.now());
    }
  }
  if (environment_.gate != nullptr && !statement.misdirected) {
    environment_.gate->note_answer(
        {.backend = attempt_->backend, .sent = attempt_->started, .statement = statement});
  }
}

void RequestSession::on_body(std::string_view bytes) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (!attempt_->streams) {
    attempt_->body.append(bytes);
    return;
  }
  attempt_->events.append(bytes);
  relay_events();
}

void RequestSession::on_complete() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (attempt_->prefill) {
    end_prefill(attempt_->head->status != 200);
    return;
  }
  repeats_.note_send();
  judge_complete();
}

/// A prefill call cannot run the request: whatever became of it, a run may follow.
void RequestSession::end_prefill(bool refused) {
  const Backend* backend = environment_.fleet.find(attempt_->backend);
  const auto handle =
      refused ? std::nullopt : environment_.engines.parse_cache_handle(attempt_->body);
  if (handle && backend != nullptr) {
    cache_.hold({backend->id, backend->address, *handle});
  }
  if (handle) {
    observe_prefill();
  }
  note(handle ? "prefill done" : "prefill refused", handle.value_or(""));
  end_attempt(handle ? AttemptOutcome::kSucceeded : verdict_of_failed_prefill(attempt_->statement));
  if (!handle && !repeats_.spend(service_)) {
    give_up(FailureReason::kRefused);
    return;
  }
  dispatch_->begin();
}

/// Only of prompts of which just the part of their own was unread: whether an engine still keeps a
/// shared part is an estimate, and one that it kept after all would make it look fast.
void RequestSession::observe_prefill() {
  const bool certain = prompt_ && !attempt_->uses_cache && !attempt_->cache_source &&
                       attempt_->unread_tokens == prompt_->own_tokens();
  if (environment_.observer == nullptr || !certain) {
    return;
  }
  const MonotonicTime now = environment_.clock.now();
  environment_.observer->note_prefill({.engine = attempt_->backend,
                                       .took = now - attempt_->started,
                                       .tokens = attempt_->unread_tokens,
                                       .tokens_ahead = attempt_->tokens_ahead,
                                       .includes_first_event = !attempt_->prefill},
                                      now);
}

/// How much of a stream is to come is not known where its caller resumes it.
void RequestSession::observe_stream() {
  const bool known = prompt_ && (timing_.events() != 0 || !last_event_);
  attempt_->observed = std::make_unique<StreamObservation>(
      environment_.observer, attempt_->backend,
      known ? std::optional(prompt_->expected_output_tokens) : std::nullopt, timing_.events());
}

/// A request counts once, however often it runs.
void RequestSession::note_run(Duration ago) {
  if (std::exchange(run_noted_, true) || tenant_ == nullptr || !environment_.note_run) {
    return;
  }
  environment_.note_run(tenant_->name, ago);
}

void RequestSession::judge_complete() {
  const http::ResponseHead& head = *attempt_->head;
  const BackendStatement& statement = attempt_->statement;
  if (statement.not_run) {
    note("attempt refused", std::to_string(head.status));
    if (attempt_->continues) {
      // A server that has not run the request is none of the route's attempts.
      repeats_.allow_one_more();
      ++environment_.statistics.copies_missing;
    }
    // An engine without the copy is neither ill nor full.
    const AttemptOutcome refused =
        attempt_->continues ? AttemptOutcome::kAbandoned : AttemptOutcome::kRefused;
    end_attempt(statement.misdirected ? AttemptOutcome::kReplaced : refused);
    retry_or_give_up(FailureReason::kRefused);
    return;
  }
  may_have_run_ = true;
  note_run(environment_.clock.now() - attempt_->started);
  if (!statement.is_signed) {
    note("attempt without signature", std::to_string(head.status));
    end_attempt(AttemptOutcome::kFailed);
    retry_or_give_up(FailureReason::kBroken);
    return;
  }
  reports_.note_answer(*attempt_);
  if (attempt_->streams) {
    relay_whole();
    return;
  }
  if (!is_success(head.status) && !answer_open_ && route_.repeatable() && may_send_again()) {
    note("attempt failed at the back end", std::to_string(head.status));
    failed_answer_ = FailedAnswer{head, std::move(attempt_->body)};
    end_attempt(AttemptOutcome::kFailed);
    dispatch_->begin();
    return;
  }
  relay_whole();
}

void RequestSession::relay_whole() {
  const std::string_view rest = attempt_->events.rest();
  if (attempt_->streams) {
    open_answer(*attempt_->head);
    writer_->send_body(rest);
    writer_->finish();
  } else if (answer_open_) {
    // A resumed stream was answered with something else.
    end_attempt(AttemptOutcome::kFailed);
    retry_or_give_up(FailureReason::kBroken);
    return;
  } else {
    answer_whole(*attempt_->head, attempt_->body);
  }
  ++environment_.statistics.answered;
  environment_.statistics.continued_whole += attempt_->streams && attempt_->continues ? 1 : 0;
  end_attempt(is_success(attempt_->head->status) ? AttemptOutcome::kSucceeded
                                                 : AttemptOutcome::kFailed);
  finish("answered");
}

void RequestSession::answer_whole(const http::ResponseHead& head, std::string_view body) {
  answer_open_ = true;
  environment_.statistics.first_byte.note(environment_.clock.now() - arrived_);
  writer_->respond(head.status, headers_for_caller(head.headers), body);
}

void RequestSession::relay_events() {
  bool passed = false;
  while (const auto event = attempt_->events.next()) {
    if (!attempt_->prompt_read) {
      attempt_->prompt_read = true;
      note("first event", "");
      note_run(Duration::zero());
      environment_.loads.note_prefilled(attempt_->backend, attempt_->unread_tokens);
      observe_prefill();
      observe_stream();
    }
    passed = pass_event(*event) || passed;
  }
  if (passed) {
    watch_progress();
  }
}

/// Sends one event on, unless the caller has it already.
bool RequestSession::pass_event(const StreamEvent& event) {
  if (event.id && last_event_ && *event.id <= *last_event_) {
    return false;
  }
  open_answer(*attempt_->head);
  if (event.id) {
    last_event_ = event.id;
  }
  backup_.note_event(event);
  timing_.note_event(environment_.clock.now());
  attempt_->observed->note_event(environment_.clock.now());
  writer_->send_body(event.bytes);
  if (writer_->buffered_bytes() > kCallerBufferBytes) {
    attempt_->observed->note_not_read();
    attempt_->exchange->set_reading(false);
  }
  return true;
}

/// Gives the caller the head of the first back end that answers with events.
void RequestSession::open_answer(const http::ResponseHead& head) {
  if (answer_open_) {
    return;
  }
  answer_open_ = true;
  environment_.statistics.first_byte.note(environment_.clock.now() - arrived_);
  writer_->send_head({head.status, headers_for_caller(head.headers)});
}

void RequestSession::on_failure(const http::HttpError& error, bool sent) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (error.code == http::HttpErrc::kWithdrawn) {
    on_withdrawn();
    return;
  }
  if (!sent) {
    note("no connection", error.message);
    ++unreachable_;
    end_attempt(AttemptOutcome::kUnreachable);
    if (unreachable_ < kMostUnreachable) {
      dispatch_unsent(attempt_->continues ? SendKind::kContinuation : SendKind::kRun);
    } else {
      give_up(FailureReason::kUnreachable);
    }
    return;
  }
  log_.note_break(error, *attempt_, fingerprint().to_hex());
  const bool silent = error.code == http::HttpErrc::kTimeout;
  reports_.note_break(service_, *attempt_, silent ? BreakKind::kSilent : BreakKind::kClosed);
  if (silent) {
    environment_.loads.note_unresponsive(attempt_->backend, environment_.clock.now());
  }
  if (attempt_->prefill) {
    end_prefill(true);
    return;
  }
  repeats_.note_send();
  may_have_run_ = true;
  // A kept connection that had died says nothing of the back end.
  const bool stale = error.code == http::HttpErrc::kStaleConnection;
  if (!stale && !silent && !prompt_) {
    // An ordinary server that closes under a request has begun it, as a rule.
    note_run(environment_.clock.now() - attempt_->started);
  }
  if (stale) {
    tried_.erase(attempt_->backend);
  }
  const BrokenRun run = broken_run(error.code);
  end_attempt(stale ? AttemptOutcome::kAbandoned : AttemptOutcome::kFailed);
  continue_or_retry(run);
}

/// Of the current attempt, which is still at work.
BrokenRun RequestSession::broken_run(http::HttpErrc error) const {
  return {.error = error,
          .runner_gone = backup_.is_runner_gone(attempt_->backend, environment_.clock.now()),
          .repeatable = route_.repeatable() && !repeats_.is_last_attempt(true),
          .has_time = time_left() >= kLeastTime};
}

/// Sends a stream whose attempt has ended on to the engine that holds its copy: the same run,
/// whatever the route. Where it may not continue there, what the route allows follows.
void RequestSession::continue_or_retry(const BrokenRun& run) {
  const BackupObstacle obstacle = backup_.obstacle(run, environment_.clock.now());
  if (obstacle != BackupObstacle::kNone) {
    if (attempt_->cache_backup) {
      ++environment_.statistics.not_continued;
      note("stream not continued at its backup", describe(obstacle));
    }
    retry_or_give_up(FailureReason::kBroken);
    return;
  }
  if (!dispatch_->passes_guard()) {
    return;
  }
  if (!repeats_.spend(service_)) {
    not_sent_again_ = "retry budget";
    give_up(FailureReason::kBroken);
    return;
  }
  const PlacementChoice choice{.backend = backup_.engine()};
  note("stream continues at its backup", choice.backend->address.value());
  if (!dispatch_->start_continuation(choice)) {
    dispatch_unsent(SendKind::kContinuation);
  }
}

/// Only the run that was begun may go on at a backup: elsewhere the request would run anew.
void RequestSession::dispatch_unsent(SendKind kind) {
  if (kind == SendKind::kContinuation) {
    repeats_.note_unsent();
    retry_or_give_up(FailureReason::kBroken);
  } else {
    dispatch_->begin();
  }
}

/// The back end has asked for nothing more while the request waited for a connection.
void RequestSession::on_withdrawn() {
  note("not sent: back end asked for nothing more", "");
  ++environment_.statistics.withdrawn;
  tried_.erase(attempt_->backend);
  if (attempt_->prefill) {
    read_apart_ = false;
  }
  end_attempt(AttemptOutcome::kNotSent);
  dispatch_unsent(attempt_->continues ? SendKind::kContinuation : SendKind::kRun);
}

void RequestSession::retry_or_give_up(FailureReason reason) {
  const bool allowed = reason == FailureReason::kRefused ? !may_have_run_ || route_.repeatable()
                                                         : route_.repeatable();
  if (!allowed) {
    not_sent_again_ = "may have run";
  }
  // A repeat that could go nowhere would be taken out of the budget for nothing.
  if (allowed && dispatch_->is_closed_everywhere(false)) {
    not_sent_again_ = "nobody else has room";
    give_up(reason == FailureReason::kRefused ? dispatch_->reason_of_no_backend() : reason);
    return;
  }
  if (allowed && may_send_again()) {
    if (answer_open_) {
      ++environment_.statistics.resumed;
    }
    dispatch_->begin();
    return;
  }
  give_up(reason);
}

/// Takes one more send out of the route's attempts and the budget.
bool RequestSession::may_send_again() {
  not_sent_again_ = repeats_.obstacle(service_, dispatch_->trial(), time_left());
  return not_sent_again_.empty();
}

/// Closes the attempt's connection, if it still runs, and accounts for it.
void RequestSession::end_attempt(AttemptOutcome verdict) {
  progress_timer_.disarm();
  if (!at_work()) {
    return;
  }
  if (!std::exchange(attempt_->prompt_read, true)) {
    environment_.loads.note_prefilled(attempt_->backend, attempt_->unread_tokens);
  }
  if (attempt_->observed) {
    attempt_->observed->end(environment_.clock.now());
  }
  environment_.loads.end(attempt_->backend, verdict, environment_.clock.now());
  if (environment_.queue != nullptr) {
    const bool worked =
        !attempt_->prefill && !is_certainly_unread(verdict) && !attempt_->statement.not_run;
    environment_.queue->note_attempt_ended(service_, worked);
  }
  if (prompt_ && is_certainly_unread(verdict)) {
    environment_.loads.forget_prompt(attempt_->backend, *prompt_, attempt_->started);
  }
  if (attempt_->uses_cache) {
    cache_.note_end(verdict);
  }
  attempt_->exchange.reset();
  attempt_->backend = BackendId();
}

/// A silent back end is left for another one if the request may be repeated.
void RequestSession::watch_progress() {
  if (!route_.repeatable() && !is_runner_gone()) {
    return;
  }
  progress_timer_.arm(patience_with(route_, answer_open_, time_left()),
                      [this] { on_no_progress(); });
}

void RequestSession::on_no_progress() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (leaves_gone_runner()) {
    return;
  }
  if (!route_.repeatable()) {
    watch_progress();
    return;
  }
  if (dispatch_->trial() || !at_work() || attempt_->prefill || repeats_.is_last_attempt(false)) {
    return;
  }
  if (dispatch_->is_closed_everywhere(false)) {
    watch_progress();
    return;
  }
  if (time_left() < kLeastTime || !repeats_.spend(service_)) {
    return;
  }
  note("attempt made no progress", "");
  if (answer_open_) {
    ++environment_.statistics.resumed;
  }
  abandon_silent_attempt();
  dispatch_->begin();
}

bool RequestSession::is_runner_gone() const {
  return at_work() && attempt_->prompt_read &&
         backup_.is_runner_gone(attempt_->backend, environment_.clock.now());
}

/// A server that is no longer registered has sent nothing for a while: it has ended, and its
/// connection cannot tell. Where the backup cannot be used it is waited for, in case it has not: a
/// store may lose registrations of servers that live.
bool RequestSession::leaves_gone_runner() {
  // While the caller has bytes to take, reading may be stopped: silence says nothing then.
  if (!is_runner_gone() || writer_->buffered_bytes() != 0) {
    return false;
  }
  const BrokenRun run = broken_run(http::HttpErrc::kTimeout);
  if (backup_.obstacle(run, environment_.clock.now()) != BackupObstacle::kNone) {
    return false;
  }
  note("server gone, and silent", "");
  abandon_silent_attempt();
  continue_or_retry(run);
  return true;
}

void RequestSession::abandon_silent_attempt() {
  repeats_.note_send();
  may_have_run_ = true;
  reports_.note_break(service_, *attempt_, BreakKind::kSilent);
  end_attempt(AttemptOutcome::kFailed);
}

void RequestSession::on_backend_gone(const BackendId& backend) {
  // The timer of a stream that may be repeated runs already.
  if (!ended_ && !route_.repeatable() && at_work() && attempt_->backend == backend) {
    watch_progress();
  }
}

void RequestSession::on_quarantined(const RequestFingerprint& request) {
  const bool begun = dispatch_->trial() || (at_work() && (attempt_->head || attempt_->prompt_read));
  if (ended_ || begun || fingerprint() != request) {
    return;
  }
  abandon(FailureReason::kQuarantined);
}

void RequestSession::on_stop() {
  if (!ended_) {
    abandon(FailureReason::kStopping);
  }
}

/// Ends the request by this node's own decision, whatever a back end does with it.
void RequestSession::abandon(FailureReason reason) {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (at_work()) {
    reports_.note_break(service_, *attempt_, BreakKind::kAbandoned);
    may_have_run_ = may_have_run_ || !attempt_->prefill;
  }
  give_up(reason);
}

void RequestSession::give_up(FailureReason reason) {
  end_attempt(AttemptOutcome::kAbandoned);
  environment_.statistics.quarantined += reason == FailureReason::kQuarantined ? 1 : 0;
  environment_.statistics.rate_limited += reason == FailureReason::kRateLimited ? 1 : 0;
  environment_.statistics.backing_off += reason == FailureReason::kBackingOff ? 1 : 0;
  if (answer_open_) {
    ++environment_.statistics.broken;
    writer_->abort();
    finish("broken");
    return;
  }
  if (failed_answer_) {
    answer_whole(failed_answer_->head, failed_answer_->body);
    ++environment_.statistics.answered;
    finish("answered");
    return;
  }
  ++(may_have_run_ ? environment_.statistics.unknown : environment_.statistics.refused);
  FailureAnswer answer = make_failure_answer(
      reason, may_have_run_,
      dispatch_->retry_after(
          reason, from_seconds(kRetryAfterObjectives * to_seconds(route_.target_latency))),
      {environment_.names.request_id, id_});
  writer_->respond(answer.status, std::move(answer.headers), answer.body);
  finish(describe(reason));
}

void RequestSession::caller_gone() {
  if (ended_) {
    return;
  }
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (at_work()) {
    reports_.note_break(service_, *attempt_, BreakKind::kAbandoned);
  }
  ++environment_.statistics.caller_gone;
  end_attempt(AttemptOutcome::kAbandoned);
  finish("caller-gone");
}

void RequestSession::on_deadline() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (at_work() && !attempt_->prompt_read) {
    reports_.note_break(service_, *attempt_, BreakKind::kSilent);
  }
  may_have_run_ = may_have_run_ || (at_work() && !attempt_->prefill);
  note("deadline", "");
  give_up(FailureReason::kTimeout);
}

void RequestSession::finish(std::string_view outcome) {
  if (std::exchange(ended_, true)) {
    return;
  }
  dispatch_->cancel();
  deadline_timer_.disarm();
  progress_timer_.disarm();
  cache_.release();
  writer_->on_closed(nullptr);
  writer_->on_drained(nullptr);
  const std::optional<RequestFingerprint>& known = reports_.known_fingerprint();
  log_.note_end({.fingerprint = known ? known->to_hex() : "",
                 .service = service_.value(),
                 .outcome = std::string(outcome),
                 .not_sent_again = std::string(not_sent_again_),
                 .attempts = static_cast<std::uint64_t>(repeats_.sends() + unreachable_),
                 .configuration = routes_->configuration().version.value(),
                 .most_output_tokens = prompt_ ? prompt_->output_tokens : 0},
                timing_);
  if (const auto on_end = std::exchange(on_end_, nullptr)) {
    on_end();
  }
}

}  // namespace ochrespring::gateway
