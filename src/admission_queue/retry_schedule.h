// When rejected callers should come back, and which of them did. Pure; one loop.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/random.h"
#include "base/time.h"

namespace ochrespring::admission_queue {

/// Gives each rejected request a time of its own, one after another as places become free. A caller
/// that comes back sooner is told the same time again: it neither gains nor takes another's.
class RetrySchedule {
 public:
  static constexpr Duration kMinWait = std::chrono::milliseconds(20);
  static constexpr Duration kMaxWait = std::chrono::seconds(5);
  /// A caller may come back so much sooner or later than it was told.
  static constexpr Duration kEarlyTolerance = std::chrono::milliseconds(10);
  static constexpr Duration kLateTolerance = std::chrono::seconds(1);
  static constexpr std::size_t kMaxEntries = 4096;

  struct Rejected {
    std::uint64_t key = 0;     ///< Names the request.
    Duration time_to_drain{};  ///< Until those that wait now are gone.
    Duration interval{};       ///< Between two places that become free.
  };

  /// How long the caller should stay away.
  Duration reserve(const Rejected& rejected, RandomSource& random, MonotonicTime now);
  /// Whether the request comes when its caller was told to. Counts once.
  bool take(std::uint64_t key, MonotonicTime now);
  bool empty() const { return due_.empty(); }
  std::size_t size() const { return due_.size(); }

 private:
  void erase_expired(MonotonicTime now);

  std::unordered_map<std::uint64_t, MonotonicTime> due_;
  MonotonicTime last_{};    ///< The latest time that was given away in order.
  MonotonicTime latest_{};  ///< The latest one that is kept.
};

}  // namespace ochrespring::admission_queue
