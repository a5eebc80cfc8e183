// The gateway's configuration, as set by operators, and the registration of back ends.
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

using BackendId = StrongString<struct BackendIdTag>;  ///< Identifies one incarnation of a back end.
using RouteName = StrongString<struct RouteNameTag>;
/// Version of the software that a back end runs. Empty: unknown.
using SoftwareVersion = StrongString<struct SoftwareVersionTag>;
/// Version of the configuration; only increases.
using ConfigurationVersion = StrongNumber<struct ConfigurationVersionTag>;

/// How often a request may run.
enum class RequestKind : std::uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Answered with a stream of events; runs at most once unless resumable.
};

/// Share of a route's traffic that goes to one service.
struct TrafficShare {
  ServiceName service;
  std::uint32_t weight = 1;
};

/// Destination and settings of the requests for one host and path prefix.
struct Route {
  RouteName name;
  std::string host;
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  Duration timeout{std::chrono::seconds(5)};
  Duration target_latency{std::chrono::seconds(1)};  ///< Streams: to the first event.
  Duration target_gap{std::chrono::seconds(1)};  ///< Longest gap between events that is on time.
  std::uint32_t priority = 0;                    ///< 0 is the most urgent.
  std::uint32_t max_attempts = 1;  ///< Maximum number of back ends that one request is sent to.
  bool resumable = false;          ///< Whether a stream may be resumed at another engine.
  bool anonymous = false;          ///< Callers need no key, even if tenants are configured.
  std::vector<TrafficShare> shares;

  /// Whether a request may run more than once.
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

/// Capacities of the engines of a service.
struct EngineShape {
  std::uint32_t slots = 1;
  std::uint64_t cache_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  std::uint32_t tokens_per_event = 0;  ///< Of a stream; 0: unknown.
  /// Whether an engine can replicate the KV cache of a stream to another engine as it grows.
  bool backs_up_streams = false;
  Duration role_change{std::chrono::seconds(2)};
};

/// A tenant and the keys that identify its callers.
struct Tenant {
  TenantName name;
  std::optional<std::uint32_t> priority;  ///< Overrides the route's priority.
  std::vector<KeyDigest> keys;
};

/// Limits and prices for scaling the servers of a service.
struct ServerScaling {
  std::uint32_t min_servers = 0;  ///< Per zone, regular and preemptible servers together.
  std::uint32_t max_servers = 0;
  Duration boot{std::chrono::seconds(5)};  ///< From the order of a server to its first request.
  /// Price of a preemptible server relative to a regular one; none: there are none.
  std::optional<double> preemptible_price{};
  /// Prices per server and second, relative to each other.
  std::map<ZoneName, double> zone_prices{};
};

/// A service and the settings of its back ends.
struct Service {
  ServiceName name;
  std::uint32_t max_connections = 100;     ///< To one back end, for all callers together.
  std::optional<EngineShape> engine{};     ///< None: an ordinary service, without model engines.
  std::optional<ServerScaling> scaling{};  ///< None: the service is not scaled.
};

/// Limits on callers' requests and on the idle time of their connections.
struct CallerLimits {
  std::uint64_t max_body_bytes = 4U << 20U;
  Duration idle_timeout{std::chrono::seconds(15)};
};

/// The configuration that operators publish, as a whole.
struct Configuration {
  ConfigurationVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;  ///< Empty: callers need no keys.
  CallerLimits limits;

  const Service* find_service(const ServiceName& name) const;
};

/// Role of a model engine.
enum class EngineRole : std::uint8_t { kNone, kPrefill, kDecode };

/// A back end as registered in the shared store.
struct Backend {
  BackendId id;
  ServiceName service;
  Endpoint address;
  ZoneName zone;
  std::uint32_t slots = 1;
  bool draining = false;  ///< Registered as leaving: takes no new requests.
  bool cold = false;      ///< Recently started, and slow for a while.
  EngineRole role = EngineRole::kNone;
  bool preemptible = false;  ///< May be terminated by the platform at short notice.
  SoftwareVersion version;

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
    archive& version;
  }
};

}  // namespace ochrespring::gateway
