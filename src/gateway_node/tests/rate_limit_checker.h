// Compares the requests that a back end receives with the rate limit it announces. Requests that a
// node sends during a fault of its own or within `kSettlingTime` after it are not counted.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

/// A rate limit that a back end announces in the time from `from` to `until`.
struct AnnouncedLimit {
  Endpoint server;
  double per_second = 0;
  MonotonicTime from{};
  MonotonicTime until{};
};

struct LimitCount {
  std::size_t max_requests = 0;  ///< Most requests in any window.
  double allowed = 0;            ///< Requests allowed in any window.
  /// Requests per second from all nodes, from `kSettlingTime` after `from` on.
  double rate = 0;

  bool within_limit() const { return static_cast<double>(max_requests) <= allowed; }
};

/// At most `kLimitFactor` times the limit plus `kExtraRequests` requests may arrive in any window.
constexpr Duration kLimitWindow = 4s;
constexpr double kLimitFactor = 1.5;
constexpr double kExtraRequests = 5;
/// A node must obey the limit from this long after the first answer that announced it.
constexpr Duration kLimitNoticeDelay = 500ms;

inline LimitCount count_requests_against_limit(const CrashFleet& fleet,
                                               const AnnouncedLimit& limit) {
  const MonotonicTime settled_at = limit.from + CrashFleet::kSettlingTime;
  std::vector<MonotonicTime> counted;
  LimitCount result;
  std::size_t all = 0;
  for (const CrashFleet::Arrival& arrival : fleet.arrivals) {
    if (arrival.server != limit.server || arrival.at < limit.from || arrival.at > limit.until) {
      continue;
    }
    all += arrival.at >= settled_at ? 1 : 0;
    const auto first_sent = fleet.first_rate_limit_at.find({arrival.node, arrival.server});
    if (arrival.connected && first_sent != fleet.first_rate_limit_at.end() &&
        arrival.at >= first_sent->second + kLimitNoticeDelay) {
      counted.push_back(arrival.at);
    }
  }
  std::size_t first = 0;
  for (std::size_t last = 0; last != counted.size(); ++last) {
    while (counted[last] - counted[first] > kLimitWindow) {
      ++first;
    }
    if (counted[last] >= settled_at) {
      result.max_requests = std::max(result.max_requests, last - first + 1);
    }
  }
  result.allowed = kLimitFactor * limit.per_second * to_seconds(kLimitWindow) + kExtraRequests;
  result.rate = static_cast<double>(all) / to_seconds(limit.until - settled_at);
  return result;
}

}  // namespace ochrespring::gateway_node::testing
