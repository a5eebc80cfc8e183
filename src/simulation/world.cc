#include "simulation/world.h"

namespace ochrespring::simulation {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(500);
constexpr Duration kUsualListLag = std::chrono::seconds(2);
constexpr Duration kLongListLag = std::chrono::seconds(15);
constexpr double kLostEngineAnswers = 0.3;

standin::KeyValueSettings key_value_settings() {
  standin::KeyValueSettings settings;
  settings.calls_per_second = 200;
  settings.burst_calls = 200;
  return settings;
}

}  // namespace

World::World(const WorldSettings& settings, oracle::ObservationSink& sink)
    : settings_(settings),
      random_(settings.seed),
      network_(time_, random_, faults_),
      surroundings_{time_, random_, network_, faults_, sink},
      peers_(network_),
      key_value_(time_, key_value_settings()),
      machines_(time_, kUsualListLag),
      leaving_(surroundings_, machines_),
      reachability_(surroundings_, nodes_),
      network_faults_(surroundings_, nodes_, reachability_),
      callers_(surroundings_, nodes_),
      operators_(surroundings_, nodes_, leaving_) {
  if (settings.plant == Plant::kConfigurationNotSpread) {
    peers_.drop_channel(peer::Channel::kConfig);
  }
  build_backends(settings);
  build_nodes(settings);
}

World::~World() = default;

void World::build_backends(const WorldSettings& settings) {
  const FleetSize& size = settings.size;
  std::vector<HostName> hosts;
  for (EngineSite& site : engine_sites(size)) {
    site.testing_faults.ignores_fence = settings.plant == Plant::kFenceIgnored;
    site.testing_faults.takes_while_busy = settings.plant == Plant::kOrderTakenWhileBusy;
    auto engine = std::make_unique<SimulatedEngine>(site, surroundings_);
    leaving_.place(site.id, server_name(static_cast<std::uint32_t>(engines_.size())));
    engine_directory_[site.endpoint] = engine.get();
    backend_directory_[site.endpoint] = engine.get();
    hosts.push_back(site.endpoint.value());
    engines_.push_back(std::move(engine));
  }
  for (const RelaySite& site : relay_sites(size)) {
    auto relay = std::make_unique<SimulatedRelay>(site, surroundings_);
    leaving_.place(site.id, server_name(size.engines + static_cast<std::uint32_t>(relays_.size())));
    backend_directory_[site.endpoint] = relay.get();
    hosts.push_back(site.endpoint.value());
    relays_.push_back(std::move(relay));
  }
  for (std::uint32_t i = 0; i < size.engines + size.relays; ++i) {
    external::Machine machine;
    machine.name = server_name(i).value();
    machine.zone = zone_name(i % size.zones);
    machines_.put(machine);
  }
  network_faults_.set_backends(std::move(hosts));
}

void World::build_nodes(const WorldSettings& settings) {
  const std::vector<NodeSite> sites = node_sites(settings.size);
  for (const NodeSite& site : sites) {
    NodeWorld world{surroundings_,        peers_,
                    key_value_,           machines_,
                    engine_directory_,    backend_directory_,
                    lost_engine_answers_, {sites[0].peer, sites[1].peer},
                    settings.plant};
    nodes_.push_back(std::make_unique<NodeSlot>(site, std::move(world)));
    external::Machine machine;
    machine.name = site.node.value();
    machine.zone = site.zone;
    machine.region = site.region;
    machine.peer_endpoint = site.peer;
    machines_.put(machine);
  }
}

void World::start() {
  for (const auto& node : nodes_) {
    node->start();
  }
  operators_.install(first_resources(settings_.size));
  tick();
}

void World::tick() {
  leaving_.refresh();
  reachability_.refresh();
  for (const auto& node : nodes_) {
    node->report_revision();
  }
  lost_engine_answers_ = engine_answers_lost_.active(time_.now()) ? kLostEngineAnswers : 0;
  machines_.set_lag(list_lags_.active(time_.now()) ? kLongListLag : kUsualListLag);
  time_.schedule_after(kTick, [this] { tick(); });
}

void World::kill_node(std::uint32_t index, Duration down) {
  node(index).kill(down);
  if (key_value_.health.down.active(time_.now())) {
    // What only this node knew is lost until the service is back.
    reachability_.disturb_all(key_value_.health.down.left(time_.now()));
  }
}

void World::pause_node(std::uint32_t index, Duration span) {
  reachability_.disturb(index, span);
  node(index).pause(span);
}

void World::lose_zone(std::uint32_t zone, Duration span) {
  faults_.count(FaultKind::kZoneLost);
  const std::uint32_t zones = settings_.size.zones;
  const auto in_zone = [&](std::size_t index) { return index % zones == zone % zones; };
  for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
    if (in_zone(i)) {
      kill_node(i, span);
    }
  }
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    if (in_zone(i)) {
      engine(i).crash({span, true});
    }
  }
  for (std::uint32_t i = 0; i < relays_.size(); ++i) {
    if (in_zone(i)) {
      relay(i).crash(span);
    }
  }
}

void World::announce_server_leaving(std::uint32_t index, Duration span) {
  const ServerId server = server_name(index % (settings_.size.engines + settings_.size.relays));
  machines_.mark_leaving(server.value());
  time_.schedule_after(span, [this, server, zone = zone_name(index % settings_.size.zones)] {
    external::Machine machine;
    machine.name = server.value();
    machine.zone = zone;
    machines_.put(machine);
    leaving_.on_server_returns(server);
  });
}

void World::lag_machine_list(Duration span) {
  faults_.count(FaultKind::kMachineListLag);
  list_lags_.extend(time_.now() + span);
}

void World::lose_engine_answers(Duration span) {
  engine_answers_lost_.extend(time_.now() + span);
}

void World::take_key_value_down(Duration span) {
  faults_.count(FaultKind::kKeyValueDown);
  key_value_.health.down.extend(time_.now() + span);
}

void World::heal() {
  network_faults_.heal();
  key_value_.health = {};
  engine_answers_lost_.end();
  list_lags_.end();
  reachability_.clear();
  for (const auto& node : nodes_) {
    node->wake();
    node->start();
  }
  for (const auto& engine : engines_) {
    engine->answer_faults().clear();
  }
  for (const auto& relay : relays_) {
    relay->answer_faults().clear();
  }
}

}  // namespace ochrespring::simulation
