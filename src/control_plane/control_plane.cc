#include "control_plane/control_plane.h"

#include <array>
#include <utility>

#include "control_plane/controller_observations.h"
#include "control_plane/demand_board.h"
#include "control_plane/engine_poller.h"
#include "control_plane/fleet_view_builder.h"
#include "control_plane/in_flight_tracker.h"
#include "control_plane/node_admin.h"
#include "planner/reactive_planner.h"
#include "statechart/chart_library.h"

namespace ochrespring::control_plane {

namespace {

/// How often a leaving node looks whether it may go.
constexpr Duration kLeaveCheckInterval = std::chrono::milliseconds(100);

membership::Member make_self(const ControlPlaneSettings& settings) {
  membership::Member self;
  self.node = settings.node;
  self.incarnation = settings.incarnation;
  self.peer = settings.peer;
  self.zone = settings.zone;
  self.region = settings.region;
  return self;
}

membership::MembershipSettings membership_settings(const ControlPlaneSettings& settings) {
  membership::MembershipSettings result = settings.membership;
  result.seeds = settings.seeds;
  return result;
}

std::unique_ptr<planner::Planner> make_planner(const ServiceName& /*service*/) {
  return std::make_unique<planner::ReactivePlanner>(planner::ReactiveParameters{});
}

}  // namespace

/// The components, in the order they depend on each other.
struct ControlPlane::Components final : operator_api::RevisionObserver, digest::DigestObserver {
  ControlPlaneEnvironment environment;
  ControlPlaneSettings settings;
  membership::MembershipService membership;
  config::ConfigService config;
  ledger::LedgerNode ledger;
  EnginePoller engines;
  digest::DigestService digest;
  authority::Authority authority;
  grants::Grants grants;
  ControllerObservations observations;
  controller::Controller controller;
  InFlightTracker in_flight;
  DemandBoard demand;
  NodeAdmin admin;
  std::array<peer::Receiver*, peer::kChannelCount> receivers{};
  FleetViewObserver* observer = nullptr;
  router::FleetViewPointer view;
  std::uint64_t view_sequence = 0;
  std::uint64_t unroutable_messages = 0;
  Timer view_timer;
  Timer leave_timer;

  Components(const ControlPlaneEnvironment& given, ControlPlaneSettings given_settings)
      : environment(given),
        settings(std::move(given_settings)),
        membership(make_self(settings), membership_settings(settings),
                   {given.clock, given.timers, given.random, given.transport, given.logger,
                    &given.machine_list}),
        config(settings.config, {given.clock, given.timers, given.random, given.transport,
                                 given.key_value_store, membership, given.logger}),
        ledger(settings.ledger, membership, given.transport, given.key_value_store,
               given.machine_list, given.clock, given.timers, given.random),
        engines(given.clock, given.timers, given.engine_control, settings.engine_poll_interval),
        digest(settings.digest, {given.clock, given.timers, given.random, given.transport,
                                 given.engine_control, membership, &given.machine_list}),
        authority({given.clock, given.timers, given.random, given.transport, membership,
                   given.key_value_store, given.logger,
                   statechart::ChartLibrary::built_in().lease_holder},
                  settings.authority),
        grants({given.clock, given.timers, given.random, given.transport, membership, authority},
               settings.grants),
        observations(config, digest, engines),
        controller({given.clock, authority, grants, given.engine_control,
                    statechart::ChartLibrary::built_in(), observations, &make_planner},
                   given.timers, settings.controller),
        in_flight(settings.proxy_loops),
        demand(settings.proxy_loops),
        admin({given.clock, config, membership, engines, digest, authority, grants, controller}),
        view_timer(given.timers),
        leave_timer(given.timers) {
    receiver(peer::Channel::kMembership) = &membership;
    receiver(peer::Channel::kConfig) = &config;
    receiver(peer::Channel::kLedger) = &ledger;
    receiver(peer::Channel::kDigest) = &digest;
    receiver(peer::Channel::kAuthority) = &authority;
    receiver(peer::Channel::kGrant) = &grants;
    grants.set_in_flight([this](const EngineId& engine) { return in_flight.in_flight(engine); });
    grants.set_on_change([this] { publish_view(); });
    digest.set_observer(this);
    config.add_observer(*this);
  }
  ~Components() override { config.remove_observer(*this); }
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  peer::Receiver*& receiver(peer::Channel channel) {
    return receivers.at(static_cast<std::size_t>(channel));
  }

