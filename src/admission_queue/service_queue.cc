#include "admission_queue/service_queue.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::admission_queue {

using gateway::QueueRejectReason;
using gateway::QueueRequest;

namespace {

/// A rate near zero would overflow a duration; nobody waits longer.
constexpr double kLongestWaitSeconds = 3600;
/// An optimistic wait, as a part of the predicted one.
constexpr int kOptimism = 2;
/// Between two callers that come back, where no rate is known.
constexpr Duration kUsualInterval = std::chrono::milliseconds(50);

}  // namespace

Duration ServiceQueue::wait_behind(std::size_t ahead, MonotonicTime now) const {
  const auto rate = rate_.per_second(now);
  if (!rate) {
    return Duration::zero();
  }
  return from_seconds(std::min(static_cast<double>(ahead) / *rate, kLongestWaitSeconds));
}

Duration ServiceQueue::predicted_wait(const QueueRequest& request, MonotonicTime now) const {
  const Duration wait = wait_behind(line_.ahead_of(request, now), now);
  if (request.begun || request.target <= now || now + wait / kOptimism <= request.target) {
    return wait;
  }
  // Its target passes while it waits: from then on others that are late go first, too.
  QueueRequest late = request;
  late.target = now;
  return wait_behind(line_.ahead_of(late, now), now);
}

JoinDecision ServiceQueue::join(Handle handle, const QueueRequest& request,
                                const QueueLimits& limits, MonotonicTime now) {
  JoinDecision decision;
  decision.predicted_wait = predicted_wait(request, now);
  if (request.may_be_rejected()) {
    const MonotonicTime sent = now + decision.predicted_wait / kOptimism;
    const bool late = !request.room_seen && sent + kExpiryMargin >= request.deadline;
    decision.probe = late && ++predicted_late_ % kProbeEvery == 0;
    if (late && !decision.probe) {
      return decision;
    }
    if (!make_room(request, limits, decision.displaced)) {
      decision.displaced.clear();
      decision.reason = QueueRejectReason::kFull;
      return decision;
    }
  }
  decision.admitted = true;
  line_.push(handle, request, now);
  rate_.set_waiting(true, now);
  return decision;
}

/// Displaces one request at most: a large body does not push out many small ones.
bool ServiceQueue::make_room(const QueueRequest& request, const QueueLimits& limits,
                             std::vector<Handle>& displaced) const {
  const auto fits = [&](std::size_t requests, std::size_t bytes) {
    return requests < limits.requests && bytes <= limits.bytes &&
           request.bytes <= limits.bytes - bytes;
  };
  if (fits(line_.size(), line_.bytes())) {
    return true;
  }
  const auto victim = line_.displaced_by(request);
  if (!victim) {
    return false;
  }
  displaced.push_back(*victim);
  return fits(line_.size() - 1, line_.bytes() - line_.bytes_of(*victim));
}

bool ServiceQueue::remove(Handle handle, MonotonicTime now) {
  const bool removed = line_.remove(handle);
  rate_.set_waiting(line_.size() != 0, now);
  return removed;
}

bool ServiceQueue::serve(Handle handle, MonotonicTime now) {
  const bool served = line_.serve(handle);
  rate_.set_waiting(line_.size() != 0, now);
  return served;
}

void ServiceQueue::note_completion(MonotonicTime now) {
  rate_.note_completion(now);
}

Duration ServiceQueue::retry_after(std::uint64_t key, RandomSource& random, MonotonicTime now) {
  const auto rate = rate_.per_second(now);
  const Duration interval = rate ? from_seconds(1 / *rate) : kUsualInterval;
  return returns_.reserve(
      {.key = key, .drain = wait_behind(line_.size(), now), .interval = interval}, random, now);
}

}  // namespace ochrespring::admission_queue
