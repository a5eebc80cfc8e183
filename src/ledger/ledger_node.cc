#include "ledger/ledger_node.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "wire/codec.h"

namespace ochrespring::ledger {

namespace {

/// Nodes a new roster is passed on to.
constexpr std::size_t kSpreadFanout = 3;
/// One peer gets the roster at most this often.
constexpr Duration kPushInterval = std::chrono::milliseconds(500);

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

LedgerNode::LedgerNode(LedgerSettings settings, const membership::MemberView& members,
                       peer::Transport& transport, external::KeyValueStore& store,
                       external::MachineList& machines, const Clock& clock, TimerService& timers,
                       RandomSource& random)
    : settings_(settings),
      self_(random.next()),
      members_(members),
      transport_(transport),
      clock_(clock),
      timers_(timers),
      random_(random),
      replicas_(settings_, self_, clock, timers, *this),
      coordinator_(settings_, self_, clock, timers, *this),
      keeper_(settings_, self_, members, store, machines, clock, timers, random, *this,
              [this](Roster roster) { adopt(std::move(roster)); }),
      tick_timer_(timers) {}

void LedgerNode::start() {
  keeper_.start();
  tick();
}

void LedgerNode::claim(const ClaimKey& key, std::uint64_t body_hash,
                       std::function<void(ClaimResult)> done) {
  coordinator_.claim(key, body_hash, std::move(done));
}

void LedgerNode::record(const ClaimKey& key, RecordedOutcome outcome,
                        std::function<void(bool)> done) {
  coordinator_.record(key, std::move(outcome), std::move(done));
}

void LedgerNode::release(const ClaimKey& key) {
  coordinator_.release(key);
}

void LedgerNode::send(const Endpoint& to, LedgerBody body) {
  const LedgerMessage message{roster_.revision, std::move(body)};
  std::string payload = wire::encode(message);
  if (to == members_.self().peer) {
    timers_.schedule_after(Duration::zero(),
                           [this, to, bytes = std::move(payload)] { on_message(to, bytes); });
    return;
  }
  ++messages_sent_;
  bytes_sent_ += payload.size();
  transport_.send(to, peer::Channel::kLedger, std::move(payload));
}

void LedgerNode::on_message(const Endpoint& from, std::string_view payload) {
  const auto message = wire::decode<LedgerMessage>(payload);
  if (!message.has_value()) {
    ++malformed_;
    return;
  }
  compare_rosters(from, message.value().roster);
  handle(from, message.value());
}

void LedgerNode::handle(const Endpoint& from, const LedgerMessage& message) {
  std::visit(Overloaded{
                 [&](const ClaimRequest& body) { send(from, replicas_.on_claim(body)); },
                 [&](const ClaimReply& body) { coordinator_.on_claim_reply(body); },
                 [&](const RecordRequest& body) { send(from, replicas_.on_record(body)); },
                 [&](const RecordReply& body) { coordinator_.on_record_reply(body); },
                 [&](const ReleaseRequest& body) { replicas_.on_release(body); },
                 [&](const SealRequest& body) { send(from, replicas_.on_seal(body)); },
                 [&](const SealReply& body) { replicas_.on_seal_reply(body); },
                 [&](const StatusRequest&) { send(from, own_status()); },
                 [&](const StatusReply& body) { keeper_.on_status(body, from, message.roster); },
                 [&](const RosterPull&) { push_roster(from, message.roster); },
                 [&](const RosterPush& body) { apply_push(from, body); },
             },
             message.body);
}

StatusReply LedgerNode::own_status() const {
  return StatusReply{members_.self().node, self_, replicas_.voting_addresses()};
}

void LedgerNode::compare_rosters(const Endpoint& from, RosterRevision theirs) {
  if (from == members_.self().peer) {
    return;
  }
  if (theirs > roster_.revision) {
    send(from, RosterPull{});
    return;
  }
  if (theirs < roster_.revision) {
    const auto last = last_push_.find(from);
    if (last == last_push_.end() || clock_.now() - last->second >= kPushInterval) {
      push_roster(from, theirs);
    }
  }
}

void LedgerNode::push_roster(const Endpoint& to, RosterRevision known) {
  if (known >= roster_.revision) {
    return;
  }
  last_push_[to] = clock_.now();
  RosterPush push{
      known, roster_.revision, static_cast<std::uint32_t>(roster_.partitions.size()), {}};
  for (std::uint32_t index = 0; index < roster_.partitions.size(); ++index) {
    if (roster_.partitions[index].changed > known) {
      push.changes.push_back(AssignmentChange{PartitionId(index), roster_.partitions[index]});
    }
  }
  send(to, std::move(push));
}

void LedgerNode::apply_push(const Endpoint& from, const RosterPush& push) {
  if (push.revision <= roster_.revision) {
    return;
  }
  if (push.base > roster_.revision) {
    send(from, RosterPull{});
    return;
  }
  Roster roster = roster_;
  roster.revision = push.revision;
  roster.partitions.resize(push.partitions);
  for (const AssignmentChange& change : push.changes) {
    if (change.partition.value() >= roster.partitions.size()) {
      ++malformed_;
      return;
    }
    roster.partitions[change.partition.value()] = change.assignment;
  }
  adopt(std::move(roster));
}

void LedgerNode::adopt(Roster roster) {
  if (roster.revision <= roster_.revision) {
    return;
  }
  const RosterRevision before = roster_.revision;
  roster_ = std::move(roster);
  keeper_.update(roster_);
  replicas_.update(roster_);
  coordinator_.update(roster_);
  std::vector<membership::Member> others = members_.members();
  std::erase_if(others, [this](const auto& member) { return member.node == members_.self().node; });
  for (std::size_t sent = 0; sent < kSpreadFanout && !others.empty(); ++sent) {
    const auto chosen = others.begin() + static_cast<std::ptrdiff_t>(random_.below(others.size()));
    push_roster(chosen->peer, before);
    others.erase(chosen);
  }
}

bool LedgerNode::listed_under_other_boot() const {
  const NodeId& node = members_.self().node;
  for (const Assignment& assignment : roster_.partitions) {
    for (const Replica& replica : assignment.replicas) {
      if (replica.node == node && replica.boot != self_) {
        return true;
      }
    }
  }
  return false;
}

void LedgerNode::tick() {
  std::vector<membership::Member> members = members_.members();
  // A restarted process tells the keeper that the replica of its name is gone.
  const auto keeper = keeper_.keeper_endpoint();
  if (keeper && listed_under_other_boot()) {
    send(*keeper, own_status());
  }
  if (roster_.partitions.empty() && members.size() > 1) {
    send(members[random_.below(members.size())].peer, RosterPull{});
  }
  std::erase_if(last_push_,
                [this](const auto& item) { return clock_.now() - item.second >= kPushInterval; });
  tick_timer_.arm(settings_.keeper_interval, [this] { tick(); });
}

bool LedgerNode::holds_partitions() const {
  for (const Assignment& assignment : roster_.partitions) {
    const bool counted =
        std::any_of(assignment.replicas.begin(), assignment.replicas.end(),
                    [this](const Replica& replica) { return replica.boot == self_; });
    if (counted) {
      return true;
    }
  }
  return false;
}

Statistics LedgerNode::statistics() const {
  return Statistics{coordinator_.statistics(),
                    keeper_.statistics(),
                    replicas_.claim_count(),
                    replicas_.budget().outcome_bytes,
                    replicas_.voting_addresses().size(),
                    messages_sent_,
                    bytes_sent_,
                    malformed_,
                    roster_.revision};
}

}  // namespace ochrespring::ledger
