// Adds up what all nodes have counted.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "usage/types.h"

namespace ochrespring::usage {

/// Every node that may come to hold the duties keeps one: a successor has what the holder had.
class UsageTally {
 public:
  void add(const UsageReport& report);
  /// The sum over all lives of all nodes.
  TenantCounts sum(WindowNumber window) const;
  /// The first window that any node has told of.
  std::optional<WindowNumber> oldest() const;
  /// Forgets the windows before this one.
  void discard_before(WindowNumber window);

 private:
  using NodeIncarnation = std::pair<NodeId, std::uint64_t>;

  std::map<WindowNumber, std::map<NodeIncarnation, TenantCounts>> windows_;
};

}  // namespace ochrespring::usage
