#include "gateway/request_dispatch.h"

#include <utility>

namespace ochrespring::gateway {

void RequestDispatch::begin() {
  if (owner_.time_left() < kLeastTime) {
    owner_.give_up(FailureReason::kTimeout);
  } else if (passes_guard()) {
    send_or_queue();
  }
}

void RequestDispatch::cancel() {
  ended_ = true;
  place_.reset();
}

bool RequestDispatch::passes_guard() {
  RequestGuard* guard = environment_.guard;
  if (guard == nullptr || !guard->watching() || trial_) {
    return true;
  }
  const SendVerdict verdict = guard->judge(owner_.fingerprint());
  if (verdict == SendVerdict::kAllowed) {
    return true;
  }
  if (verdict == SendVerdict::kTrialDue && owner_.may_claim_trial()) {
    claim_trial(*guard);
  } else {
    owner_.give_up(FailureReason::kQuarantined);
  }
  return false;
}

void RequestDispatch::claim_trial(RequestGuard& guard) {
  guard.claim_trial(owner_.fingerprint(), [weak = weak_from_this()](bool granted) {
    const auto self = weak.lock();
    if (!self || self->ended_) {
      return;
    }
    const std::shared_ptr<void> keep = self->owner_.keep_alive();
    self->trial_ = granted;
    if (granted) {
      self->begin();
    } else {
      self->owner_.give_up(FailureReason::kQuarantined);
    }
  });
}

void RequestDispatch::send_or_queue() {
  const RequestQueue* queue = environment_.queue;
  if (queue == nullptr || !queue->enabled() || trial_ || admitted_at_ == owner_.sends()) {
    place(Demand::kNothing);
    return;
  }
  QueueRequest request = owner_.queue_request();
  if (queue->has_waiting(request.service)) {
    join_behind_others(std::move(request));
  } else if (place(Demand::kRoom) == Outcome::kNoRoom) {
    join_queue(std::move(request));
  }
}

/// Where there is room, those that wait are sent first; none is rejected then.
void RequestDispatch::join_behind_others(QueueRequest request) {
  const MonotonicTime now = environment_.clock.now();
  const PlacementRequest wanted = owner_.placement_request();
  const PlacementPlan plan = environment_.placement.choose(wanted, now);
  if (plan.runner.backend == nullptr) {
    owner_.give_up(reason_of_no_backend());
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
  } else if (result.rejection) {
    on_rejected(*result.rejection);
  } else {
    place(Demand::kNothing);
  }
}

QueueTurn RequestDispatch::take_turn() {
  const std::shared_ptr<RequestDispatch> self = shared_from_this();
  const std::shared_ptr<void> keep = owner_.keep_alive();
  if (owner_.time_left() < kLeastTime) {
    owner_.give_up(FailureReason::kTimeout);
    return QueueTurn::kTaken;
  }
  const bool waits = passes_guard() && place(Demand::kTurn) == Outcome::kNoRoom;
  return waits ? QueueTurn::kNoRoom : QueueTurn::kTaken;
}

void RequestDispatch::on_rejected(const QueueRejection& rejection) {
  const std::shared_ptr<RequestDispatch> self = shared_from_this();
  const std::shared_ptr<void> keep = owner_.keep_alive();
  queue_retry_after_ = rejection.retry_after;
  owner_.give_up(rejection.reason == QueueRejectReason::kStopping ? FailureReason::kStopping
                                                                  : FailureReason::kOverloaded);
}

RequestDispatch::Outcome RequestDispatch::place(Demand demand) {
  const MonotonicTime now = environment_.clock.now();
  const PlacementRequest wanted = owner_.placement_request();
  // Each denial takes a back end out of the candidates.
  bool denied = true;
  while (denied) {
    const PlacementPlan plan = environment_.placement.choose(wanted, now);
    if (plan.runner.backend == nullptr) {
      if (demand == Demand::kTurn && !forecast() && owner_.sends() == 0) {
        return Outcome::kNoRoom;
      }
      owner_.give_up(reason_of_no_backend());
      return Outcome::kDone;
    }
    if (demand != Demand::kNothing && !fits(wanted, plan, now)) {
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

FailureReason RequestDispatch::reason_of_no_backend() const {
  const auto room = forecast();
  if (!room) {
    return FailureReason::kNoBackend;
  }
  return room->backing_off ? FailureReason::kBackingOff : FailureReason::kRateLimited;
}

bool RequestDispatch::is_closed_everywhere(bool tried_too) const {
  if (!forecast()) {
    return false;
  }
  PlacementRequest wanted = owner_.placement_request();
  if (tried_too) {
    wanted.avoid.clear();
  }
  return environment_.placement.choose(wanted, environment_.clock.now()).runner.backend == nullptr;
}

Duration RequestDispatch::retry_after(FailureReason reason, Duration usual) const {
  if (reason == FailureReason::kQuarantined) {
    return environment_.guard->retry_after(owner_.fingerprint());
  }
  if (reason == FailureReason::kStopping) {
    // Other nodes serve it now.
    return {};
  }
  if (reason == FailureReason::kOverloaded) {
    return queue_retry_after_.value_or(usual);
  }
  const auto room = forecast();
  return room && is_closed_everywhere(true) ? room->wait : usual;
}

/// Sends the request once the back end's rate limit allows it. False: it does not, now.
bool RequestDispatch::claim_and_start(const PlacementChoice& choice, SendKind kind) {
  ClaimResult result = ClaimResult::kGranted;
  if (environment_.gate != nullptr) {
    const SendRank rank = kind == SendKind::kContinuation ? kBegunStreamRank : owner_.send_rank();
    result = environment_.gate->claim(
        choice.backend->id, rank,
        [weak = weak_from_this(), claimed = ClaimedSend::of(choice, kind)](bool granted) {
          const auto self = weak.lock();
          if (self && !self->ended_) {
            self->on_claim(claimed, granted);
          }
        });
  }
  if (result == ClaimResult::kDenied) {
    owner_.note_denied(choice.backend->id);
    return false;
  }
  if (kind != SendKind::kContinuation) {
    admitted_at_ = owner_.sends();
  }
  if (result == ClaimResult::kGranted) {
    owner_.start_attempt(choice, kind);
  }
  return true;
}

/// What was chosen may have gone, and the request become guilty, while the claim was out.
void RequestDispatch::on_claim(const ClaimedSend& claimed, bool granted) {
  const std::shared_ptr<void> keep = owner_.keep_alive();
  const FleetState& fleet = environment_.fleet;
  const Backend* backend = fleet.find(claimed.backend);
  if (!granted) {
    owner_.note_denied(claimed.backend);
  }
  const bool open = environment_.gate->may_send(claimed.backend, environment_.clock.now());
  if (!granted || backend == nullptr || !open || fleet.is_leaving(*backend)) {
    owner_.dispatch_unsent(claimed.kind);
    return;
  }
  if (owner_.time_left() < kLeastTime) {
    owner_.give_up(FailureReason::kTimeout);
  } else if (passes_guard()) {
    owner_.start_attempt({.backend = backend,
                          .prefill_tokens = claimed.unread_tokens,
                          .fetch_source = fleet.find(claimed.cache_source)},
                         claimed.kind);
  }
}

}  // namespace ochrespring::gateway
