// The queue of one service at one node: who may wait, how long that will take, and when those that
// may not should come back. Pure; one loop.
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

/// Bounds of the queue of one service at one node.
struct QueueLimits {
  std::size_t requests = 0;  ///< 0: nothing queues.
  std::size_t bytes = std::size_t{16} << 20U;
};

/// What is decided of a request that would wait.
struct JoinDecision {
  bool admitted = false;
  /// Even an optimistic prediction came too late, and the request was admitted to test it.
  bool probe = false;
  gateway::QueueRejectReason reason = gateway::QueueRejectReason::kTooLate;  ///< If not admitted.
  Duration predicted_wait{};
  std::vector<Handle> displaced;  ///< Still wait; to be rejected, so that this one fits.
};

class ServiceQueue {
 public:
  /// Of the requests that a prediction would reject, one in so many is admitted.
  static constexpr std::uint32_t kProbeInterval = 16;
  /// A request is rejected so long before its deadline, so that the answer arrives in time.
  static constexpr Duration kExpiryMargin = std::chrono::milliseconds(20);

  JoinDecision join(Handle handle, const gateway::QueueRequest& request, const QueueLimits& limits,
                    MonotonicTime now);
  bool remove(Handle handle, MonotonicTime now);
  bool serve(Handle handle, MonotonicTime now);
  void note_completion(MonotonicTime now);
  /// Zero while nothing is known.
  Duration predicted_wait(const gateway::QueueRequest& request, MonotonicTime now) const;
  /// For a caller of the request `key` that is rejected now.
  Duration retry_after(std::uint64_t key, RandomSource& random, MonotonicTime now);
  FairQueue& requests() { return requests_; }
  const FairQueue& requests() const { return requests_; }
  RetrySchedule& retry_schedule() { return retry_schedule_; }

 private:
  Duration wait_behind(std::size_t ahead, MonotonicTime now) const;
  /// Whether the request fits, if those that are named in `displaced` leave.
  bool find_room(const gateway::QueueRequest& request, const QueueLimits& limits,
                 std::vector<Handle>& displaced) const;

  FairQueue requests_;
  CompletionRate rate_;
  RetrySchedule retry_schedule_;
  std::uint32_t predicted_late_ = 0;
};

}  // namespace ochrespring::admission_queue
