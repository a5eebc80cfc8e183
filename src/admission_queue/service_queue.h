// The queue of one service at one node.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "admission_queue/completion_rate.h"
#include "admission_queue/fair_queue.h"
#include "admission_queue/retry_schedule.h"
#include "base/random.h"

namespace ochrespring::admission_queue {

/// Limits of the queue of one service at one node.
struct QueueLimits {
  std::size_t requests = 0;                    ///< 0: queueing is disabled.
  std::size_t bytes = std::size_t{16} << 20U;  ///< Total size of the bodies.
};

/// The decision on a request that would have to wait.
struct JoinDecision {
  bool admitted = false;
  /// Even the optimistic prediction was too late, and the request was admitted to test the
  /// prediction.
  bool probe = false;
  gateway::QueueRejectReason reason = gateway::QueueRejectReason::kTooLate;  ///< If not admitted.
  Duration predicted_wait{};
  std::vector<Handle> displaced;  ///< Still queued; must be rejected to make room for the request.
};

/// Decides which requests may wait, predicts their wait, and assigns retry times to rejected ones.
/// Performs no I/O and uses no timers; must be used from one event loop.
class ServiceQueue {
 public:
  /// One in this many requests with a late prediction is admitted as a probe.
  static constexpr std::uint32_t kProbeInterval = 16;
  /// A request is rejected this long before its deadline, so that the caller receives the answer in
  /// time.
  static constexpr Duration kExpiryMargin = std::chrono::milliseconds(20);

  JoinDecision join(Handle handle, const gateway::QueueRequest& request, const QueueLimits& limits,
                    MonotonicTime now);
  /// Removes a request that left or was rejected. Returns false if it is not in the queue.
  bool remove(Handle handle, MonotonicTime now);
  /// Removes a request that was sent. Returns false if it is not in the queue.
  bool serve(Handle handle, MonotonicTime now);
  void note_completion(MonotonicTime now);
  /// Returns zero while no rate is known.
  Duration predicted_wait(const gateway::QueueRequest& request, MonotonicTime now) const;
  /// Returns the retry time for a caller whose request `key` is rejected now.
  Duration retry_after(std::uint64_t key, RandomSource& random, MonotonicTime now);
  FairQueue& requests() { return requests_; }
  const FairQueue& requests() const { return requests_; }
  RetrySchedule& retry_schedule() { return retry_schedule_; }

 private:
  Duration wait_behind(std::size_t ahead, MonotonicTime now) const;
  /// Returns whether the request fits once the requests in `displaced` have left.
  bool find_room(const gateway::QueueRequest& request, const QueueLimits& limits,
                 std::vector<Handle>& displaced) const;

  FairQueue requests_;
  CompletionRate rate_;
  RetrySchedule retry_schedule_;
  std::uint32_t predicted_late_ = 0;
};

}  // namespace ochrespring::admission_queue
