// Looks up the route and the tenant of a request in one configuration.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "gateway/types.h"

namespace ochrespring::gateway {

/// Result of checking a caller's key.
struct KeyCheck {
  bool allowed = false;
  const Tenant* tenant = nullptr;  ///< Null: no key, an unknown key, or no tenants.
};

/// Immutable index of the routes and keys of one configuration. A request keeps the table with
/// which it was routed.
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// Returns the route of `host` (a port is ignored) with the longest prefix of `path`, or null.
  const Route* find(std::string_view host, std::string_view path) const;
  /// Checks whether a request on `route` may run with the value of its `Authorization` header. An
  /// unknown key is rejected even on routes that need none.
  KeyCheck check_key(const Route& route, std::string_view authorization) const;
  /// Whether the gateway checks callers' credentials itself instead of passing them to back ends.
  bool has_tenants() const { return !configuration_.tenants.empty(); }
  const Configuration& configuration() const { return configuration_; }
  /// Smallest target gap of all streams that may run at the service; a day if there are none.
  Duration min_target_gap(const ServiceName& service) const;

 private:
  Configuration configuration_;
  /// Routes of each host, longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
  std::unordered_map<KeyDigest, const Tenant*> by_key_;
  std::map<ServiceName, Duration> min_target_gaps_;
};

}  // namespace ochrespring::gateway
