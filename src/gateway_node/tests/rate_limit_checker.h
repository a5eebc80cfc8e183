// Counts what a server gets beside the rate limit that it names, as the operators count it: a fault
// of a node excuses what that node sends.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

/// A rate limit that a server names, from one time on, until `until`.
struct NamedLimit {
  Endpoint server;
  double per_second = 0;
  MonotonicTime from{};
  MonotonicTime until{};
};

struct LimitCount {
  std::size_t worst = 0;  ///< Requests in the worst window.
  double allowed = 0;     ///< In any window.
  double rate = 0;  ///< Requests a second from all nodes, from `kContact` after the first naming.

  bool held() const { return static_cast<double>(worst) <= allowed; }
};

constexpr Duration kLimitWindow = 4s;
constexpr double kLimitFactor = 1.5;
constexpr double kLimitSlack = 5;
/// A node that has passed on an answer with the limit is bound by it from then on.
constexpr Duration kLimitHeard = 500ms;

inline LimitCount count_limit(const CrashFleet& fleet, const NamedLimit& limit) {
  const MonotonicTime bound_from = limit.from + CrashFleet::kContact;
  std::vector<MonotonicTime> counted;
  LimitCount result;
  std::size_t all = 0;
  for (const CrashFleet::Arrival& arrival : fleet.arrivals) {
    if (arrival.server != limit.server || arrival.at < limit.from || arrival.at > limit.until) {
      continue;
    }
    all += arrival.at >= bound_from ? 1 : 0;
    const auto told = fleet.told_limits.find({arrival.node, arrival.server});
    if (arrival.in_touch && told != fleet.told_limits.end() &&
        arrival.at >= told->second + kLimitHeard) {
      counted.push_back(arrival.at);
    }
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last != counted.size(); ++last) {
    while (counted[last] - counted[first] > kLimitWindow) {
      ++first;
    }
    if (counted[last] >= bound_from) {
      result.worst = std::max(result.worst, last - first + 1);
    }
  }
  result.allowed = kLimitFactor * limit.per_second * to_seconds(kLimitWindow) + kLimitSlack;
  result.rate = static_cast<double>(all) / to_seconds(limit.until - bound_from);
  return result;
}

}  // namespace ochrespring::gateway_node::testing
