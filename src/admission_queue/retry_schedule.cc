#include "admission_queue/retry_schedule.h"

#include <algorithm>

namespace ochrespring::admission_queue {

Duration RetrySchedule::reserve(const RejectedRequest& rejected, RandomSource& random,
                                MonotonicTime now) {
  if (const auto found = due_.find(rejected.key); found != due_.end() && found->second > now) {
    return std::max(found->second - now, kMinWait);
  }
  const MonotonicTime end = now + kMaxWait;
  const MonotonicTime first = now + std::clamp(rejected.time_to_drain, kMinWait, kMaxWait);
  MonotonicTime due = std::max(first, last_sequential_ + std::min(rejected.interval, kMaxWait));
  if (due > end) {
    // More requests were rejected than slots become free within the maximum wait.
    const Duration min_wait = std::min<Duration>(first - now, kMaxWait / 2);
    due = now + min_wait + random.part_of(kMaxWait - min_wait);
  } else {
    last_sequential_ = due;
  }
  if (due_.size() >= kMaxEntries) {
    erase_expired(now);
  }
  if (due_.size() < kMaxEntries) {
    due_[rejected.key] = due;
    latest_due_ = std::max(latest_due_, due);
  }
  return due - now;
}

bool RetrySchedule::consume(std::uint64_t key, MonotonicTime now) {
  if (latest_due_ + kLateTolerance < now) {
    // Retries of a past overload need not be looked up for every new request.
    due_.clear();
  }
  const auto found = due_.find(key);
  if (found == due_.end() || now < found->second - kEarlyTolerance) {
    return false;
  }
  const bool in_time = now <= found->second + kLateTolerance;
  due_.erase(found);
  return in_time;
}

void RetrySchedule::erase_expired(MonotonicTime now) {
  std::erase_if(due_, [&](const auto& entry) { return entry.second + kLateTolerance < now; });
}

}  // namespace ochrespring::admission_queue
