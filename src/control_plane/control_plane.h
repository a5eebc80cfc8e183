// The control plane of one node, composed from its components. Free of I/O: the daemon, the
// deterministic simulation and hollow nodes construct this same class with different environments.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "authority/authority.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "config/config_service.h"
#include "config/settings.h"
#include "control_plane/proxy_report.h"
#include "controller/controller.h"
#include "digest/digest_service.h"
#include "digest/settings.h"
#include "external/engine_control.h"
#include "external/key_value_store.h"
#include "external/machine_list.h"
#include "grants/grants.h"
#include "ledger/attempt_ledger.h"
#include "ledger/ledger_node.h"
#include "ledger/settings.h"
#include "logging/logger.h"
#include "membership/member_view.h"
#include "membership/membership_service.h"
#include "membership/settings.h"
#include "operator_api/fleet_admin.h"
#include "peer/transport.h"
#include "router/fleet_view.h"

namespace ochrespring::control_plane {

/// Everything the control plane reaches the world through. All references outlive the control plane
/// and are used on the control loop only.
struct ControlPlaneEnvironment {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  external::KeyValueStore& key_value_store;
  external::MachineList& machine_list;
  external::EngineControl& engine_control;
  logging::Logger& logger;
};

/// Identity of the node and the settings of its components.
struct ControlPlaneSettings {
  NodeId node;
  ZoneName zone;
  RegionName region;
  Endpoint peer;                ///< Where other nodes reach this one.
  std::vector<Endpoint> seeds;  ///< Asked to join through, besides the machine list.
  /// Of this process; higher than that of any earlier process under the same node id. The daemon
  /// takes it from the wall clock in microseconds.
  Incarnation incarnation;
  std::uint32_t proxy_loops = 1;  ///< Loops that report through on_proxy_report().
  /// How often model engines are asked for their status.
  Duration engine_poll_interval{std::chrono::milliseconds(500)};
  /// How often a view is published when nothing has changed; refreshes load.
  Duration view_interval{std::chrono::milliseconds(250)};
  /// Periods and bounds of the components; `membership.seeds` is taken from `seeds`.
  membership::MembershipSettings membership;
  config::ConfigSettings config;
  ledger::LedgerSettings ledger;
  authority::AuthoritySettings authority;
  grants::GrantSettings grants;
  controller::ControllerSettings controller;
  digest::DigestSettings digest;
};

/// Told of each new fleet view on the control loop; hands it to the proxy loops.
class FleetViewObserver {
 public:
  virtual ~FleetViewObserver() = default;
  virtual void on_fleet_view(router::FleetViewPointer view) = 0;
  /// Cache events of an engine, for the routers.
  virtual void on_cache_events(const EngineId& engine, Incarnation incarnation,
                               const std::vector<engine::CacheEvent>& events) = 0;
};

/// Counters of all components.
struct ControlPlaneStatistics {
  membership::MembershipStatistics membership;
  config::ConfigStatistics config;
  ledger::Statistics ledger;
  authority::AuthorityStatistics authority;
  grants::GrantStatistics grants;
  controller::ControllerStatistics controller;
  digest::DigestStatistics digest;
  std::uint64_t views_published = 0;
  std::uint64_t unroutable_messages = 0;  ///< Of a channel without a component.
};

/// Membership, configuration, authority, controller, grants, ledger, digests and planner of one
/// node. Single-threaded: everything is called on the control loop.
class ControlPlane {
 public:
  ControlPlane(const ControlPlaneEnvironment& environment, ControlPlaneSettings settings);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Starts all components. The observer outlives the control plane.
  void start(FleetViewObserver& observer);
  /// A message arrived from another node; dispatched to the component of its channel.
  void on_message(const Endpoint& from, peer::Channel channel, std::string_view payload);
  /// A proxy loop reported.
  void on_proxy_report(const ProxyReport& report);
  /// Planned stop: announces the leave, hands over leases and claims, then calls `done` once.
  /// Requests in flight go on; the ledger keeps working until destruction.
  void leave(std::function<void()> done);
  /// Last step of a planned stop: tells other members that this node is gone.
  void depart();

  /// Claims for requests that may not be repeated.
  ledger::AttemptLedger& ledger();
  /// What operators ask of this node.
  operator_api::FleetAdmin& admin();
  /// Answers what operators ask about a request; the node asks its proxy loops.
  using RequestExplainer = std::function<void(
      const RequestId&, operator_api::AdminCallback<operator_api::RequestExplanation>)>;
  void set_request_explainer(RequestExplainer explainer);
  /// The member table.
  const membership::MemberView& members() const;
  /// Newest view published, or null before the first configuration.
  router::FleetViewPointer view() const;
  /// Whether the node may serve callers: it has a configuration and has joined.
  bool ready() const;
  ControlPlaneStatistics statistics() const;

 private:
  struct Components;
  std::unique_ptr<Components> components_;
};

}  // namespace ochrespring::control_plane
