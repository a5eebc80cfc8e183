#include "authority/authority.h"

#include <algorithm>
#include <set>
#include <utility>

#include "authority/messages.h"
#include "wire/codec.h"

namespace ochrespring::authority {

namespace {

/// A zone's name travels in every message, in one place or another.
const ZoneName& zone_of(const AuthorityMessage& message) {
  return std::visit(
      [](const auto& alternative) -> const ZoneName& {
        if constexpr (requires { alternative.key; }) {
          return alternative.key.zone;
        } else if constexpr (requires { alternative.electorate.generation; }) {
          return alternative.electorate.zone;
        } else {
          return alternative.zone;
        }
      },
      message);
}

std::unique_ptr<const AuthorityMessage> decode_message(std::string_view payload) {
  auto decoded = wire::decode<AuthorityMessage>(payload);
  return decoded.has_error() ? nullptr
                             : std::make_unique<const AuthorityMessage>(std::move(decoded).value());
}

/// Bounds what a malformed or hostile peer can make a node keep.
constexpr std::size_t kLargestZoneCount = 256;

}  // namespace

Authority::Authority(const AuthorityDependencies& dependencies, const AuthoritySettings& settings)
    : dependencies_(dependencies), settings_(settings), tick_timer_(dependencies.timers) {
  const membership::Member& self = dependencies_.members.self();
  self_ = VoterIdentity{self.node, BootId(dependencies_.random.next()), self.peer};
  dependencies_.members.add_observer(*this);
  tick_timer_.arm(dependencies_.random.jitter(settings_.tick, 0.5), [this] { tick(); });
}

Authority::~Authority() {
  dependencies_.members.remove_observer(*this);
}

void Authority::configure(const fleet::FleetDocument& document) {
  layout_ = ShardLayout{document.revision, std::max<std::uint32_t>(document.policy.shards, 1)};
  std::set<ZoneName> wanted;
  for (const fleet::Engine& engine : document.engines) {
    wanted.insert(engine.zone);
  }
  for (const ZoneName& name : wanted) {
    zone(name);
  }
  for (auto& [name, zone_authority] : zones_) {
    zone_authority->set_wanted(wanted.contains(name));
    zone_authority->configure(layout_, dependencies_.clock.now());
  }
  members_changed_ = true;
}

void Authority::set_machine_gone(std::function<bool(const NodeId&)> machine_gone) {
  machine_gone_ = std::move(machine_gone);
}

void Authority::stop() {
  refresh_members();
  for (auto& [name, zone_authority] : zones_) {
    zone_authority->stop(dependencies_.clock.now());
  }
  deliver_local();
}

ZoneAuthority& Authority::zone(const ZoneName& name) {
  auto& entry = zones_[name];
  if (!entry) {
    entry = std::make_unique<ZoneAuthority>(
        name, self_, settings_, dependencies_.lease_chart, dependencies_.store,
        dependencies_.random,
        ZoneAuthority::Callbacks{
            [this](const Endpoint& to, const AuthorityMessage& message) { send(to, message); },
            [this](const HeldLease& lease) { announce_gained(lease); },
            [this](const ShardKey& key) { announce_lost(key); },
            [this](const NodeId& node) { return machine_gone_ && machine_gone_(node); }});
    members_changed_ = true;
  }
  return *entry;
}

void Authority::send(const Endpoint& to, const AuthorityMessage& message) {
  if (to == self_.peer) {
    local_.push_back(message);
    return;
  }
  std::string payload = wire::encode(message);
  ++statistics_.messages_sent;
  statistics_.bytes_sent += payload.size();
  dependencies_.transport.send(to, peer::Channel::kAuthority, std::move(payload));
}

void Authority::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = decode_message(payload);
  if (!message) {
    ++statistics_.messages_malformed;
    return;
  }
  dispatch(from, *message);
  deliver_local();
}

