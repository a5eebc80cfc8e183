#include "admission_queue/service_queue.h"

#include <algorithm>
#include <chrono>

namespace ochrespring::admission_queue {

using gateway::QueueRejectReason;
using gateway::QueueRequest;

namespace {

/// Upper bound on predicted waits: a rate near zero would overflow the duration.
constexpr double kMaxWaitSeconds = 3600;
/// An optimistic wait is the predicted wait divided by this.
constexpr int kOptimismDivisor = 2;
/// Between two assigned retry times if no rate is known.
constexpr Duration kDefaultInterval = std::chrono::milliseconds(50);

}  // namespace

Duration ServiceQueue::wait_behind(std::size_t ahead, MonotonicTime now) const {
  const auto rate = rate_.per_second(now);
  if (!rate) {
    return Duration::zero();
  }
  return from_seconds(std::min(static_cast<double>(ahead) / *rate, kMaxWaitSeconds));
}

Duration ServiceQueue::predicted_wait(const QueueRequest& request, MonotonicTime now) const {
  const Duration wait = wait_behind(requests_.ahead_of(request, now), now);
  if (request.begun || request.target <= now || now + wait / kOptimismDivisor <= request.target) {
    return wait;
  }
  // The target passes while the request waits; from then on, other late requests precede it, too.
  QueueRequest late = request;
  late.target = now;
  return wait_behind(requests_.ahead_of(late, now), now);
}

JoinDecision ServiceQueue::join(Handle handle, const QueueRequest& request,
                                const QueueLimits& limits, MonotonicTime now) {
  JoinDecision decision;
  decision.predicted_wait = predicted_wait(request, now);
  if (request.may_be_rejected()) {
    const MonotonicTime sent = now + decision.predicted_wait / kOptimismDivisor;
    const bool late = !request.room_seen && sent + kExpiryMargin >= request.deadline;
    decision.probe = late && ++predicted_late_ % kProbeInterval == 0;
    if (late && !decision.probe) {
      return decision;
    }
    if (!find_room(request, limits, decision.displaced)) {
      decision.displaced.clear();
      decision.reason = QueueRejectReason::kFull;
      return decision;
    }
  }
  decision.admitted = true;
  requests_.push(handle, request, now);
  rate_.set_waiting(true, now);
  return decision;
}

/// Displaces at most one request, so that a large body does not displace many small ones.
bool ServiceQueue::find_room(const QueueRequest& request, const QueueLimits& limits,
                             std::vector<Handle>& displaced) const {
  const auto fits = [&](std::size_t requests, std::size_t bytes) {
    return requests < limits.requests && bytes <= limits.bytes &&
           request.bytes <= limits.bytes - bytes;
  };
  if (fits(requests_.size(), requests_.bytes())) {
    return true;
  }
  const auto displaced_request = requests_.find_displaceable(request);
  if (!displaced_request) {
    return false;
  }
  displaced.push_back(*displaced_request);
  return fits(requests_.size() - 1, requests_.bytes() - requests_.bytes_of(*displaced_request));
}

bool ServiceQueue::remove(Handle handle, MonotonicTime now) {
  const bool removed = requests_.remove(handle);
  rate_.set_waiting(requests_.size() != 0, now);
  return removed;
}

bool ServiceQueue::serve(Handle handle, MonotonicTime now) {
  const bool served = requests_.serve(handle);
  rate_.set_waiting(requests_.size() != 0, now);
  return served;
}

void ServiceQueue::note_completion(MonotonicTime now) {
  rate_.note_completion(now);
}

Duration ServiceQueue::retry_after(std::uint64_t key, RandomSource& random, MonotonicTime now) {
  const auto rate = rate_.per_second(now);
  const Duration interval = rate ? from_seconds(1 / *rate) : kDefaultInterval;
  return retry_schedule_.reserve(
      {.key = key, .time_to_drain = wait_behind(requests_.size(), now), .interval = interval},
      random, now);
}

}  // namespace ochrespring::admission_queue
