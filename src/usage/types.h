// Usage: the number of requests per tenant that began to run in each time window.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/strong_type.h"
#include "base/time.h"

namespace ochrespring::usage {

/// Window k begins k window lengths after the Unix epoch.
using WindowNumber = StrongNumber<struct UsageWindowTag>;

/// Number of requests that began to run, by tenant.
using TenantCounts = std::map<TenantName, std::uint32_t>;

/// Maps times to windows of a fixed length.
struct WindowLength {
  Duration length{};

  WindowNumber at(WallTime time) const {
    return WindowNumber(static_cast<std::uint64_t>(time.time_since_epoch() / length));
  }
  WallTime end_of(WindowNumber window) const {
    return WallTime(length * static_cast<std::int64_t>(window.value() + 1));
  }
};

/// Entry of a report: everything that one incarnation of a node has counted in a window so far.
struct WindowCounts {
  WindowNumber window;
  TenantCounts counts;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& window;
    archive& counts;
  }
};

/// Datagram from one node. Counts only grow within an incarnation, so a lost, duplicated or late
/// report affects only when its counts become known.
struct UsageReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Random number drawn when the node starts.
  std::vector<WindowCounts> windows;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& windows;
  }
};

}  // namespace ochrespring::usage
