// This node's share of a retry budget that all nodes draw on together without talking.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::gateway {

/// The whole fleet's bound: within any window, a service gets at most `ratio` times its requests
/// and `slack` more as repeats.
struct RetryBudgetSettings {
  double ratio = 0.1;
  double slack = 10;
  Duration window{std::chrono::seconds(10)};
};

/// Pure; per service. A node spends from its own requests and from its part of the slack, both
/// reduced by `kCaution`, since windows of nodes do not line up. What a node spent before it was
/// started again it does not know: for a window it has no part of the slack.
class RetryBudget {
 public:
  /// `started`: when the node did; none: long ago.
  explicit RetryBudget(RetryBudgetSettings settings, std::optional<MonotonicTime> started = {})
      : settings_(settings), started_(started) {}

  void set(const RetryBudgetSettings& settings) { settings_ = settings; }
  /// Counts a caller's request.
  void note_request(const ServiceName& service, MonotonicTime now);
  /// Takes one repeat out of the budget; false if there is none. `nodes` is at least 1.
  bool spend(const ServiceName& service, std::uint32_t nodes, MonotonicTime now);

 private:
  static constexpr double kCaution = 0.8;

  struct Window {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> repeats;
  };

  void forget_old(Window& window, MonotonicTime now) const;

  RetryBudgetSettings settings_;
  std::optional<MonotonicTime> started_;
  std::map<ServiceName, Window> windows_;
};

}  // namespace ochrespring::gateway
