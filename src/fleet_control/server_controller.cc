#include "fleet_control/server_controller.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ochrespring::fleet_control {

namespace {

using duties::DutyErrc;
using duties::Fence;

constexpr std::string_view kComponent = "fleet_control";

std::uint32_t total_regular(const ServersByZone& servers) {
  std::uint32_t sum = 0;
  for (const auto& [zone, present] : servers) {
    sum += present.regular;
  }
  return sum;
}

std::uint32_t total_servers(const ServersByZone& servers) {
  std::uint32_t sum = 0;
  for (const auto& [zone, present] : servers) {
    sum += present.regular + present.preemptible;
  }
  return sum;
}

}  // namespace

ServerController::ServerController(World world, ServerControllerOptions options)
    : world_(world), options_(std::move(options)), timer_(world.timers) {}

void ServerController::start() {
  timer_.arm(options_.period, [this] {
    step();
    start();
  });
}

void ServerController::step() {
  const auto fence = world_.lease.fence();
  if (!fence || store_call_pending_ || !world_.fleet.routes()) {
    return;
  }
  if (std::exchange(reset_pending_, false)) {
    orders_.clear();
    supplies_.clear();
    read_stored_needs(*fence);
    return;
  }
  for (const gateway::Service& service : world_.fleet.routes()->configuration().services) {
    if (service.scaling) {
      adjust_service(*fence, service);
    }
  }
}

void ServerController::read_stored_needs(Fence fence) {
  store_call_pending_ = true;
  world_.store.list(options_.key_prefix, [this, fence](auto result) {
    store_call_pending_ = false;
    if (!result) {
      log_store_failure("stored server needs could not be read", result.error().message);
    }
    if (!result || world_.lease.fence() != fence) {
      reset_pending_ = true;
      return;
    }
    for (const shared_store::Change& item : result.value().items) {
      const std::string& text = *item.value;
      std::uint32_t needed = 0;
      const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), needed);
      if (error != std::errc()) {
        log_store_failure("stored server need cannot be decoded", item.key);
        continue;
      }
      needed_[ServiceName(item.key.substr(options_.key_prefix.size()))] = needed;
    }
  });
}

bool ServerController::ensure_need_stored(const ServiceName& service,
                                          const ServersByZone& present) {
  const std::uint32_t seen = total_regular(present);
  const auto known = needed_.find(service);
  if (known != needed_.end() && known->second >= seen) {
    return true;
  }
  store_call_pending_ = true;
  world_.store.commit(
      {.conditions = {world_.lease.held_condition()},
       .writes = {{options_.key_prefix + service.value(), std::to_string(seen), std::nullopt}},
       .removals = {}},
      [this, service, seen](auto result) {
        store_call_pending_ = false;
        if (!result) {
          // Whether or not the commit succeeded, the next step writes it again.
          log_store_failure("server need could not be stored", result.error().message);
          return;
        }
        needed_[service] = seen;
        need_raised_at_[service] = world_.clock.now();
      });
  return false;
}

ServersByZone ServerController::count_servers(const gateway::Service& service) const {
  ServersByZone servers;
  // A zone without servers still counts as a zone.
  for (const auto& [zone, price] : service.scaling->zone_prices) {
    servers[zone] = {};
  }
  for (const auto& [id, backend] : world_.fleet.backends()) {
    if (backend.service == service.name && !world_.fleet.is_leaving(backend)) {
      ZoneServers& zone = servers[backend.zone];
      ++(backend.preemptible ? zone.preemptible : zone.regular);
    }
  }
  return servers;
}

void ServerController::adjust_service(Fence fence, const gateway::Service& service) {
  const ServersByZone present = count_servers(service);
  if (store_call_pending_ || total_servers(present) == 0 ||
      !ensure_need_stored(service.name, present) ||
      !preemptible_is_cheaper(*service.scaling, present.size(), options_.plan)) {
    return;
  }
  const std::uint32_t needed = needed_.at(service.name);
  update_supply(service.name, present);
  for (const auto& [zone, wanted] :
       plan_servers(*service.scaling, needed, present, options_.plan)) {
    const ZoneServers& current = present.at(zone);
    order(fence, {service.name, zone, true}, wanted.preemptible, current.preemptible,
          service.scaling->boot);
    order(fence, {service.name, zone, false},
          regular_target(service.name, wanted.regular, current.regular), current.regular,
          service.scaling->boot);
  }
}

