#include "gateway/request_dispatch.h"

#include <utility>

namespace ochrespring::gateway {

void RequestDispatch::begin() {
  if (owner_.time_left() < kMinAttemptTime) {
    owner_.on_unsendable(FailureReason::kTimeout);
  } else if (check_guard()) {
    send_or_queue();
  }
}

void RequestDispatch::cancel() {
  ended_ = true;
  withdraw();
}

void RequestDispatch::withdraw() {
  queued_ = false;
  claim_pending_ = false;
  ++claims_;
  place_.reset();
}

bool RequestDispatch::check_guard() {
  RequestGuard* guard = environment_.guard;
  if (guard == nullptr || !guard->is_active() || trial_) {
    return true;
  }
  const SendVerdict verdict = guard->check(owner_.identity());
  if (verdict == SendVerdict::kAllowed) {
    return true;
  }
  // A trial without a back end would be used up without a send.
  if (verdict == SendVerdict::kTrialDue && owner_.may_claim_trial() && is_trial_possible(*guard)) {
    claim_trial(*guard);
  } else {
    owner_.on_unsendable(FailureReason::kQuarantined);
  }
  return false;
}

bool RequestDispatch::is_trial_possible(const RequestGuard& guard) const {
  PlacementRequest wanted = owner_.placement_request();
  wanted.avoid.merge(guard.terminated_backends());
  return environment_.placement.choose(wanted, environment_.clock.now()).runner.backend != nullptr;
}

void RequestDispatch::claim_trial(RequestGuard& guard) {
  guard.claim_trial(owner_.identity(), [weak = weak_from_this()](bool granted) {
    const auto self = weak.lock();
    if (!self || self->ended_) {
      return;
    }
    const std::shared_ptr<void> keep = self->owner_.keep_alive();
    self->trial_ = granted;
    if (granted) {
      self->begin();
    } else {
      self->owner_.on_unsendable(FailureReason::kQuarantined);
    }
  });
}

void RequestDispatch::send_or_queue() {
  const RequestQueue* queue = environment_.queue;
  if (queue == nullptr || !queue->enabled() || trial_ || admitted_at_send_ == owner_.sends()) {
    choose_and_send(Requirement::kNone);
    return;
  }
  QueueRequest request = owner_.queue_request();
  if (queue->has_waiting(request.service)) {
    join_behind_others(std::move(request));
  } else if (choose_and_send(Requirement::kRoom) == Outcome::kNoRoom) {
    join_queue(std::move(request));
  }
}

/// Joins the queue behind waiting requests. If a back end has room, `room_seen` is set, so that the
/// queue dispatches immediately, the waiting requests first, instead of rejecting.
void RequestDispatch::join_behind_others(QueueRequest request) {
  const MonotonicTime now = environment_.clock.now();
  const PlacementRequest wanted = owner_.placement_request();
  const PlacementPlan plan = environment_.placement.choose(wanted, now);
  if (plan.runner.backend == nullptr) {
    owner_.on_unsendable(no_backend_reason());
    return;
  }
  request.room_seen = fits(wanted, plan, now);
  join_queue(std::move(request));
}

bool RequestDispatch::fits(const PlacementRequest& wanted, const PlacementPlan& plan,
                           MonotonicTime now) const {
  return environment_.placement.has_room({.request = wanted,
                                          .target_latency = owner_.target_latency(),
                                          .profiles = environment_.profiles},
                                         plan, now);
}

void RequestDispatch::join_queue(QueueRequest request) {
  JoinResult result = environment_.queue->join(std::move(request), *this);
  if (result.place) {
    place_ = std::move(result.place);
    queued_ = true;
  } else if (result.rejection) {
    on_rejected(*result.rejection);
  } else {
    choose_and_send(Requirement::kNone);
  }
}

DispatchResult RequestDispatch::try_dispatch() {
  const std::shared_ptr<RequestDispatch> self = shared_from_this();
  const std::shared_ptr<void> keep = owner_.keep_alive();
  queued_ = false;
  if (owner_.time_left() < kMinAttemptTime) {
    owner_.on_unsendable(FailureReason::kTimeout);
    return DispatchResult::kLeftQueue;
  }
  queued_ = check_guard() && choose_and_send(Requirement::kRoomWhileQueued) == Outcome::kNoRoom;
  return queued_ ? DispatchResult::kNoRoom : DispatchResult::kLeftQueue;
}

void RequestDispatch::on_rejected(const QueueRejection& rejection) {
  const std::shared_ptr<RequestDispatch> self = shared_from_this();
  const std::shared_ptr<void> keep = owner_.keep_alive();
  queued_ = false;
  queue_retry_after_ = rejection.retry_after;
  owner_.on_unsendable(rejection.reason == QueueRejectReason::kStopping
                           ? FailureReason::kStopping
                           : FailureReason::kOverloaded);
}

RequestDispatch::Outcome RequestDispatch::choose_and_send(Requirement requirement) {
  const MonotonicTime now = environment_.clock.now();
  const PlacementRequest wanted = owner_.placement_request();
  // Each denial removes a back end from the candidates, so the loop terminates.
  bool denied = true;
  while (denied) {
    const PlacementPlan plan = environment_.placement.choose(wanted, now);
    if (plan.runner.backend == nullptr) {
      if (requirement == Requirement::kRoomWhileQueued && !forecast() && owner_.sends() == 0) {
        return Outcome::kNoRoom;
      }
      owner_.on_unsendable(no_backend_reason());
      return Outcome::kDone;
    }
    if (requirement != Requirement::kNone && !fits(wanted, plan, now)) {
      return Outcome::kNoRoom;
    }
    const bool prefill = plan.prefill.backend != nullptr;
    denied = !claim_and_start(prefill ? plan.prefill : plan.runner,
                              prefill ? SendKind::kPrefill : SendKind::kRun);
  }
  return Outcome::kDone;
}

std::optional<RoomForecast> RequestDispatch::forecast() const {
  return environment_.gate != nullptr
             ? environment_.gate->forecast(owner_.service(), environment_.clock.now())
             : std::nullopt;
}

FailureReason RequestDispatch::no_backend_reason() const {
  const auto room = forecast();
  if (!room) {
    return FailureReason::kNoBackend;
  }
  return room->backing_off ? FailureReason::kBackingOff : FailureReason::kRateLimited;
}

bool RequestDispatch::no_backend_accepts(bool include_tried) const {
  PlacementRequest wanted = owner_.placement_request();
  if (!wanted.software && !forecast()) {
    return false;
  }
  if (include_tried) {
    wanted.avoid.clear();
  }
  return environment_.placement.choose(wanted, environment_.clock.now()).runner.backend == nullptr;
}

Duration RequestDispatch::retry_after(FailureReason reason, Duration fallback) const {
  if (reason == FailureReason::kQuarantined) {
    return environment_.guard->retry_after(owner_.identity());
  }
  if (reason == FailureReason::kStopping) {
    // Other nodes can serve the request immediately.
    return {};
  }
  if (reason == FailureReason::kOverloaded) {
    return queue_retry_after_.value_or(fallback);
  }
  const auto room = forecast();
  return room && no_backend_accepts(true) ? room->wait : fallback;
}

/// Starts the attempt as soon as the back end's rate limit allows it. Returns false if the claim is
/// denied.
bool RequestDispatch::claim_and_start(const PlacementChoice& choice, SendKind kind) {
  ClaimResult result = ClaimResult::kGranted;
  if (environment_.gate != nullptr) {
    const SendRank rank = kind == SendKind::kResume ? kStartedStreamRank : owner_.send_rank();
    result = environment_.gate->claim(choice.backend->id, rank,
                                      [weak = weak_from_this(), claim = ++claims_,
                                       claimed = ClaimedSend::of(choice, kind)](bool granted) {
                                        if (const auto self = weak.lock()) {
                                          self->on_claim_settled(claim, claimed, granted);
                                        }
                                      });
    claim_pending_ = result == ClaimResult::kPending;
  }
  if (result == ClaimResult::kDenied) {
    owner_.note_denied(choice.backend->id);
    return false;
  }
  if (kind != SendKind::kResume) {
    admitted_at_send_ = owner_.sends();
  }
  if (result == ClaimResult::kGranted) {
    owner_.start_attempt(choice, kind);
  }
  return true;
}

void RequestDispatch::on_claim_settled(std::uint64_t claim, const ClaimedSend& claimed,
                                       bool granted) {
  if (ended_ || claim != claims_) {
    return;
  }
  claim_pending_ = false;
  on_claim(claimed, granted);
}

/// While the claim was pending, the back end may have been removed and the request quarantined, so
/// both are checked again.
void RequestDispatch::on_claim(const ClaimedSend& claimed, bool granted) {
  const std::shared_ptr<void> keep = owner_.keep_alive();
  const FleetState& fleet = environment_.fleet;
  const Backend* backend = fleet.find(claimed.backend);
  if (!granted) {
    owner_.note_denied(claimed.backend);
  }
  const bool open = environment_.gate->may_send(claimed.backend, environment_.clock.now());
  const bool may_run =
      backend != nullptr && (claimed.kind == SendKind::kPrefill || owner_.may_run_at(*backend));
  if (!granted || !may_run || !open || fleet.is_leaving(*backend)) {
    owner_.on_not_sent(claimed.kind);
    return;
  }
  if (owner_.time_left() < kMinAttemptTime) {
    owner_.on_unsendable(FailureReason::kTimeout);
  } else if (check_guard()) {
    owner_.start_attempt({.backend = backend,
                          .prefill_tokens = claimed.prefill_tokens,
                          .fetch_source = fleet.find(claimed.cache_source)},
                         claimed.kind);
  }
}

}  // namespace ochrespring::gateway
