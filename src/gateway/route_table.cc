#include "gateway/route_table.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace ochrespring::gateway {

namespace {

/// Minimum target gap of a service without streams.
constexpr Duration kNoTargetGap = std::chrono::hours(24);

std::string normalise_host(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return name;
}

}  // namespace

RouteTable::RouteTable(Configuration configuration) : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    by_host_[normalise_host(route.host)].push_back(&route);
    if (route.kind != RequestKind::kStreaming) {
      continue;
    }
    for (const TrafficShare& share : route.shares) {
      const auto [gap, fresh] = min_target_gaps_.try_emplace(share.service, route.target_gap);
      gap->second = std::min(gap->second, route.target_gap);
    }
  }
  for (const Tenant& tenant : configuration_.tenants) {
    for (const KeyDigest& key : tenant.keys) {
      // A key that several tenants list belongs to the first one, on every node.
      by_key_.try_emplace(key, &tenant);
    }
  }
  for (auto& [host, routes] : by_host_) {
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
  }
}

Duration RouteTable::min_target_gap(const ServiceName& service) const {
  const auto found = min_target_gaps_.find(service);
  return found == min_target_gaps_.end() ? kNoTargetGap : found->second;
}

KeyCheck RouteTable::check_key(const Route& route, std::string_view authorization) const {
  if (!has_tenants()) {
    return {.allowed = true};
  }
  const auto key = parse_caller_key(authorization);
  if (!key) {
    return {.allowed = route.anonymous};
  }
  const auto found = by_key_.find(digest_key(*key));
  if (found == by_key_.end()) {
    return {};
  }
  return {.allowed = true, .tenant = found->second};
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const {
  const auto routes = by_host_.find(normalise_host(host));
  if (routes == by_host_.end()) {
    return nullptr;
  }
  const auto found =
      std::find_if(routes->second.begin(), routes->second.end(),
                   [&](const Route* route) { return path.starts_with(route->path_prefix); });
  return found == routes->second.end() ? nullptr : *found;
}

}  // namespace ochrespring::gateway
