// Assigns retry times to rejected callers and recognizes their retries. Performs no I/O and uses no
// timers; must be used from one event loop.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/random.h"
#include "base/time.h"

namespace ochrespring::admission_queue {

/// Assigns each rejected request its own retry time, successively as slots become free. A caller
/// that retries early gets the same time again: it gains no advantage and takes no other caller's
/// time.
class RetrySchedule {
 public:
  static constexpr Duration kMinWait = std::chrono::milliseconds(20);
  static constexpr Duration kMaxWait = std::chrono::seconds(5);
  /// How much earlier or later than its assigned time a caller may retry.
  static constexpr Duration kEarlyTolerance = std::chrono::milliseconds(10);
  static constexpr Duration kLateTolerance = std::chrono::seconds(1);
  static constexpr std::size_t kMaxEntries = 4096;

  struct RejectedRequest {
    std::uint64_t key = 0;     ///< Identifies the request.
    Duration time_to_drain{};  ///< Until the currently waiting requests have left.
    Duration interval{};       ///< Between two slots that become free.
  };

  /// Returns the time after which the caller should retry. Beyond kMaxEntries, times are not
  /// stored.
  Duration reserve(const RejectedRequest& rejected, RandomSource& random, MonotonicTime now);
  /// Returns whether the request is retried at its assigned time. Returns true only once per
  /// assignment.
  bool consume(std::uint64_t key, MonotonicTime now);
  bool empty() const { return due_.empty(); }
  std::size_t size() const { return due_.size(); }

 private:
  void erase_expired(MonotonicTime now);

  std::unordered_map<std::uint64_t, MonotonicTime> due_;
  MonotonicTime last_sequential_{};  ///< The latest time assigned in sequence.
  MonotonicTime latest_due_{};       ///< The latest stored time.
};

}  // namespace ochrespring::admission_queue
