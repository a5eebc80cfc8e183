#include "proxy/attempt_runner.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/headers.h"

namespace ochrespring::proxy {

namespace {

constexpr std::string_view kYes = "1";
/// Longest answer taken from a prefill engine.
constexpr std::size_t kLargestPrefillAnswer = 64U << 10U;
/// Reasons of "not run" that come of a planned change of the engine.
constexpr std::array<std::string_view, 5> kPlannedReasons = {"wrong-role", "wrong-model",
                                                             "draining", "changing", "stale-kv"};
/// Reason of "not run" that every back end would give.
constexpr std::string_view kMalformedReason = "malformed";

bool is_planned(std::string_view reason) {
  return std::find(kPlannedReasons.begin(), kPlannedReasons.end(), reason) != kPlannedReasons.end();
}

/// Statuses by which a gateway, or an overloaded back end, says it has no answer of its own.
bool is_retryable(std::uint16_t status) {
  return status == 502 || status == 503 || status == 504;
}

bool may_dispatch(const router::EngineView& engine, MonotonicTime now) {
  return !engine.draining && engine.phase == engine::EnginePhase::kServing &&
         now < engine.dispatchable_until;
}

}  // namespace

/// One exchange with one engine. Destroyed inside its own callbacks, which therefore end with the
/// call of the runner.
class AttemptRunner::Leg final : public AttemptObserver {
 public:
  Leg(AttemptRunner& runner, EngineId engine, Endpoint endpoint)
      : runner_(&runner), engine_(std::move(engine)), endpoint_(std::move(endpoint)) {}

  void start(BackendClient& backends, BackendRequest request) {
    attempt_ = backends.start(std::move(request), *this);
  }
  /// Reports nothing any more.
  void mute() { runner_ = nullptr; }
  void set_reading(bool reading) { attempt_->set_reading(reading); }
  const EngineId& engine() const { return engine_; }
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  void on_head(const BackendResponseHead& head) override {
    if (runner_ != nullptr) {
      runner_->on_head(head);
    }
  }
  void on_body(std::string_view bytes) override {
    if (runner_ != nullptr) {
      runner_->on_body(bytes);
    }
  }
  void on_complete() override {
    if (runner_ != nullptr) {
      runner_->on_complete();
    }
  }
  void on_failure(AttemptFailure failure, Outcome outcome) override {
    if (runner_ != nullptr) {
      runner_->on_failure(failure, outcome);
    }
  }

