#include "gateway/request_session.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "gateway/header_rules.h"
#include "gateway/patience.h"

namespace ochrespring::gateway {

namespace {

using std::chrono::milliseconds;

constexpr Duration kReleaseTimeout = milliseconds(1000);
constexpr std::uint32_t kMostUnreachable = 4;
/// When a request that did not run may come back, in parts of its objective.
constexpr double kRetryAfterObjectives = 0.15;
/// Bytes a caller has not taken beyond which reading from the back end stops.
constexpr std::size_t kCallerBufferBytes = 64U << 10U;

std::int64_t to_milliseconds(Duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

/// Whether the back end has not read the prompt, whatever else became of the attempt.
bool is_certainly_unread(AttemptVerdict verdict) {
  return verdict == AttemptVerdict::kRefused || verdict == AttemptVerdict::kNotSent ||
         verdict == AttemptVerdict::kUnreachable;
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

PlacementRequest RequestSession::placement_request() const {
  PlacementRequest wanted;
  wanted.service = service_;
  wanted.prompt = prompt_ ? &*prompt_ : nullptr;
  wanted.may_read_apart = !read_apart_;
  wanted.avoid = tried_;
  wanted.gate = environment_.gate;
  wanted.where_least_runs = dispatch_->trial();
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
          .sent_before = sends_ != 0,
          .cost = static_cast<double>(tokens),
          .bytes = request_.body.size(),
          .target = arrived_ + route_.target_latency,
          .deadline = deadline_};
}

void RequestSession::start_attempt(const PlacementChoice& choice, bool prefill) {
  const MonotonicTime now = environment_.clock.now();
  const Backend& backend = *choice.backend;
  attempt_.emplace();
  attempt_->backend = backend.id;
  attempt_->started = now;
  attempt_->prefill = prefill;
  read_apart_ = read_apart_ || prefill;
  attempt_->uses_cache = !prefill && cache_.has_value();
  attempt_->unread_tokens = attempt_->uses_cache ? 0 : choice.unread_tokens;
  if (!attempt_->uses_cache && choice.cache_source != nullptr) {
    attempt_->cache_source = choice.cache_source->address;
    ++environment_.statistics.cache_fetches;
  }
  if (!prefill) {
    tried_.insert(backend.id);
  }
  environment_.loads.begin(backend.id, attempt_->unread_tokens);
  if (prompt_) {
    environment_.loads.note_prompt(backend.id, *prompt_, now);
  }
  ++environment_.statistics.attempts;
  note(prefill ? "prefill started" : "attempt started", backend.address.value());
  http::ClientRequest sent = make_backend_request(request_, environment_.names, make_call(backend));
  if (SendGate* gate = environment_.gate) {
    gate->note_send(backend.id, now);
    sent.may_leave = [gate, &clock = environment_.clock, id = backend.id] {
      return gate->may_send(id, clock.now());
    };
  }
  attempt_->exchange = environment_.transport.start(std::move(sent), *this);
  watch_progress();
}

BackendCall RequestSession::make_call(const Backend& backend) const {
  BackendCall call;
  call.backend = &backend;
  call.left = time_left();
  call.tenant = tenant_;
  call.prefill = attempt_->prefill;
  if (prompt_) {
    call.priority = engine_priority(priority(), attempt_->unread_tokens);
  }
  if (attempt_->uses_cache) {
    call.cache = cache_;
  }
  call.cache_source = attempt_->cache_source;
  if (answer_open_) {
    call.resumes_after = last_event_;
  }
  call.most_idle = connection_share();
  return call;
}

std::uint32_t RequestSession::priority() const {
  return tenant_ != nullptr ? tenant_->priority.value_or(route_.priority) : route_.priority;
}

const RequestFingerprint& RequestSession::fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = fingerprint_of(request_, tenant_ != nullptr ? tenant_->name.value() : "");
  }
  return *fingerprint_;
}

/// This node's part of the connections that a back end takes from all callers. Where there are more
/// nodes than connections none is kept: one for each node would be more than the back end takes.
std::size_t RequestSession::connection_share() const {
  const Service* service = routes_->configuration().find_service(service_);
  const std::uint32_t all = service == nullptr ? 1 : service->most_connections;
  return all / std::max(1U, environment_.node_count());
}

void RequestSession::on_head(const http::ResponseHead& head) {
  attempt_->head = head;
  attempt_->statement = read_statement(head, environment_.names);
  const BackendStatement& statement = attempt_->statement;
  note_statement(statement);
  const bool ran = !attempt_->prefill && statement.is_signed && !statement.not_run;
  attempt_->streams = ran && is_stream() && is_success(head.status);
  if (ran && !attempt_->streams) {
    // Ordinary servers begin when they are sent a request, as a rule.
    note_run(environment_.clock.now() - attempt_->started);
  }
}

/// An answer 421 is another back end's, which has the address now.
void RequestSession::note_statement(const BackendStatement& statement) {
  if (statement.load) {
    environment_.loads.note_report(attempt_->backend, *statement.load, environment_.clock.now());
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
  ++sends_;
  judge_complete();
}

/// A prefill call cannot run the request: whatever became of it, a run may follow.
void RequestSession::end_prefill(bool refused) {
  const Backend* backend = environment_.fleet.find(attempt_->backend);
  const auto handle =
      refused ? std::nullopt : environment_.engines.read_cache_handle(attempt_->body);
  if (handle && backend != nullptr) {
    cache_ = CacheHandle{backend->id, backend->address, *handle};
  }
  note(handle ? "prefill done" : "prefill refused", handle.value_or(""));
  end_attempt(handle ? AttemptVerdict::kGood : verdict_of_failed_prefill());
  if (!handle && !spend_repeat()) {
    give_up(FailureReason::kRefused);
    return;
  }
  dispatch_->begin();
}

/// An engine that turns a request away is not ill.
AttemptVerdict RequestSession::verdict_of_failed_prefill() const {
  const BackendStatement& statement = attempt_->statement;
  if (statement.misdirected) {
    return AttemptVerdict::kReplaced;
  }
  return statement.not_run ? AttemptVerdict::kRefused : AttemptVerdict::kFailed;
}

/// A request counts once, however often it runs.
void RequestSession::note_run(Duration ago) {
  if (std::exchange(run_noted_, true) || tenant_ == nullptr || !environment_.note_run) {
    return;
  }
  environment_.note_run(tenant_->name, ago);
}

/// Frees a cache that nobody will take.
void RequestSession::release_cache() {
  if (!cache_) {
    return;
  }
  if (environment_.gate != nullptr &&
      environment_.gate->is_paused(cache_->engine, environment_.clock.now())) {
    // It lapses by itself.
    cache_.reset();
    return;
  }
  http::ClientRequest request = environment_.engines.release_cache(cache_->handle);
  request.endpoint = cache_->address;
  request.timeout = kReleaseTimeout;
  cache_.reset();
  environment_.transport.send_and_forget(std::move(request));
}

void RequestSession::judge_complete() {
  const http::ResponseHead& head = *attempt_->head;
  const BackendStatement& statement = attempt_->statement;
  if (statement.not_run) {
    note("attempt refused", std::to_string(head.status));
    end_attempt(statement.misdirected ? AttemptVerdict::kReplaced : AttemptVerdict::kRefused);
    retry_or_give_up(FailureReason::kRefused);
    return;
  }
  may_have_run_ = true;
  note_run(environment_.clock.now() - attempt_->started);
  if (!statement.is_signed) {
    note("attempt without signature", std::to_string(head.status));
    end_attempt(AttemptVerdict::kFailed);
    retry_or_give_up(FailureReason::kBroken);
    return;
  }
  note_answer();
  if (attempt_->streams) {
    relay_whole();
    return;
  }
  if (!is_success(head.status) && !answer_open_ && route_.repeatable() && may_send_again()) {
    note("attempt failed at the back end", std::to_string(head.status));
    failed_answer_ = FailedAnswer{head, std::move(attempt_->body)};
    end_attempt(AttemptVerdict::kFailed);
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
    end_attempt(AttemptVerdict::kFailed);
    retry_or_give_up(FailureReason::kBroken);
    return;
  } else {
    answer_whole(*attempt_->head, attempt_->body);
  }
  ++environment_.statistics.answered;
  end_attempt(is_success(attempt_->head->status) ? AttemptVerdict::kGood : AttemptVerdict::kFailed);
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
      environment_.loads.note_read(attempt_->backend, attempt_->unread_tokens);
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
  timing_.note_event(environment_.clock.now());
  writer_->send_body(event.bytes);
  if (writer_->buffered_bytes() > kCallerBufferBytes) {
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
    end_attempt(AttemptVerdict::kUnreachable);
    if (unreachable_ < kMostUnreachable) {
      dispatch_->begin();
    } else {
      give_up(FailureReason::kUnreachable);
    }
    return;
  }
  log_.note_break(error, *attempt_, fingerprint().to_hex());
  const bool silent = error.code == http::HttpErrc::kTimeout;
  note_break(silent ? BreakKind::kSilent : BreakKind::kClosed);
  if (silent) {
    environment_.loads.note_silence(attempt_->backend, environment_.clock.now());
  }
  if (attempt_->prefill) {
    end_prefill(true);
    return;
  }
  ++sends_;
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
  end_attempt(stale ? AttemptVerdict::kAbandoned : AttemptVerdict::kFailed);
  retry_or_give_up(FailureReason::kBroken);
}

/// The back end has asked for nothing more while the request waited for a connection.
void RequestSession::on_withdrawn() {
  note("not sent: back end asked for nothing more", "");
  ++environment_.statistics.withdrawn;
  tried_.erase(attempt_->backend);
  if (attempt_->prefill) {
    read_apart_ = false;
  }
  end_attempt(AttemptVerdict::kNotSent);
  dispatch_->begin();
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
  not_sent_again_ = obstacle_to_repeat();
  return not_sent_again_.empty();
}

std::string_view RequestSession::obstacle_to_repeat() {
  if (dispatch_->trial()) {
    return "trial";
  }
  if (sends_ >= route_.most_attempts) {
    return "attempts of the route";
  }
  if (time_left() < kLeastTime) {
    return "no time left";
  }
  return spend_repeat() ? "" : "retry budget";
}

bool RequestSession::spend_repeat() {
  const bool granted =
      environment_.budget.spend(service_, environment_.node_count(), environment_.clock.now());
  ++(granted ? environment_.statistics.repeats : environment_.statistics.budget_denied);
  return granted;
}

/// Closes the attempt's connection, if it still runs, and accounts for it.
void RequestSession::end_attempt(AttemptVerdict verdict) {
  progress_timer_.disarm();
  if (!at_work()) {
    return;
  }
  if (!std::exchange(attempt_->prompt_read, true)) {
    environment_.loads.note_read(attempt_->backend, attempt_->unread_tokens);
  }
  environment_.loads.end(attempt_->backend, verdict, environment_.clock.now());
  if (environment_.queue != nullptr) {
    environment_.queue->note_attempt_ended(service_,
                                           !attempt_->prefill && !is_certainly_unread(verdict));
  }
  if (prompt_ && is_certainly_unread(verdict)) {
    environment_.loads.forget_prompt(attempt_->backend, *prompt_, attempt_->started);
  }
  if (attempt_->uses_cache && verdict == AttemptVerdict::kRefused) {
    release_cache();
  } else if (attempt_->uses_cache && verdict != AttemptVerdict::kUnreachable &&
             verdict != AttemptVerdict::kNotSent && verdict != AttemptVerdict::kReplaced) {
    // Taken: a handle serves once.
    cache_.reset();
  }
  attempt_->exchange.reset();
  attempt_->backend = BackendId();
}

/// A silent back end is left for another one if the request may be repeated.
void RequestSession::watch_progress() {
  if (!route_.repeatable()) {
    return;
  }
  progress_timer_.arm(patience_with(route_, answer_open_, time_left()),
                      [this] { on_no_progress(); });
}

void RequestSession::on_no_progress() {
  if (dispatch_->trial() || sends_ + 1 >= route_.most_attempts || !at_work() || attempt_->prefill) {
    return;
  }
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (dispatch_->is_closed_everywhere(false)) {
    watch_progress();
    return;
  }
  if (time_left() < kLeastTime || !spend_repeat()) {
    return;
  }
  ++sends_;
  may_have_run_ = true;
  note("attempt made no progress", "");
  note_break(BreakKind::kSilent);
  if (answer_open_) {
    ++environment_.statistics.resumed;
  }
  end_attempt(AttemptVerdict::kFailed);
  dispatch_->begin();
}

/// Tells what an attempt that ends without an answer may say of the request, or of the back end.
void RequestSession::note_break(BreakKind kind) {
  RequestGuard* guard = environment_.guard;
  // Callers that leave are many, and tell something only of a request that is suspected.
  const bool tells = guard != nullptr && (kind != BreakKind::kAbandoned || guard->watching());
  if (tells) {
    guard->note_break({fingerprint(), service_, attempt_->backend, attempt_->started, kind});
  }
}

void RequestSession::note_answer() {
  RequestGuard* guard = environment_.guard;
  if (guard != nullptr && guard->watching()) {
    guard->note_answer({fingerprint(), attempt_->backend, attempt_->started});
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
    note_break(BreakKind::kAbandoned);
    may_have_run_ = may_have_run_ || !attempt_->prefill;
  }
  give_up(reason);
}

void RequestSession::give_up(FailureReason reason) {
  end_attempt(AttemptVerdict::kAbandoned);
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
    note_break(BreakKind::kAbandoned);
  }
  ++environment_.statistics.caller_gone;
  end_attempt(AttemptVerdict::kAbandoned);
  finish("caller-gone");
}

void RequestSession::on_deadline() {
  const std::shared_ptr<RequestSession> keep = shared_from_this();
  if (at_work() && !attempt_->prompt_read) {
    note_break(BreakKind::kSilent);
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
  release_cache();
  writer_->on_closed(nullptr);
  writer_->on_drained(nullptr);
  log_.note_end({.fingerprint = fingerprint_ ? fingerprint_->to_hex() : "",
                 .service = service_.value(),
                 .outcome = std::string(outcome),
                 .not_sent_again = std::string(not_sent_again_),
                 .attempts = static_cast<std::uint64_t>(sends_ + unreachable_),
                 .configuration = routes_->configuration().version.value(),
                 .most_output_tokens = prompt_ ? prompt_->output_tokens : 0},
                timing_);
  if (const auto on_end = std::exchange(on_end_, nullptr)) {
    on_end();
  }
}

}  // namespace ochrespring::gateway
