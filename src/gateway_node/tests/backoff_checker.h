// Counts requests that back ends receive from a node after they asked it to back off or told it
// that they leave.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

/// Requests that arrive within this time after the answer are not counted: the node may have sent
/// them before it received the answer.
constexpr Duration kBackoffNoticeDelay = 500ms;
/// Requests that a back end may still receive within one backoff period.
constexpr std::size_t kBackoffAllowance = 2;
/// Time after which no new request may reach a back end that leaves.
constexpr Duration kDrainBound = 2s;

struct BackoffCount {
  std::size_t requested = 0;     ///< Answers that asked to back off.
  std::size_t violated = 0;      ///< Of these, not respected.
  std::size_t max_requests = 0;  ///< Most requests received during one of them.
};

/// Requests do not count if the node has restarted or woken since the answer, or if it has a fault
/// or had one within `kSettlingTime`.
inline BackoffCount count_backoffs(const CrashFleet& fleet) {
  BackoffCount count;
  for (const CrashFleet::SentNotice& notice : fleet.sent_backoffs) {
    const auto counts = [&](const CrashFleet::Arrival& arrival) {
      return arrival.node == notice.node && arrival.server == notice.server &&
             arrival.incarnation == notice.incarnation &&
             arrival.at >= notice.at + kBackoffNoticeDelay &&
             arrival.at < notice.at + notice.span && arrival.last_interruption < notice.at &&
             arrival.connected;
    };
    const auto received = static_cast<std::size_t>(
        std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(), counts));
    ++count.requested;
    count.violated += received > kBackoffAllowance ? 1 : 0;
    count.max_requests = std::max(count.max_requests, received);
  }
  return count;
}

/// Requests that reached a back end from a node and were sent by their caller later than `bound`
/// after the back end told the node that it leaves; cut-off nodes count too.
inline std::size_t count_late_after_leaving(const CrashFleet& fleet, Duration bound = kDrainBound) {
  std::size_t late = 0;
  for (const CrashFleet::SentNotice& notice : fleet.sent_leaving_notices) {
    late += static_cast<std::size_t>(std::count_if(
        fleet.arrivals.begin(), fleet.arrivals.end(), [&](const CrashFleet::Arrival& arrival) {
          return arrival.node == notice.node && arrival.server == notice.server &&
                 arrival.incarnation == notice.incarnation &&
                 arrival.caller_sent_at > notice.at + bound &&
                 arrival.last_interruption < notice.at;
        }));
  }
  return late;
}

}  // namespace ochrespring::gateway_node::testing