  void on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) override {
    environment.logger.write({logging::Level::kInfo,
                              "control_plane",
                              "configuration in force",
                              {{"revision", document->revision.value()}}});
    engines.configure(*document);
    digest.on_document(document);
    authority.configure(*document);
    grants.configure(*document, {});
    controller.configure(*document);
    publish_view();
  }

  void on_machine_leaving(const std::string& machine, bool leaving) override {
    environment.logger.write({logging::Level::kInfo,
                              "control_plane",
                              leaving ? "machine is leaving" : "machine is back",
                              {{"machine", machine}}});
    publish_view();
  }

  void on_cache_events(const EngineId& engine, Incarnation incarnation,
                       const std::vector<engine::CacheEvent>& events) override {
    if (observer != nullptr) {
      observer->on_cache_events(engine, incarnation, events);
    }
  }

  /// Hands every known load to the controller: a new incarnation shows a restart.
  void report_loads(const fleet::FleetDocument& document) {
    for (const fleet::Engine& engine : document.engines) {
      if (const auto load = observations.load(engine.id)) {
        controller.on_load(load->first);
      }
    }
  }

  void publish_view() {
    const auto document = config.document();
    if (document->revision.value() == 0) {
      return;
    }
    report_loads(*document);
    view = build_fleet_view(
        {*document, ++view_sequence, [this](const EngineId& id) { return engines.find(id); },
         [this](const fleet::Engine& engine) { return digest.load(engine); },
         [this](const EngineId& id) { return grants.grant(id); },
         [this](const ServerId& server) { return digest.leaving(server.value()); }});
    in_flight.on_view(*view);
    if (observer != nullptr) {
      observer->on_fleet_view(view);
    }
    view_timer.arm(settings.view_interval, [this] { publish_view(); });
  }

  void wait_to_leave(std::function<void()> done) {
    if (!ledger.holds_partitions()) {
      done();
      return;
    }
    leave_timer.arm(kLeaveCheckInterval,
                    [this, done = std::move(done)]() mutable { wait_to_leave(std::move(done)); });
  }
};

ControlPlane::ControlPlane(const ControlPlaneEnvironment& environment,
                           ControlPlaneSettings settings)
    : components_(std::make_unique<Components>(environment, std::move(settings))) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start(FleetViewObserver& observer) {
  components_->observer = &observer;
  components_->membership.start();
  components_->config.start();
  components_->ledger.start();
  components_->digest.start();
}

void ControlPlane::on_message(const Endpoint& from, peer::Channel channel,
                              std::string_view payload) {
  peer::Receiver* receiver = components_->receiver(channel);
  if (receiver == nullptr) {
    ++components_->unroutable_messages;
    return;
  }
  receiver->on_message(from, payload);
}

void ControlPlane::on_proxy_report(const ProxyReport& report) {
  components_->in_flight.on_report(report);
  components_->demand.on_report(report);
  components_->digest.on_demand(components_->demand.total(components_->environment.clock.now()));
}

void ControlPlane::leave(std::function<void()> done) {
  components_->authority.stop();
  components_->membership.leave();
  components_->wait_to_leave(std::move(done));
}

void ControlPlane::depart() {
  components_->membership.depart();
}

ledger::AttemptLedger& ControlPlane::ledger() {
  return components_->ledger;
}

operator_api::FleetAdmin& ControlPlane::admin() {
  return components_->admin;
}

void ControlPlane::set_request_explainer(RequestExplainer explainer) {
  components_->admin.set_request_explainer(std::move(explainer));
}

const membership::MemberView& ControlPlane::members() const {
  return components_->membership;
}

router::FleetViewPointer ControlPlane::view() const {
  return components_->view;
}

bool ControlPlane::ready() const {
  return components_->view != nullptr && components_->membership.joined();
}

ControlPlaneStatistics ControlPlane::statistics() const {
  ControlPlaneStatistics statistics;
  statistics.membership = components_->membership.statistics();
  statistics.config = components_->config.statistics();
  statistics.ledger = components_->ledger.statistics();
  statistics.authority = components_->authority.statistics();
  statistics.grants = components_->grants.statistics();
  statistics.controller = components_->controller.statistics();
  statistics.digest = components_->digest.statistics();
  statistics.views_published = components_->view_sequence;
  statistics.unroutable_messages = components_->unroutable_messages;
  return statistics;
}

}  // namespace ochrespring::control_plane
