// Remembers which prompt parts were answered lately.
#pragma once

#include <chrono>
#include <cstddef>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gateway/request_fingerprint.h"

namespace ochrespring::quarantine {

/// Bounds of RecentAnswers.
struct RecentAnswersOptions {
  /// A part is remembered for at least this long after its last answer, and at most twice as long,
  /// unless the memory is full.
  Duration min_lifetime{std::chrono::minutes(5)};
  std::size_t max_parts = 4096;  ///< In each of two generations, about 50 bytes each.
};

/// Remembers prompt parts in two generations, of which the older is dropped as a whole. Adding a
/// part takes constant time. Not thread-safe.
class RecentAnswers {
 public:
  explicit RecentAnswers(RecentAnswersOptions options = {}) : options_(options) {}

  void note(const std::vector<gateway::RequestFingerprint>& parts, MonotonicTime now) {
    drop_old(now);
    for (const gateway::RequestFingerprint& part : parts) {
      if (current_.size() == options_.max_parts) {
        rotate(now);
      }
      current_.insert(part);
    }
  }
  bool contains(const gateway::RequestFingerprint& part, MonotonicTime now) {
    drop_old(now);
    return current_.contains(part) || previous_.contains(part);
  }

 private:
  void rotate(MonotonicTime now) {
    previous_ = std::exchange(current_, {});
    rotated_at_ = now;
  }
  void drop_old(MonotonicTime now) {
    if (now - rotated_at_ > 2 * options_.min_lifetime) {
      current_.clear();
    }
    if (now - rotated_at_ > options_.min_lifetime) {
      rotate(now);
    }
  }

  RecentAnswersOptions options_;
  std::unordered_set<gateway::RequestFingerprint> current_;
  std::unordered_set<gateway::RequestFingerprint> previous_;
  MonotonicTime rotated_at_{};
};

}  // namespace ochrespring::quarantine