void ServerController::update_supply(const ServiceName& service, const ServersByZone& present) {
  const MonotonicTime now = world_.clock.now();
  const std::uint32_t needed = needed_.at(service);
  const auto [entry, first] = supplies_.try_emplace(service);
  Supply& supply = entry->second;
  if (first && total_regular(present) < needed) {
    // These are not the initial servers of the operators: an earlier holder may have ordered them.
    supply.regular_required_at = now;
  }
  const std::uint32_t missing = needed - std::min(needed, total_servers(present));
  if (missing <= static_cast<std::uint32_t>(options_.tolerated_shortage_ratio * needed)) {
    supply.shortage_since.reset();
    return;
  }
  supply.shortage_since = supply.shortage_since.value_or(now);
  supply.regular_required_at = now;
}

std::uint32_t ServerController::regular_target(const ServiceName& service, std::uint32_t wanted,
                                               std::uint32_t present) const {
  const MonotonicTime now = world_.clock.now();
  const Supply& supply = supplies_.at(service);
  if (wanted > present) {
    const bool persistent =
        supply.shortage_since && now - *supply.shortage_since >= options_.shortage_grace_period;
    return persistent ? wanted : present;
  }
  const bool supply_stable =
      !supply.regular_required_at || now - *supply.regular_required_at >= options_.release_delay;
  const auto raised = need_raised_at_.find(service);
  const bool need_stable =
      raised == need_raised_at_.end() || now - raised->second >= options_.need_settling_time;
  return supply_stable && need_stable ? wanted : present;
}

void ServerController::order(Fence fence, const ServerPool& pool, std::uint32_t desired,
                             std::uint32_t present, Duration boot) {
  const MonotonicTime now = world_.clock.now();
  const auto known = orders_.find(pool);
  if (known == orders_.end() && desired == present) {
    return;
  }
  Order& last = orders_[pool];
  const bool first = known == orders_.end();
  const bool changed = first || last.desired != desired;
  const bool overdue =
      !first && present != desired && now - last.at > boot + options_.reorder_delay;
  const bool retry = last.failed && now - last.at >= options_.retry_delay;
  if (last.call_pending || !(changed || overdue || retry)) {
    return;
  }
  last = {.desired = desired, .at = now, .call_pending = true, .failed = false};
  ++statistics_.orders;
  log("servers ordered", pool, desired, present, overdue ? "again" : "");
  world_.provider.order_servers(
      fence, pool, desired, [this, pool](const auto& result) { on_order_completed(pool, result); });
}

void ServerController::on_order_completed(const ServerPool& pool,
                                          const duties::DutyResult& result) {
  Order& last = orders_[pool];
  last.call_pending = false;
  if (result) {
    return;
  }
  last.failed = true;
  const bool refused = result.error().code == DutyErrc::kRefused;
  ++(refused ? statistics_.refused : statistics_.failed);
  log("server order failed", pool, last.desired, 0, result.error().message);
  // Preemptible servers may be unavailable; orders for regular servers are refused only because of
  // the fence.
  if (refused && !pool.preemptible) {
    world_.lease.relinquish();
  }
}

void ServerController::log_store_failure(std::string_view message, std::string_view detail) {
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       std::string(message),
                       {{"detail", std::string(detail)}}});
}

void ServerController::log(std::string_view message, const ServerPool& pool, std::uint32_t desired,
                           std::uint32_t present, std::string_view detail) {
  const auto age = world_.clock.now() - world_.fleet.current_at().value_or(world_.clock.now());
  const auto needed = needed_.find(pool.service);
  world_.logger.write(
      {logging::Level::kInfo,
       kComponent,
       std::string(message),
       {{"service", pool.service.value()},
        {"zone", pool.zone.value()},
        {"preemptible", pool.preemptible},
        {"desired", static_cast<std::uint64_t>(desired)},
        {"present", static_cast<std::uint64_t>(present)},
        {"needed", static_cast<std::uint64_t>(needed == needed_.end() ? 0 : needed->second)},
        {"view_age_milliseconds",
         std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
        {"fence", world_.lease.fence().value_or(Fence()).value()},
        {"detail", std::string(detail)}}});
}

}  // namespace ochrespring::fleet_control
