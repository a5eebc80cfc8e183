// What operators configure for the gateway, and the back ends it knows.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/caller_key.h"

namespace ochrespring::gateway {

using BackendId = StrongString<struct BackendIdTag>;  ///< One life of one back end.
using RouteName = StrongString<struct RouteNameTag>;
/// Version of the configuration; only ever grows.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

/// What may be done again with a request.
enum class RequestKind : std::uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Answered with events; runs at most once unless resumable.
};

/// One part of a route's traffic.
struct TrafficShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Where requests of one host and path go, and how they are treated.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration timeout{std::chrono::seconds(5)};
  Duration target_latency{std::chrono::seconds(1)};  ///< Streams: to the first event.
  Duration target_gap{std::chrono::seconds(1)};      ///< Longest pause between events in time.
  std::uint32_t priority = 0;                        ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;                    ///< Servers one request may be sent to.
  bool resumable = false;
  bool anonymous = false;  ///< Needs no caller's key, even where there are tenants.
  std::vector<TrafficShare> shares;

  /// Whether a request may run more than once.
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

/// What the engines of a service can hold.
struct EngineShape {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  std::uint32_t tokens_per_event = 0;  ///< Of a stream; 0: not known.
  /// Whether an engine sends the memory of a run to another one as it grows.
  bool backs_up_streams = false;
  Duration role_change{std::chrono::seconds(2)};
};

/// Who is served, and by which keys its callers are known.
struct Tenant {
  TenantName name;
  std::optional<std::uint32_t> priority;  ///< Goes before that of the route.
  std::vector<KeyDigest> keys;
};

/// Servers of a service that can be had and given back.
struct ServerScaling {
  std::uint32_t least = 0;  ///< Servers of one zone, of both kinds together.
  std::uint32_t most = 0;
  Duration boot{std::chrono::seconds(5)};  ///< From an order to its server's first request.
  /// Price of a server that may be taken away, as a part of the others'; none: there are no such.
  std::optional<double> preemptible_price{};
  std::map<ZoneName, double> zone_prices{};  ///< Of a server's second, relative to each other.
};

struct Service {
  ServiceName name;
  std::uint32_t max_connections = 100;    ///< Of all callers together, to one back end.
  std::optional<EngineShape> engine{};    ///< None: an ordinary service.
  std::optional<ServerScaling> market{};  ///< None: its servers are fixed.
};

/// What callers may send and how long their connections may rest.
struct CallerLimits {
  std::uint64_t largest_body_bytes = 4U << 20U;
  Duration idle_timeout{std::chrono::seconds(15)};
};

struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;  ///< Empty: callers need no keys.
  CallerLimits limits;

  const Service* find_service(const ServiceName& name) const;
};

/// What a model engine does.
enum class EngineRole : std::uint8_t { kNone, kPrefill, kDecode };

/// One back end as it registered itself.
struct Backend {
  BackendId id;
  ServiceName service;
  Endpoint address;
  ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;
  bool cold = false;  ///< Slow for a while after its start.
  EngineRole role = EngineRole::kNone;
  bool preemptible = false;  ///< May be taken away at short notice.

  bool operator==(const Backend&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id;
    archive& service;
    archive& address;
    archive& zone;
    archive& slots;
    archive& draining;
    archive& cold;
    archive& role;
    archive& preemptible;
  }
};

}  // namespace ochrespring::gateway
