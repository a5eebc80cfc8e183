// Sums the usage counts of all nodes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "usage/types.h"

namespace ochrespring::usage {

/// Accumulates the usage reports of all nodes per window. Every node that may hold the duties keeps
/// one, so that a new holder has the same counts.
class UsageTally {
 public:
  void add(const UsageReport& report);
  /// Sum of a window over all incarnations of all nodes.
  TenantCounts sum(WindowNumber window) const;
  /// The earliest window with counts; empty if there is none.
  std::optional<WindowNumber> oldest() const;
  /// Discards the windows before `window`.
  void discard_before(WindowNumber window);

 private:
  using NodeIncarnation = std::pair<NodeId, std::uint64_t>;

  std::map<WindowNumber, std::map<NodeIncarnation, TenantCounts>> windows_;
};

}  // namespace ochrespring::usage
