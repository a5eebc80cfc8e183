#include "membership/membership_service.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "base/hash.h"

namespace ochrespring::membership {

namespace {

constexpr std::uint32_t kWorstLocalHealth = 8;
constexpr std::size_t kMachinesContacted = 3;
constexpr std::size_t kMembersToldOfDeparture = 4;
constexpr double kJitter = 0.2;
constexpr double kTurnJitter = 0.9;

std::uint32_t accuser_of(const NodeId& node) {
  return static_cast<std::uint32_t>(stable_hash(node.value())) | 1U;
}

}  // namespace

MembershipService::MembershipService(Member self, MembershipSettings settings,
                                     MembershipDependencies dependencies)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      clock_(dependencies.clock),
      random_(dependencies.random),
      transport_(dependencies.transport),
      logger_(dependencies.logger),
      machine_list_(dependencies.machine_list),
      tick_(dependencies.timers),
      suspicions_(settings_),
      schedule_(settings_.remote_probe_share, random_),
      contacts_(settings_.seeds) {
  self_.state = MemberState::kAlive;
  table_.merge(self_update(), clock_.now());
}

void MembershipService::start() {
  const MonotonicTime now = clock_.now();
  last_tick_ = now;
  last_heard_ = now;
  next_probe_ = now + random_.jitter(settings_.probe_interval, kJitter);
  next_reconciliation_ = now + random_.jitter(settings_.reconcile_interval, kJitter);
  next_machine_list_ = now;
  announce_self();
  // The first round comes at a random moment, so that a fleet started at once does not act at once.
  tick_.arm(Duration(random_.below(settings_.tick.count())), [this] { on_tick(); });
}

void MembershipService::leave() {
  leaving_ = true;
  self_.state = MemberState::kLeaving;
  announce_self();
}

void MembershipService::depart() {
  tick_.disarm();
  MemberUpdate farewell = self_update();
  farewell.state = MemberState::kDead;
  refresh_schedule();
  for (const Member& member : schedule_.sample(kMembersToldOfDeparture)) {
    send(member.peer, Gossip{{farewell}});
  }
}

std::vector<Member> MembershipService::members() const {
  return table_.living();
}

void MembershipService::add_observer(MembershipObserver& observer) {
  observers_.push_back(&observer);
}

void MembershipService::remove_observer(MembershipObserver& observer) {
  std::erase(observers_, &observer);
}

void MembershipService::on_tick() {
  const MonotonicTime now = clock_.now();
  notice_pause(now);
  last_tick_ = now;
  refresh_schedule();
  expire_suspicions(now);
  run_probe(now);
  run_gossip();
  run_join();
  run_reconciliation(now);
  run_machine_list(now);
  statistics_.queued_updates = queue_.size();
  tick_.arm(random_.jitter(settings_.tick, kJitter), [this] { on_tick(); });
}

void MembershipService::notice_pause(MonotonicTime now) {
  const Duration late = now - last_tick_;
  if (late < settings_.tick + settings_.pause_threshold) {
    return;
  }
  // Silence while this node slept says nothing about the others.
  ++statistics_.pauses;
  suspicions_.postpone(late);
  probe_.reset();
  statistics_.local_health = std::min(statistics_.local_health + 1, kWorstLocalHealth);
}

void MembershipService::run_probe(MonotonicTime now) {
  if (!probe_) {
    if (now >= next_probe_) {
      start_probe(now);
    }
    return;
  }
  const Duration waited = now - probe_->sent;
  if (waited >= stretched(settings_.probe_interval)) {
    fail_probe(now);
    start_probe(now);
  } else if (waited >= stretched(settings_.probe_timeout) && !probe_->indirect_sent) {
    ask_others();
  }
}

void MembershipService::start_probe(MonotonicTime now) {
  probe_.reset();
  next_probe_ = now + random_.jitter(stretched(settings_.probe_interval), kJitter);
  const Member* target = schedule_.next();
  if (target == nullptr) {
    return;
  }
  ++statistics_.probes;
  probe_ = Probe{next_sequence_++, *target, now, false};
  send(target->peer, Ping{probe_->sequence, target->node, piggyback()});
}

void MembershipService::ask_others() {
  probe_->indirect_sent = true;
  for (const Member& member : schedule_.sample(settings_.indirect_probes + 1)) {
    if (member.node != probe_->target.node) {
      send(member.peer, IndirectPing{probe_->sequence, probe_->target.node, probe_->target.peer});
    }
  }
}

void MembershipService::fail_probe(MonotonicTime now) {
  ++statistics_.probe_failures;
  const bool heard_nobody = last_heard_ < probe_->sent;
  if (heard_nobody) {
    // Nobody was heard at all: the fault is more likely on this side.
    statistics_.local_health = std::min(statistics_.local_health + 1, kWorstLocalHealth);
  }
  const MemberRecord* record = table_.find(probe_->target.node);
  const bool gone = record == nullptr || record->member.state == MemberState::kDead;
  if (gone || record->changed > probe_->sent) {
    return;
  }
  ++statistics_.suspicions;
  const Incarnation incarnation = record->member.incarnation;
  if (record->member.state == MemberState::kLeaving) {
    suspicions_.accuse(probe_->target.node, incarnation, accuser_of(self_.node), now);
    return;
  }
  accuse(probe_->target.node, incarnation, accuser_of(self_.node));
}

void MembershipService::accuse(const NodeId& node, Incarnation incarnation, std::uint32_t accuser) {
  const MonotonicTime now = clock_.now();
  if (!suspicions_.accuse(node, incarnation, accuser, now)) {
    return;
  }
  MemberUpdate update;
  update.node = node;
  update.incarnation = incarnation;
  update.state = MemberState::kSuspect;
  update.accuser = accuser;
  queue_.push(update);
  if (table_.merge(update, now) == MergeResult::kChanged) {
    changed(node);
  }
}

void MembershipService::expire_suspicions(MonotonicTime now) {
  for (const NodeId& node : suspicions_.expired(now)) {
    MemberUpdate death;
    death.node = node;
    death.incarnation = suspicions_.incarnation(node);
    death.state = MemberState::kDead;
    suspicions_.clear(node);
    if (table_.merge(death, now) == MergeResult::kChanged) {
      ++statistics_.deaths;
      queue_.push(death);
      changed(node);
    }
  }
}

void MembershipService::run_gossip() {
  const double per_tick =
      static_cast<double>(settings_.gossip_bytes_per_second) * to_seconds(settings_.tick);
  const auto burst = static_cast<double>(settings_.message_bytes * settings_.gossip_fanout);
  gossip_allowance_ = std::min(gossip_allowance_ + per_tick, burst);
  for (const Member& member : schedule_.sample(settings_.gossip_fanout)) {
    if (queue_.empty() || gossip_allowance_ <= 0) {
      return;
    }
    Gossip message{piggyback()};
    for (const MemberUpdate& update : message.updates) {
      gossip_allowance_ -= static_cast<double>(encoded_bytes(update));
    }
    send(member.peer, message);
  }
}

void MembershipService::run_reconciliation(MonotonicTime now) {
  if (now < next_reconciliation_) {
    return;
  }
  next_reconciliation_ = now + random_.jitter(settings_.reconcile_interval, kJitter);
  table_.forget_dead(now, settings_.tombstone_retention, settings_.tombstones);
  ++statistics_.reconciliations;
  const std::vector<Member> chosen = schedule_.sample(2);
  if (!chosen.empty()) {
    send(chosen[random_.below(chosen.size())].peer, TableHash{table_.hash()});
  }
  // A member thought dead may be on the far side of a link that has healed.
  if (!dead_endpoints_.empty()) {
    auto entry = dead_endpoints_.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(random_.below(dead_endpoints_.size())));
    send(entry->first, TableHash{table_.hash()});
  }
}