void Authority::dispatch(const Endpoint& from, const AuthorityMessage& message) {
  const ZoneName& name = zone_of(message);
  if (zones_.size() >= kLargestZoneCount && !zones_.contains(name)) {
    ++statistics_.messages_malformed;
    return;
  }
  zone(name).on_message(from, message, dependencies_.clock.now());
}

/// Messages to this node run after the handler that sent them, never inside it.
void Authority::deliver_local() {
  if (delivering_) {
    return;
  }
  delivering_ = true;
  while (!local_.empty()) {
    const std::vector<AuthorityMessage> batch = std::exchange(local_, {});
    for (const AuthorityMessage& message : batch) {
      dispatch(self_.peer, message);
    }
  }
  delivering_ = false;
}

void Authority::tick() {
  tick_timer_.arm(settings_.tick, [this] { tick(); });
  refresh_members();
  for (auto& [name, zone_authority] : zones_) {
    zone_authority->on_tick(dependencies_.clock.now());
  }
  deliver_local();
}

void Authority::refresh_members() {
  if (!std::exchange(members_changed_, false)) {
    return;
  }
  const std::vector<membership::Member> members = dependencies_.members.members();
  for (auto& [name, zone_authority] : zones_) {
    zone_authority->on_members(members);
  }
}

void Authority::on_member_changed(const membership::Member& /*member*/) {
  members_changed_ = true;
}

void Authority::announce_gained(const HeldLease& lease) {
  ++statistics_.leases_gained;
  dependencies_.logger.write({logging::Level::kInfo,
                              "authority",
                              "lease gained",
                              {{"zone", lease.key.zone.value()},
                               {"shard", std::uint64_t{lease.key.shard.value()}},
                               {"epoch", lease.epoch.value()}}});
  for (LeaseObserver* observer : observers_) {
    observer->on_lease_gained(lease);
  }
}

void Authority::announce_lost(const ShardKey& key) {
  ++statistics_.leases_lost;
  dependencies_.logger.write(
      {logging::Level::kInfo,
       "authority",
       "lease lost",
       {{"zone", key.zone.value()}, {"shard", std::uint64_t{key.shard.value()}}}});
  for (LeaseObserver* observer : observers_) {
    observer->on_lease_lost(key);
  }
}

std::optional<HeldLease> Authority::held(const ShardKey& key) const {
  const auto found = zones_.find(key.zone);
  return found == zones_.end() ? std::nullopt
                               : found->second->held(key.shard, dependencies_.clock.now());
}

std::optional<VoterIdentity> Authority::holder_hint(const ShardKey& key) const {
  const auto found = zones_.find(key.zone);
  return found == zones_.end() ? std::nullopt : found->second->holder_hint(key.shard);
}

ShardLayout Authority::layout(const ZoneName& zone) const {
  const auto found = zones_.find(zone);
  return found == zones_.end() ? layout_ : found->second->layout();
}

void Authority::require_epoch_above(const ShardKey& key, Epoch epoch) {
  const auto found = zones_.find(key.zone);
  if (found != zones_.end()) {
    found->second->require_epoch_above(key.shard, epoch, dependencies_.clock.now());
    deliver_local();
  }
}

void Authority::add_observer(LeaseObserver& observer) {
  observers_.push_back(&observer);
}

void Authority::remove_observer(LeaseObserver& observer) {
  std::erase(observers_, &observer);
}

std::vector<HeldLease> Authority::held_leases() const {
  std::vector<HeldLease> leases;
  for (const auto& [name, zone_authority] : zones_) {
    for (std::uint32_t shard = 0; shard < zone_authority->layout().shards; ++shard) {
      if (const auto lease = zone_authority->held(ShardId(shard), dependencies_.clock.now())) {
        leases.push_back(*lease);
      }
    }
  }
  return leases;
}

AuthorityStatistics Authority::statistics() const {
  AuthorityStatistics total = statistics_;
  for (const auto& [name, zone_authority] : zones_) {
    total.store_calls += zone_authority->keeper_statistics().store_calls;
    total.electorates_created += zone_authority->keeper_statistics().electorates_created;
  }
  return total;
}

}  // namespace ochrespring::authority
