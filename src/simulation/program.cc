#include "simulation/program.h"

#include <string_view>
#include <utility>

#include "proxy/headers.h"
#include "simulation/completion_protocol.h"
#include "simulation/fleet_layout.h"

namespace ochrespring::simulation {

using operator_api::AdminCallback;
using operator_api::MutationOutcome;

namespace {

constexpr peer::Channel kChannels[] = {peer::Channel::kMembership, peer::Channel::kConfig,
                                       peer::Channel::kAuthority,  peer::Channel::kLedger,
                                       peer::Channel::kGrant,      peer::Channel::kDigest};

control_plane::ControlPlaneSettings control_plane_settings(const NodeSite& site,
                                                           Incarnation incarnation,
                                                           const NodeWorld& world) {
  control_plane::ControlPlaneSettings settings;
  settings.node = site.node;
  settings.zone = site.zone;
  settings.region = site.region;
  settings.peer = site.peer;
  settings.seeds = world.seeds;
  settings.incarnation = incarnation;
  settings.ledger.window = kAttemptWindow;
  apply_plant(world.plant, settings);
  return settings;
}

proxy::ProxySettings proxy_settings(const NodeSite& site) {
  proxy::ProxySettings settings;
  settings.node = site.node;
  settings.zone = site.zone;
  return settings;
}

/// Time after which a planted bug ends a planned stop, whatever is still open.
constexpr Duration kPlantedStopDelay = std::chrono::seconds(2);

/// The view as a planted bug falsifies it for the proxy.
router::FleetViewPointer planted_view(Plant plant, router::FleetViewPointer view) {
  if (plant != Plant::kGrantsNeverEnd && plant != Plant::kDrainIgnored) {
    return view;
  }
  router::FleetView falsified = *view;
  for (router::EngineView& engine : falsified.engines) {
    if (plant == Plant::kDrainIgnored) {
      engine.draining = false;
    }
    engine.dispatchable_until = MonotonicTime::max();
  }
  return std::make_shared<const router::FleetView>(std::move(falsified));
}

}  // namespace

ChannelReceiver::ChannelReceiver(control_plane::ControlPlane& control_plane, peer::Channel channel)
    : control_plane_(control_plane), channel_(channel) {}

void ChannelReceiver::on_message(const Endpoint& from, std::string_view payload) {
  control_plane_.on_message(from, channel_, payload);
}

SimulatedProgram::SimulatedProgram(const NodeSite& site, Incarnation incarnation,
                                   const std::shared_ptr<ProcessRuntime>& runtime,
                                   std::uint64_t seed, const NodeWorld& world)
    : site_(site),
      world_(world),
      runtime_(runtime),
      random_(seed),
      transport_(world.peers, site.peer),
      key_value_(
          world.surroundings.network, world.key_value, *runtime, site.peer.value(),
          {world.plant == Plant::kSwapWithoutCompare, world.plant == Plant::kLostSwapTakenAsDone}),
      machine_list_(world.surroundings.network, world.machines, *runtime, site.peer.value()),
      engine_control_(
          world.surroundings, world.engines, *runtime, site.node, site.peer.value(),
          world.lost_engine_answers,
          {world.plant == Plant::kOrderSentTwice, world.plant == Plant::kInFlightNotSeen}),
      control_plane_({*runtime, *runtime, random_, transport_, key_value_, machine_list_,
                      engine_control_, logger_},
                     control_plane_settings(site, incarnation, world)),
      router_({}, seed),
      backends_(world, runtime, site),
      claims_(control_plane_.ledger(), *runtime),
      proxy_({*runtime, *runtime, random_, backends_, router_, claims_, logger_},
             proxy_settings(site)),
      report_timer_(*runtime) {}

void SimulatedProgram::start() {
  for (const peer::Channel channel : kChannels) {
    receivers_.push_back(std::make_unique<ChannelReceiver>(control_plane_, channel));
    world_.peers.attach(site_.peer, channel, runtime_, *receivers_.back());
  }
  control_plane_.start(*this);
  report();
}

bool SimulatedProgram::accepting() const {
  return control_plane_.ready();
}

void SimulatedProgram::on_fleet_view(router::FleetViewPointer view) {
  // The proxy's loop is another one: it gets the view by a message.
  runtime_->post([this, view = planted_view(world_.plant, std::move(view))] {
    proxy_.on_view(view);
    report_to_control_plane();
  });
}

void SimulatedProgram::on_cache_events(const EngineId& engine, Incarnation incarnation,
                                       const std::vector<engine::CacheEvent>& events) {
  runtime_->post(
      [this, engine, incarnation, events] { proxy_.on_cache_events(engine, incarnation, events); });
}

void SimulatedProgram::report() {
  report_to_control_plane();
  report_timer_.arm(control_plane::kProxyReportInterval, [this] { report(); });
}

void SimulatedProgram::report_to_control_plane() {
  control_plane::ProxyReport proxy_report = proxy_.report();
  if (world_.plant == Plant::kInFlightNotSeen) {
    proxy_report.in_flight.clear();
  }
  control_plane_.on_proxy_report(proxy_report);
}

void SimulatedProgram::submit(const std::shared_ptr<CallerRecord>& caller) {
  const CallerRequest& asked = caller->request();
  http::Request request;
  request.method = "POST";
  request.path = asked.path;
  request.headers = {{std::string(proxy::header::kRequestId), asked.id.value()},
                     {std::string(proxy::header::kTenant), asked.tenant.value()}};
  if (!asked.idempotency_key.empty()) {
    request.headers.push_back({std::string(proxy::header::kIdempotencyKey), asked.idempotency_key});
  }
  request.body = asked.body;
  std::erase_if(tickets_, [this](const auto& entry) { return !proxy_.is_open(entry.second); });
  tickets_[asked.id] = proxy_.submit(
      std::move(request),
      std::make_unique<SimulatedCallerStream>(caller, world_.plant == Plant::kUnknownToldAsNotRun));
}

void SimulatedProgram::on_caller_gone(const RequestId& request) {
  const auto found = tickets_.find(request);
  if (found != tickets_.end() && proxy_.is_open(found->second)) {
    proxy_.on_caller_gone(found->second);
  }
}

void SimulatedProgram::mutate(const fleet::Mutation& mutation,
                              AdminCallback<MutationOutcome> done) {
  control_plane_.admin().mutate(mutation, std::move(done));
}

std::shared_ptr<const fleet::FleetDocument> SimulatedProgram::document() const {
  return const_cast<control_plane::ControlPlane&>(control_plane_).admin().document();
}

void SimulatedProgram::stop(std::function<void()> done) {
  if (world_.plant == Plant::kStopWithoutDrain) {
    control_plane_.leave(std::move(done));
    return;
  }
  if (world_.plant == Plant::kStopAfterFixedTime) {
    runtime_->schedule_after(kPlantedStopDelay, std::move(done));
  }
  proxy_.drain([this, done = std::move(done)] {
    runtime_->post([this, done] {
      control_plane_.leave([this, done] {
        control_plane_.depart();
        done();
      });
    });
  });
}

std::unique_ptr<NodeProgram> make_node_program(const NodeSite& site, Incarnation incarnation,
                                               const std::shared_ptr<ProcessRuntime>& runtime,
                                               std::uint64_t seed, const NodeWorld& world) {
  return std::make_unique<SimulatedProgram>(site, incarnation, runtime, seed, world);
}

}  // namespace ochrespring::simulation
