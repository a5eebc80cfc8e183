// Usage: how many requests of each tenant began to run in each window of true time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/strong_type.h"
#include "base/time.h"

namespace ochrespring::usage {

/// Window k begins k times its length after the start of 1970.
using WindowNumber = StrongNumber<struct UsageWindowTag>;

/// Requests that began to run, by tenant.
using TenantCounts = std::map<TenantName, std::uint32_t>;

/// The windows of one length.
struct WindowLength {
  Duration length{};

  WindowNumber at(WallTime time) const {
    return WindowNumber(static_cast<std::uint64_t>(time.time_since_epoch() / length));
  }
  WallTime end_of(WindowNumber window) const {
    return WallTime(length * static_cast<std::int64_t>(window.value() + 1));
  }
};

/// Part of a report: all that one life of a node has counted in a window so far.
struct WindowCounts {
  WindowNumber window;
  TenantCounts counts;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& window;
    archive& counts;
  }
};

/// A datagram of one node. Counts only grow within one incarnation, so that a report that is lost,
/// doubled or late changes nothing but when its counts are known.
struct UsageReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the node's start.
  std::vector<WindowCounts> windows;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& windows;
  }
};

}  // namespace ochrespring::usage
