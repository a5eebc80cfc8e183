// Finds the route of a request in one configuration.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/types.h"

namespace ochrespring::gateway {

/// Immutable index of one configuration's routes. Requests keep the table they were routed by.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// The route of `host` (a port is ignored) with the longest prefix that begins `path`, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  const Configuration& configuration() const { return configuration_; }

 private:
  Configuration configuration_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};

}  // namespace ochrespring::gateway
