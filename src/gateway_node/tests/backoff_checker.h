// Counts what servers get after they have asked a node to back off, or have told it that they
// leave, as the operators count it.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "gateway_node/tests/crash_fleet.h"

namespace ochrespring::gateway_node::testing {

/// What was sent before the node could know.
constexpr Duration kBackoffHeard = 500ms;
/// Requests that a server may get within one time that it asked for.
constexpr std::size_t kBackoffSlack = 2;
/// After which nothing new may reach a server that leaves.
constexpr Duration kDrainBound = 2s;

struct BackoffCount {
  std::size_t asked = 0;   ///< Answers that asked to back off.
  std::size_t broken = 0;  ///< Of these, not kept to.
  std::size_t worst = 0;   ///< Requests in the worst of them.
};

/// All but those after which the node started again, was suspended or was cut off.
inline BackoffCount count_backoffs(const CrashFleet& fleet) {
  BackoffCount count;
  for (const CrashFleet::Told& told : fleet.told_backoffs) {
    const auto counts = [&](const CrashFleet::Arrival& arrival) {
      return arrival.node == told.node && arrival.server == told.server &&
             arrival.life == told.life && arrival.at >= told.at + kBackoffHeard &&
             arrival.at < told.at + told.span && arrival.interrupted < told.at && arrival.in_touch;
    };
    const auto got = static_cast<std::size_t>(
        std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(), counts));
    ++count.asked;
    count.broken += got > kBackoffSlack ? 1 : 0;
    count.worst = std::max(count.worst, got);
  }
  return count;
}

/// Requests that reached a server from a node later than `bound` after it had told the node that it
/// leaves, in touch or not.
inline std::size_t count_late_after_leaving(const CrashFleet& fleet, Duration bound = kDrainBound) {
  std::size_t late = 0;
  for (const CrashFleet::Told& told : fleet.told_leavings) {
    late += static_cast<std::size_t>(std::count_if(
        fleet.arrivals.begin(), fleet.arrivals.end(), [&](const CrashFleet::Arrival& arrival) {
          return arrival.node == told.node && arrival.server == told.server &&
                 arrival.life == told.life && arrival.asked > told.at + bound &&
                 arrival.interrupted < told.at;
        }));
  }
  return late;
}

}  // namespace ochrespring::gateway_node::testing
