#include "ledger/roster_keeper.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::ledger {

namespace {

using membership::Member;
using membership::MemberState;

/// Status answers older than this are asked for again.
constexpr Duration kStatusLifetime = std::chrono::seconds(5);
/// Balancing waits until membership has been quiet this long.
constexpr Duration kSettleTime = std::chrono::seconds(15);
/// Partitions moved at a time only to balance.
constexpr std::size_t kOptionalMoves = 2;
/// Intervals vary by this fraction, so that nodes do not act in step.
constexpr double kJitter = 0.2;

std::vector<Member> eligible_members(const membership::MemberView& view) {
  std::vector<Member> eligible;
  for (const Member& member : view.members()) {
    if (member.state == MemberState::kAlive || member.state == MemberState::kSuspect) {
      eligible.push_back(member);
    }
  }
  return eligible;
}

}  // namespace

RosterKeeper::RosterKeeper(const LedgerSettings& settings, BootId self,
                           const membership::MemberView& members, external::KeyValueStore& store,
                           external::MachineList& machines, const Clock& clock,
                           TimerService& timers, RandomSource& random, LedgerSender& sender,
                           std::function<void(Roster)> adopt)
    : settings_(settings),
      self_(self),
      members_(members),
      store_(store),
      machines_(machines),
      clock_(clock),
      random_(random),
      sender_(sender),
      adopt_(std::move(adopt)),
      tick_timer_(timers) {}

void RosterKeeper::start() {
  members_changed_ = clock_.now();
  last_read_ = clock_.now() - settings_.roster_read_interval;
  tick();
}

void RosterKeeper::update(const Roster& roster) {
  roster_ = roster;
}

std::optional<Endpoint> RosterKeeper::keeper_endpoint() const {
  const Member* best = nullptr;
  std::uint64_t best_weight = 0;
  const std::vector<Member> eligible = eligible_members(members_);
  for (const Member& member : eligible) {
    const std::uint64_t weight = rendezvous_weight("ledger-roster-keeper", member.node.value());
    if (best == nullptr || weight > best_weight) {
      best = &member;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional<Endpoint>(best->peer);
}

bool RosterKeeper::is_keeper() const {
  return keeper_endpoint() == members_.self().peer;
}

void RosterKeeper::on_status(const StatusReply& reply, const Endpoint& from,
                             RosterRevision roster) {
  ReplicaStatus status{Replica{reply.node, reply.boot, from}, roster, reply.voting};
  statuses_.insert_or_assign(reply.node, HeardStatus{std::move(status), clock_.now()});
}

void RosterKeeper::tick() {
  if (members_.version() != members_version_) {
    members_version_ = members_.version();
    members_changed_ = clock_.now();
  }
  const MonotonicTime now = clock_.now();
  std::erase_if(statuses_,
                [now](const auto& item) { return now - item.second.heard > kStatusLifetime; });
  if (is_keeper()) {
    if (!call_outstanding_ && now - last_read_ >= settings_.roster_read_interval) {
      read_roster();
    }
    consider_change();
  }
  tick_timer_.arm(random_.jitter(settings_.keeper_interval, kJitter), [this] { tick(); });
}

void RosterKeeper::read_roster() {
  last_read_ = clock_.now();
  call_outstanding_ = true;
  ++statistics_.reads;
  store_.get(kRosterKey, [this](auto result) {
    call_outstanding_ = false;
    if (result.has_value()) {
      on_roster_read(result.value());
    } else {
      stored_version_.reset();
    }
  });
}

void RosterKeeper::on_roster_read(const std::optional<external::KeyValueEntry>& entry) {
  if (!entry) {
    stored_version_ = external::KeyVersion(0);
    stored_revision_ = RosterRevision(0);
  } else {
    auto roster = wire::decode<Roster>(entry->value);
    if (!roster.has_value()) {
      stored_version_.reset();
      return;
    }
    stored_version_ = entry->version;
    stored_revision_ = roster.value().revision;
    adopt_(std::move(roster).value());
  }
  // The service came back from an older state: the newer roster is the true one.
  if (stored_revision_ < roster_.revision) {
    ++statistics_.restored;
    propose(roster_);
  }
}

void RosterKeeper::read_machines() {
  machines_.list([this](auto result) {
    if (!result.has_value()) {
      return;
    }
    std::set<NodeId> listed;
    for (const external::Machine& machine : result.value()) {
      listed.insert(NodeId(machine.name));
    }
    unlisted_.clear();
    for (const Assignment& assignment : roster_.partitions) {
      for (const Replica& replica : assignment.replicas) {
        if (!listed.contains(replica.node)) {
          unlisted_.insert(replica.node);
        }
      }
    }
  });
}

RosterPlanInput RosterKeeper::plan_input() const {
  RosterPlanInput input;
  input.partitions = settings_.partitions;
  input.replicas = settings_.replicas;
  input.eligible = eligible_members(members_);
  for (const auto& [node, heard] : statuses_) {
    input.statuses.emplace(node, heard.status);
  }
  for (const NodeId& node : unlisted_) {
    const bool alive = std::any_of(input.eligible.begin(), input.eligible.end(),
                                   [&node](const Member& member) { return member.node == node; });
    if (!alive) {
      input.unlisted.insert(node);
    }
  }
  const bool settled = clock_.now() - members_changed_ >= kSettleTime;
  input.optional_moves = settled ? kOptionalMoves : 0;
  return input;
}

void RosterKeeper::consider_change() {
  const RosterPlanInput input = plan_input();
  if (roster_.partitions.empty()) {
    consider_first_roster(input);
    return;
  }
  const std::set<NodeId> nodes = nodes_to_ask(roster_, input);
  if (nodes.empty()) {
    return;
  }
  ask(nodes);
  read_machines();
  const bool may_propose = stored_version_ && stored_revision_ == roster_.revision;
  if (!may_propose || call_outstanding_) {
    return;
  }
  if (const auto next = next_roster(roster_, input)) {
    propose(*next);
  }
}

void RosterKeeper::consider_first_roster(const RosterPlanInput& input) {
  std::set<NodeId> nodes;
  for (const Member& member : input.eligible) {
    nodes.insert(member.node);
  }
  ask(nodes);
  // A node that knows a roster would have pushed it; only when most answer that they know none, and
  // the service has none either, is this the first start.
  const bool most_answered = input.statuses.size() >= majority_of(input.eligible.size());
  const bool none_stored = stored_version_ == external::KeyVersion(0);
  if (!most_answered || !none_stored || call_outstanding_) {
    return;
  }
  if (const auto roster = first_roster(input)) {
    propose(*roster);
  }
}

void RosterKeeper::ask(const std::set<NodeId>& nodes) {
  for (const Member& member : members_.members()) {
    if (nodes.contains(member.node)) {
      sender_.send(member.peer, StatusRequest{});
    }
  }
}

void RosterKeeper::propose(const Roster& roster) {
  call_outstanding_ = true;
  ++statistics_.proposals;
  store_.compare_and_swap(kRosterKey, *stored_version_, wire::encode(roster), std::nullopt,
                          [this, roster](auto result) {
                            call_outstanding_ = false;
                            // Unknown effect or lost race: read again before anything else is
                            // proposed.
                            stored_version_.reset();
                            last_read_ = clock_.now() - settings_.roster_read_interval;
                            if (result.has_value() && result.value().swapped) {
                              stored_version_ = result.value().version;
                              stored_revision_ = roster.revision;
                              adopt_(roster);
                            }
                          });
}

}  // namespace ochrespring::ledger
