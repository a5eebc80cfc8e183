#include "controller/controller.h"

#include <utility>

namespace ochrespring::controller {

Controller::Controller(const ControllerDependencies& dependencies, TimerService& timers,
                       const ControllerSettings& settings)
    : dependencies_(dependencies), settings_(settings), tick_timer_(timers) {
  dependencies_.leases.add_observer(*this);
  tick_timer_.arm(settings_.tick, [this] { tick(); });
}

Controller::~Controller() {
  dependencies_.leases.remove_observer(*this);
}

void Controller::configure(const fleet::FleetDocument& document) {
  document_ = document;
  for (auto& [key, shard] : shards_) {
    shard->configure(document_);
  }
}

void Controller::on_load(const engine::LoadReport& report) {
  for (auto& [key, shard] : shards_) {
    shard->on_load(report);
  }
}

std::optional<ControlledEngine> Controller::engine(const EngineId& engine) const {
  for (const auto& [key, shard] : shards_) {
    const EngineDriver* driver = shard->find(engine);
    if (driver != nullptr && driver->status()) {
      return ControlledEngine{*driver->status(), driver->out()};
    }
  }
  return std::nullopt;
}

std::optional<Decision> Controller::decision(const EngineId& engine) const {
  for (const auto& [key, shard] : shards_) {
    if (auto decision = shard->decision(engine)) {
      return decision;
    }
  }
  return std::nullopt;
}

void Controller::on_lease_gained(const authority::HeldLease& lease) {
  auto shard =
      std::make_unique<ShardController>(dependencies_, settings_.driver, lease, statistics_);
  shard->configure(document_);
  shards_[lease.key] = std::move(shard);
}

void Controller::on_lease_lost(const authority::ShardKey& key) {
  auto node = shards_.extract(key);
  if (!node.empty()) {
    retired_.push_back(std::move(node.mapped()));
  }
}

void Controller::tick() {
  tick_timer_.arm(settings_.tick, [this] { tick(); });
  retired_.clear();
  const MonotonicTime now = dependencies_.clock.now();
  const bool planning = now >= next_plan_;
  if (planning) {
    next_plan_ = now + settings_.plan_interval;
  }
  std::vector<authority::ShardKey> keys;
  for (const auto& [key, shard] : shards_) {
    keys.push_back(key);
  }
  for (const authority::ShardKey& key : keys) {
    // A shard may lose its lease while another is served.
    const auto found = shards_.find(key);
    if (found == shards_.end() || !dependencies_.leases.held(key)) {
      continue;
    }
    ShardController& shard = *found->second;
    shard.on_tick();
    if (planning && shards_.contains(key)) {
      shards_.at(key)->plan();
    }
  }
}

}  // namespace ochrespring::controller
