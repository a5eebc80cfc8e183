// This node's share of the fleet's retry budget, computed without communication between nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::gateway {

/// Bound for the whole fleet: within any window, the retries of a service are at most `ratio` times
/// its requests plus `slack`.
struct RetryBudgetSettings {
  double ratio = 0.1;
  double slack = 10;
  Duration window{std::chrono::seconds(10)};
};

/// How much of a node's share of the budget is spent.
struct RetryBudgetUse {
  std::size_t charged = 0;  ///< Open retries, and those settled in the window.
  double allowed = 0;       ///< Retries that this node may charge in it.
};

/// Limits the retries of each service; times are passed as arguments. A retry counts from its
/// charge until one window after it is settled, so that the retries that back ends receive in one
/// window, whenever they were charged, are within the bound. A node may spend
/// `kSpendableShare` of the ratio of its own requests and of its part of the slack. The rest is
/// for restarted nodes: during its first window, a node may already have spent its whole share
/// before it was restarted, so it may spend only the remaining part of the ratio of the requests
/// that it receives.
class RetryBudget {
 public:
  /// `started` is the time at which the node started; none if that is longer ago than a window.
  explicit RetryBudget(RetryBudgetSettings settings, std::optional<MonotonicTime> started = {})
      : settings_(settings), started_at_(started) {}

  void set(const RetryBudgetSettings& settings) { settings_ = settings; }
  /// Counts a caller's request.
  void note_request(const ServiceName& service, MonotonicTime now);
  /// Charges one retry, which a back end may receive until it is settled. Returns false if the
  /// budget denies it. `nodes` is at least 1.
  bool open(const ServiceName& service, std::uint32_t nodes, MonotonicTime now);
  /// Back ends receive nothing more of this number of open retries.
  void settle(const ServiceName& service, std::uint32_t count, MonotonicTime now);
  RetryBudgetUse use(const ServiceName& service, std::uint32_t nodes, MonotonicTime now);

 private:
  static constexpr double kSpendableShare = 0.8;

  struct Window {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> settled;  ///< When retries were settled.
    std::size_t open = 0;               ///< Retries that are not settled.
  };

  void drop_expired(Window& window, MonotonicTime now) const;

  RetryBudgetSettings settings_;
  std::optional<MonotonicTime> started_at_;
  std::map<ServiceName, Window> windows_;
};

}  // namespace ochrespring::gateway
