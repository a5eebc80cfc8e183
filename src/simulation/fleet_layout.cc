#include "simulation/fleet_layout.h"

#include <string>

namespace ochrespring::simulation {
namespace {

constexpr char kRegion[] = "home";
constexpr std::uint64_t kWeightBytes = 1U << 20U;

std::string address(const std::string& network, std::uint32_t index, const std::string& port) {
  return network + "." + std::to_string(index + 1) + ":" + port;
}

std::uint32_t zone_of(const FleetSize& size, std::uint32_t index) {
  return index % size.zones;
}

fleet::Engine placed(const FleetSize& size, std::uint32_t index, std::uint32_t zone) {
  fleet::Engine engine;
  engine.server = server_name(index);
  engine.zone = zone_name(zone % size.zones);
  engine.region = RegionName(kRegion);
  return engine;
}

fleet::Service service(const char* name, fleet::ServiceKind kind, bool repeatable) {
  fleet::Service made;
  made.name = ServiceName(name);
  made.kind = kind;
  made.repeatable = repeatable;
  made.limits.deadline = kRequestDeadline;
  made.limits.drain = kDrainLimit;
  made.limits.minimum_serving_percent = 50;
  return made;
}

fleet::ModelVersion version(const char* name) {
  return {ModelName(kModel), VersionName(name), kWeightBytes, {}};
}

}  // namespace

ZoneName zone_name(std::uint32_t zone) {
  return ZoneName("zone-" + std::to_string(zone));
}

ServerId server_name(std::uint32_t index) {
  return ServerId("server-" + std::to_string(index));
}

std::vector<NodeSite> node_sites(const FleetSize& size) {
  std::vector<NodeSite> sites;
  for (std::uint32_t i = 0; i < size.nodes; ++i) {
    sites.push_back({NodeId("node-" + std::to_string(i)), zone_name(zone_of(size, i)),
                     RegionName(kRegion), Endpoint(address("10.0.0", i, "7000"))});
  }
  return sites;
}

std::vector<EngineSite> engine_sites(const FleetSize& size) {
  std::vector<EngineSite> sites;
  for (std::uint32_t i = 0; i < size.engines; ++i) {
    EngineSite site;
    site.id = EngineId("engine-" + std::to_string(i));
    site.endpoint = Endpoint(address("10.1.0", i, "8000"));
    site.zone = zone_name(zone_of(size, i));
    site.model = ModelName(kModel);
    site.version = VersionName(kFirstVersion);
    sites.push_back(site);
  }
  return sites;
}

std::vector<RelaySite> relay_sites(const FleetSize& size) {
  std::vector<RelaySite> sites;
  for (std::uint32_t i = 0; i < size.relays; ++i) {
    sites.push_back(
        {EngineId("relay-" + std::to_string(i)), Endpoint(address("10.2.0", i, "8000"))});
  }
  return sites;
}

std::vector<fleet::Resource> first_resources(const FleetSize& size) {
  std::vector<fleet::Resource> resources;
  fleet::Policy policy;
  policy.role_change_cooldown = std::chrono::seconds(10);
  resources.emplace_back(policy);
  fleet::Tenant tenant;
  tenant.name = TenantName(kTenant);
  resources.emplace_back(tenant);
  resources.emplace_back(service(kModelService, fleet::ServiceKind::kModel, true));
  resources.emplace_back(service(kRelayService, fleet::ServiceKind::kOrdinary, false));
  fleet::Model model;
  model.name = ModelName(kModel);
  model.service = ServiceName(kModelService);
  model.serving_version = VersionName(kFirstVersion);
  resources.emplace_back(model);
  resources.emplace_back(version(kFirstVersion));
  resources.emplace_back(version(kSecondVersion));
  const auto engines = engine_sites(size);
  for (std::uint32_t i = 0; i < engines.size(); ++i) {
    fleet::Engine engine = placed(size, i, i);
    engine.id = engines[i].id;
    engine.service = ServiceName(kModelService);
    engine.endpoint = engines[i].endpoint;
    engine.model = ModelName(kModel);
    resources.emplace_back(engine);
  }
  const auto relays = relay_sites(size);
  for (std::uint32_t i = 0; i < relays.size(); ++i) {
    fleet::Engine relay = placed(size, size.engines + i, i);
    relay.id = relays[i].id;
    relay.service = ServiceName(kRelayService);
    relay.endpoint = relays[i].endpoint;
    relay.role = fleet::EngineRole::kOrdinary;
    resources.emplace_back(relay);
  }
  return resources;
}

}  // namespace ochrespring::simulation
