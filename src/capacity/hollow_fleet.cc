#include "capacity/hollow_fleet.h"

#include <utility>

#include "config/head_storage.h"

namespace ochrespring::capacity {

namespace {
constexpr std::size_t kNodesPublishingViews = 2;
}  // namespace

HollowFleet::HollowFleet(FleetShape shape, FleetLinks links, std::uint64_t seed)
    : shape_(shape),
      links_(links),
      random_(seed),
      network_(time_, random_),
      key_values_(time_, random_),
      document_(fleet_document(shape)),
      engines_(random_, document_) {
  network_.set_link_policy(
      [this](const Endpoint& from, const Endpoint& to) { return link(from, to); });
  for (const fleet::Engine& engine : document_.engines) {
    external::Machine machine;
    machine.name = engine.server.value();
    machine.zone = engine.zone;
    machine.region = engine.region;
    machines_.machines[machine.name] = machine;
  }
}

std::optional<simulation::LinkQuality> HollowFleet::link(const Endpoint& from,
                                                         const Endpoint& to) const {
  const auto source = places_.find(from);
  const auto target = places_.find(to);
  if (source == places_.end() || target == places_.end()) {
    return std::nullopt;
  }
  const Place& left = source->second;
  const Place& right = target->second;
  const bool one_region = left.region == right.region;
  if (!one_region && (cut_regions_.contains(left.region) || cut_regions_.contains(right.region))) {
    return std::nullopt;
  }
  Duration delay = links_.between_regions;
  if (one_region) {
    delay = left.zone == right.zone ? links_.within_zone : links_.between_zones;
  }
  simulation::LinkQuality quality;
  quality.shortest_delay = delay;
  quality.longest_delay = delay + delay / 2;
  quality.loss = links_.loss;
  return quality;
}

void HollowFleet::store_configuration() {
  simulation::LocalKeyValueStore store(key_values_);
  config::ConfigSettings settings;
  config::DocumentStore documents(settings.deltas_kept);
  config::CheckpointStorage checkpoints(store, settings, random_.next());
  config::HeadStorage heads(store, checkpoints, documents);
  documents.adopt(document_);
  heads.write_back({}, [](const auto& /*written*/) {});
  run(std::chrono::seconds(1));
}

void HollowFleet::start() {
  store_configuration();
  for (std::size_t index = 0; index < shape_.nodes; ++index) {
    start_node(index);
  }
}

void HollowFleet::start_node(std::size_t index) {
  kill(index);
  membership::Member self = node_member(shape_, index);
  self.incarnation = Incarnation(++starts_);
  places_[self.peer] = {self.zone, self.region};
  external::Machine machine;
  machine.name = self.node.value();
  machine.zone = self.zone;
  machine.region = self.region;
  machine.peer_endpoint = self.peer;
  machines_.machines[machine.name] = machine;
  const HollowWorld world{time_, random_, network_, key_values_, machines_, engines_};
  nodes_[index] = std::make_unique<HollowNode>(world, self, index < kNodesPublishingViews);
  nodes_[index]->start();
}

void HollowFleet::kill(std::size_t index) {
  nodes_.erase(index);
}

void HollowFleet::cut_region(const RegionName& region, bool cut) {
  if (cut) {
    cut_regions_.insert(region);
  } else {
    cut_regions_.erase(region);
  }
}

}  // namespace ochrespring::capacity
