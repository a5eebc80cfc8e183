// Compares the arrivals at back ends with the retry budget, in every window.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "gateway/retry_budget.h"

namespace ochrespring::gateway::testing {

/// Records the requests for one service and the arrivals beyond the first of each request, both in
/// order of time.
class WindowUse {
 public:
  explicit WindowUse(const RetryBudgetSettings& budget) : budget_(budget) {}

  void note_request(MonotonicTime now) { requests_.push_back(now); }
  void note_extra_arrival(MonotonicTime now) { extra_arrivals_.push_back(now); }
  std::size_t extra_arrivals() const { return extra_arrivals_.size(); }

  /// Highest number of extra arrivals in any window, as a fraction of what the budget allows there.
  double highest() const {
    double highest = 0;
    for (const MonotonicTime at : extra_arrivals_) {
      for (const MonotonicTime start : {at, at - budget_.window}) {
        highest = std::max(highest, count(extra_arrivals_, start) / allowed(start));
      }
    }
    return highest;
  }

 private:
  double count(const std::vector<MonotonicTime>& times, MonotonicTime start) const {
    const auto first = std::lower_bound(times.begin(), times.end(), start);
    const auto last = std::upper_bound(first, times.end(), start + budget_.window);
    return static_cast<double>(last - first);
  }
  /// Requests count in whichever window holds the most: the one that begins at `start`, the one
  /// before, or the one half a window before.
  double allowed(MonotonicTime start) const {
    const double most =
        std::max({count(requests_, start), count(requests_, start - budget_.window / 2),
                  count(requests_, start - budget_.window)});
    return budget_.ratio * most + budget_.slack;
  }

  RetryBudgetSettings budget_;
  std::vector<MonotonicTime> requests_;
  std::vector<MonotonicTime> extra_arrivals_;
};

}  // namespace ochrespring::gateway::testing
