// Long streams at one engine: this node's own and those that other nodes report.
#pragma once

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <vector>

#include "base/time.h"

namespace ochrespring::engine_profiles {

/// A number that this node assigns to another node.
using NodeIndex = std::uint32_t;

/// Counts, per node, the streams at one engine that still have many events to come. Performs no I/O
/// and uses no timers.
class LongStreams {
 public:
  /// How long another node's report stays valid; one lost report is tolerated, see
  /// ProfileExchange::kLongStreamRepeatPeriod.
  static constexpr Duration kReportLifetime = std::chrono::seconds(5);

  void begin() { ++own_; }
  void end() { own_ -= std::min(own_, 1U); }
  std::uint32_t own() const { return own_; }

  void set_remote(NodeIndex node, std::uint32_t count, MonotonicTime now) {
    std::erase_if(remote_counts_, [&](const RemoteCount& remote) {
      return remote.node == node || now - remote.at >= kReportLifetime;
    });
    if (count != 0) {
      remote_counts_.push_back({node, count, now});
    }
  }
  std::uint32_t total(MonotonicTime now) const {
    return std::accumulate(remote_counts_.begin(), remote_counts_.end(), own_,
                           [&](std::uint32_t sum, const RemoteCount& remote) {
                             return now - remote.at < kReportLifetime ? sum + remote.count : sum;
                           });
  }

 private:
  struct RemoteCount {
    NodeIndex node;
    std::uint32_t count;
    MonotonicTime at;
  };

  std::uint32_t own_ = 0;
  std::vector<RemoteCount> remote_counts_;
};

}  // namespace ochrespring::engine_profiles