void MembershipService::run_join() {
  if (joined_) {
    return;
  }
  const std::vector<Member> known = schedule_.sample(1);
  if (!known.empty()) {
    send_bucket_hashes(known.front().peer);
  }
  std::vector<Endpoint> others;
  for (const Endpoint& contact : contacts_) {
    if (contact != self_.peer) {
      others.push_back(contact);
    }
  }
  if (!others.empty()) {
    send_bucket_hashes(others[random_.below(others.size())]);
  }
}

void MembershipService::run_machine_list(MonotonicTime now) {
  if (machine_list_ == nullptr || now < next_machine_list_) {
    return;
  }
  const bool isolated = schedule_.empty();
  // The list is as long as the fleet: the nodes take turns, so that each reads it seldom.
  const auto members = static_cast<Duration::rep>(table_.living_count());
  const Duration interval =
      isolated ? settings_.isolated_list_interval : settings_.machine_list_interval * members;
  next_machine_list_ = now + random_.jitter(interval, kTurnJitter);
  if (joined_ && isolated && !contacts_.empty()) {
    return;
  }
  ++statistics_.machine_list_reads;
  machine_list_->list([this, guard = std::weak_ptr<bool>(alive_)](auto result) {
    if (!guard.expired() && result.has_value()) {
      on_machines(result.value());
    }
  });
}

void MembershipService::on_machines(const std::vector<external::Machine>& machines) {
  std::set<Endpoint> known;
  for (const Member& member : table_.living()) {
    known.insert(member.peer);
  }
  std::vector<Endpoint> strangers;
  bool others = false;
  for (const external::Machine& machine : machines) {
    const bool is_node = !machine.peer_endpoint.empty() && machine.peer_endpoint != self_.peer;
    others = others || is_node;
    if (is_node && !known.contains(machine.peer_endpoint)) {
      strangers.push_back(machine.peer_endpoint);
    }
  }
  contacts_ = settings_.seeds;
  contacts_.insert(contacts_.end(), strangers.begin(), strangers.end());
  joined_ = joined_ || (!others && settings_.seeds.empty());
  for (std::size_t i = 0; i < kMachinesContacted && !strangers.empty(); ++i) {
    send_bucket_hashes(strangers[random_.below(strangers.size())]);
  }
}

Duration MembershipService::stretched(Duration span) const {
  return span * (1 + statistics_.local_health);
}

std::size_t MembershipService::transmissions() const {
  const double members = static_cast<double>(table_.living_count() + 1);
  return static_cast<std::size_t>(std::ceil(std::log2(members))) + 3;
}

std::vector<MemberUpdate> MembershipService::piggyback() {
  return queue_.take(settings_.message_bytes, transmissions());
}

}  // namespace ochrespring::membership