  AttemptRunner* runner_;
  EngineId engine_;
  Endpoint endpoint_;
  std::unique_ptr<Attempt> attempt_;
};

AttemptRunner::AttemptRunner(RequestContext& context, AttemptListener& listener)
    : context_(context), listener_(listener) {}

AttemptRunner::~AttemptRunner() {
  cancel();
  release_source();
}

std::optional<AttemptFault> AttemptRunner::start(const ParsedRequest& request,
                                                 const router::RouteDecision& decision,
                                                 std::uint64_t resume_offset,
                                                 MonotonicTime claim_valid_until) {
  cancel();
  request_ = &request;
  decision_ = decision;
  resume_offset_ = resume_offset;
  claim_valid_until_ = claim_valid_until;
  kv_handle_.clear();
  prefill_answer_.clear();
  if (source_) {
    // The engine that is left still holds the stream's KV cache, under the request's id.
    kv_handle_ = request.route.id.value();
    kv_source_ = source_->endpoint();
    return dispatch(decision_.engine, Phase::kAnswer);
  }
  if (decision_.prefill_engine) {
    return dispatch(*decision_.prefill_engine, Phase::kPrefill);
  }
  return dispatch(decision_.engine, Phase::kAnswer);
}

std::optional<AttemptFault> AttemptRunner::dispatch(const EngineId& engine, Phase phase) {
  const MonotonicTime now = context_.environment.clock.now();
  const router::EngineView* view = context_.find_engine(engine);
  if (view == nullptr || !may_dispatch(*view, now) || now >= claim_valid_until_) {
    ++context_.statistics.lapsed_grants;
    return AttemptFault{.failure = AttemptFailure::kGrantLapsed,
                        .outcome = Outcome::kNotRun,
                        .engine = engine,
                        .planned = true,
                        .reason = "the routing grant or the claim is over"};
  }
  phase_ = phase;
  engine_ = engine;
  ++context_.statistics.attempts;
  context_.in_flight.add(engine);
  context_.breakers.on_start(engine, now);
  leg_ = std::make_unique<Leg>(*this, engine, view->endpoint);
  leg_->start(context_.environment.backends, make_request(*view, phase));
  return std::nullopt;
}

BackendRequest AttemptRunner::make_request(const router::EngineView& engine, Phase phase) const {
  BackendRequest made;
  made.id = request_->route.id;
  made.endpoint = engine.endpoint;
  made.method = request_->method;
  made.path = request_->path;
  made.headers = request_->headers;
  made.body = request_->body;
  made.deadline = request_->route.deadline;
  made.repeatable = request_->repeatable;
  made.send_before = std::min(engine.dispatchable_until, claim_valid_until_);
  const auto add = [&](std::string_view name, std::string value) {
    made.headers.push_back({std::string(name), std::move(value)});
  };
  std::erase_if(made.headers,
                [](const Header& header) { return header.name == header::kPriority; });
  add(header::kPriority, std::to_string(request_->route.priority));
  if (phase == Phase::kPrefill) {
    add(header::kPrefillOnly, std::string(kYes));
  }
  if (phase == Phase::kAnswer && resume_offset_ != 0) {
    add(header::kResumeOffset, std::to_string(resume_offset_));
  }
  if (phase == Phase::kAnswer && !kv_handle_.empty()) {
    add(header::kKvSource, kv_source_.value());
    add(header::kKvHandle, kv_handle_);
  }
  return made;
}

void AttemptRunner::release_leg() {
  leg_.reset();
  context_.in_flight.remove(engine_);
}

void AttemptRunner::cancel() {
  if (!leg_) {
    return;
  }
  context_.breakers.on_neutral(engine_);
  release_leg();
}

void AttemptRunner::retire_as_source() {
  release_source();
  if (!leg_) {
    return;
  }
  context_.breakers.on_neutral(engine_);
  source_ = std::move(leg_);
  source_->mute();
}

void AttemptRunner::release_source() {
  if (!source_) {
    return;
  }
  const EngineId engine = source_->engine();
  source_.reset();
  context_.in_flight.remove(engine);
}

void AttemptRunner::reject() {
  if (!leg_) {
    return;
  }
  context_.breakers.on_failure(engine_, context_.environment.clock.now());
  release_leg();
}

void AttemptRunner::set_reading(bool reading) {
  if (leg_) {
    leg_->set_reading(reading);
  }
}

bool AttemptRunner::check_echo(const BackendResponseHead& head) {
  if (http::find_header(head.headers, header::kRequestId) == request_->route.id.value()) {
    return true;
  }
  ++context_.statistics.crossed_answers;
  fail({.failure = AttemptFailure::kCrossed, .reason = "the answer is to another request"});
  return false;
}

bool AttemptRunner::check_run(const BackendResponseHead& head) {
  if (http::find_header(head.headers, header::kNotRun) == kYes) {
    refuse(http::find_header(head.headers, header::kNotRunReason));
    return false;
  }
  if (request_->repeatable && is_retryable(head.status)) {
    fail({.reason = "the back end answered with status " + std::to_string(head.status)});
    return false;
  }
  return true;
}

void AttemptRunner::refuse(std::string_view reason) {
  fail({.failure = AttemptFailure::kRefused,
        .outcome = Outcome::kNotRun,
        .planned = is_planned(reason),
        .permanent = reason == kMalformedReason,
        .reason = "the back end refused: " + std::string(reason)});
}

void AttemptRunner::on_head(const BackendResponseHead& head) {
  if (!check_echo(head) || !check_run(head)) {
    return;
  }
  release_source();
  if (phase_ == Phase::kAnswer) {
    listener_.on_answer_head(head);
  }
}

void AttemptRunner::on_body(std::string_view bytes) {
  if (phase_ == Phase::kAnswer) {
    listener_.on_answer_body(bytes);
    return;
  }
  prefill_answer_.append(bytes);
  if (prefill_answer_.size() > kLargestPrefillAnswer) {
    fail({.failure = AttemptFailure::kTruncated, .reason = "the prefill's answer is too large"});
  }
}

void AttemptRunner::on_complete() {
  context_.breakers.on_success(engine_);
  if (phase_ == Phase::kPrefill) {
    finish_prefill();
    return;
  }
  release_leg();
  listener_.on_answer_complete();
}

void AttemptRunner::finish_prefill() {
  const auto answer = nlohmann::json::parse(prefill_answer_, nullptr, false);
  const auto handle = answer.is_object() ? answer.find("kv_handle") : answer.end();
  if (!answer.is_object() || handle == answer.end() || !handle->is_string()) {
    fail({.failure = AttemptFailure::kTruncated,
          .reason = "the prefill's answer names no KV cache"});
    return;
  }
  kv_handle_ = handle->get<std::string>();
  kv_source_ = leg_->endpoint();
  release_leg();
  if (const auto fault = dispatch(decision_.engine, Phase::kAnswer)) {
    listener_.on_attempt_failed(*fault);
  }
}

void AttemptRunner::on_failure(AttemptFailure failure, Outcome outcome) {
  if (failure == AttemptFailure::kGrantLapsed) {
    ++context_.statistics.lapsed_grants;
  }
  if (failure == AttemptFailure::kTruncated) {
    ++context_.statistics.truncated_answers;
  }
  fail({.failure = failure,
        .outcome = outcome,
        .planned = failure == AttemptFailure::kGrantLapsed,
        .reason = "the back end failed"});
}

/// Ends the leg, counts it against its engine, and reports it.
void AttemptRunner::fail(AttemptFault fault) {
  fault.engine = engine_;
  // A refusal shows that the back end lives.
  if (fault.planned || fault.failure == AttemptFailure::kRefused) {
    context_.breakers.on_neutral(engine_);
  } else {
    context_.breakers.on_failure(engine_, context_.environment.clock.now());
  }
  release_leg();
  release_source();
  listener_.on_attempt_failed(fault);
}

}  // namespace ochrespring::proxy
