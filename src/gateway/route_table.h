// Finds the route and the tenant of a request in one configuration.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/types.h"

namespace ochrespring::gateway {

/// What a configuration says of a caller's key.
struct KeyCheck {
  bool allowed = false;
  const Tenant* tenant = nullptr;  ///< Null for a request without a key.
};

/// Immutable index of one configuration's routes and keys. Requests keep the table they were routed
/// by.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// The route of `host` (a port is ignored) with the longest prefix that begins `path`, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  /// Whether a request on `route` may run with what its `Authorization` header says. A key that is
  /// not known is never passed over, even where none is needed.
  KeyCheck check_key(const Route& route, std::string_view authorization) const;
  /// Whether callers' credentials are this system's, and no back end's.
  bool has_tenants() const { return !configuration_.tenants.empty(); }
  const Configuration& configuration() const { return configuration_; }
  /// The shortest target gap of all streams that may run at the service; a day without any.
  Duration min_target_gap(const ServiceName& service) const;

 private:
  Configuration configuration_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<KeyDigest, const Tenant*> by_key_;
  std::map<ServiceName, Duration> shortest_gaps_;
};

}  // namespace ochrespring::gateway
