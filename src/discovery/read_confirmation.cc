#include "discovery/read_confirmation.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace ochrespring::discovery {

namespace {

/// Part of the time for which requests wait, at most, between two reads: a request that arrives
/// right behind the beginning of one is still served by the next.
constexpr int kMaxDistancePercent = 75;

}  // namespace

void ReadConfirmation::await(MonotonicTime as_of, Done done) {
  if (confirmed_at_ && *confirmed_at_ >= as_of) {
    done(true);
    return;
  }
  const bool failing = failed_until_ && clock_.now() < *failed_until_;
  if (slow_ || stale_ || failing || waiters_.size() >= kMaxWaiters) {
    done(false);
    return;
  }
  waiters_.push_back({as_of, clock_.now() + timeout_, std::move(done)});
  arm_timeout();
  schedule_read();
}

void ReadConfirmation::note_read(MonotonicTime begun, bool succeeded) {
  slow_ = false;
  stale_ = false;
  if (!succeeded) {
    failed_until_ = clock_.now() + kRetryDelay;
    complete([](const Waiter& /*any*/) { return true; }, false);
    return;
  }
  failed_until_.reset();
  confirmed_at_ = std::max(confirmed_at_.value_or(begun), begun);
  complete([at = *confirmed_at_](const Waiter& waiter) { return waiter.as_of <= at; }, true);
  schedule_read();
}

void ReadConfirmation::note_stale() {
  slow_ = false;
  stale_ = true;
  complete([](const Waiter& /*any*/) { return true; }, false);
}

void ReadConfirmation::note_unconfirmed() {
  slow_ = false;
  stale_ = false;
  schedule_read();
}

void ReadConfirmation::schedule_read() {
  if (waiters_.empty() || read_timer_.armed()) {
    return;
  }
  const Duration for_fleet =
      std::min(kReadDistancePerNode * static_cast<std::int64_t>(source_.node_count()),
               timeout_ * kMaxDistancePercent / 100);
  const Duration distance = std::max(kMinReadDistance, for_fleet);
  const MonotonicTime now = clock_.now();
  const MonotonicTime due = last_read_ ? *last_read_ + distance : now;
  if (due > now) {
    read_timer_.arm(due - now, [this] { schedule_read(); });
    return;
  }
  if (source_.read()) {
    last_read_ = now;
  }
}

void ReadConfirmation::arm_timeout() {
  if (!waiters_.empty() && !timeout_timer_.armed()) {
    const Duration left = waiters_.front().deadline - clock_.now();
    timeout_timer_.arm(std::max(left, Duration::zero()), [this] { on_timeout(); });
  }
}

void ReadConfirmation::on_timeout() {
  const MonotonicTime now = clock_.now();
  if (!waiters_.empty() && now - waiters_.front().deadline > timeout_) {
    // This node was suspended: an answer may already be waiting and is processed first.
    for (Waiter& waiter : waiters_) {
      waiter.deadline = std::max(waiter.deadline, now + timeout_);
    }
  } else {
    const auto expired = [now](const Waiter& waiter) { return waiter.deadline <= now; };
    slow_ = slow_ || std::any_of(waiters_.begin(), waiters_.end(), expired);
    complete(expired, false);
  }
  arm_timeout();
}

void ReadConfirmation::complete(const std::function<bool(const Waiter&)>& ended, bool confirmed) {
  const auto kept = std::stable_partition(waiters_.begin(), waiters_.end(), std::not_fn(ended));
  std::vector<Waiter> completed(std::make_move_iterator(kept),
                                std::make_move_iterator(waiters_.end()));
  waiters_.erase(kept, waiters_.end());
  if (waiters_.empty()) {
    read_timer_.disarm();
    timeout_timer_.disarm();
  }
  for (const Waiter& waiter : completed) {
    waiter.done(confirmed);
  }
}

}  // namespace ochrespring::discovery
