#include "ledger/roster_plan.h"

#include <algorithm>
#include <utility>

namespace ochrespring::ledger {

namespace {

using membership::Member;

/// The nodes a partition would ideally stand on.
std::vector<Member> best_candidates(PartitionId partition, const RosterPlanInput& input) {
  std::vector<Member> ranked = rank_candidates(partition, input.eligible);
  if (ranked.size() > input.replicas) {
    ranked.resize(input.replicas);
  }
  return ranked;
}

const ReplicaStatus* status_of(const NodeId& node, const RosterPlanInput& input) {
  const auto found = input.statuses.find(node);
  return found == input.statuses.end() ? nullptr : &found->second;
}

bool eligible(const NodeId& node, const RosterPlanInput& input) {
  return std::any_of(input.eligible.begin(), input.eligible.end(),
                     [&node](const Member& member) { return member.node == node; });
}

/// Its process is known never to vote again: its node answers as another process, or the platform
/// no longer lists the machine.
bool gone(const Replica& replica, const RosterPlanInput& input) {
  const ReplicaStatus* status = status_of(replica.node, input);
  const bool replaced = status != nullptr && status->replica.boot != replica.boot;
  return replaced || input.unlisted.contains(replica.node);
}

bool in_place(const Replica& replica, const RosterPlanInput& input) {
  return eligible(replica.node, input) && !gone(replica, input);
}

bool votes_at(const Replica& replica, const Address& address, const RosterPlanInput& input) {
  const ReplicaStatus* status = status_of(replica.node, input);
  if (status == nullptr || status->replica.boot != replica.boot) {
    return false;
  }
  return std::find(status->voting.begin(), status->voting.end(), address) != status->voting.end();
}

bool silent_at(const Replica& replica, const Address& address, const RosterPlanInput& input) {
  const bool answered = status_of(replica.node, input) != nullptr;
  return gone(replica, input) || (answered && !votes_at(replica, address, input));
}

template <class Predicate>
bool majority(const std::vector<Replica>& replicas, Predicate predicate) {
  const auto count = std::count_if(replicas.begin(), replicas.end(), predicate);
  return static_cast<std::size_t>(count) >= majority_of(replicas.size());
}

bool holds_node(const std::vector<Replica>& replicas, const NodeId& node) {
  return std::any_of(replicas.begin(), replicas.end(),
                     [&node](const Replica& replica) { return replica.node == node; });
}

/// Replicas that stay, then the best candidates whose processes have answered.
std::vector<Replica> fill_up(PartitionId partition, std::vector<Replica> replicas,
                             const RosterPlanInput& input) {
  for (const Member& candidate : rank_candidates(partition, input.eligible)) {
    if (replicas.size() >= input.replicas) {
      break;
    }
    const ReplicaStatus* status = status_of(candidate.node, input);
    if (status != nullptr && !holds_node(replicas, candidate.node)) {
      replicas.push_back(status->replica);
    }
  }
  return replicas;
}

std::vector<Replica> staying(const Assignment& assignment, const RosterPlanInput& input) {
  std::vector<Replica> replicas;
  for (const Replica& replica : assignment.replicas) {
    if (in_place(replica, input)) {
      replicas.push_back(replica);
    }
  }
  return replicas;
}

bool needs_change(const Assignment& assignment, const RosterPlanInput& input) {
  const std::size_t wanted = std::min<std::size_t>(input.replicas, input.eligible.size());
  return staying(assignment, input).size() < std::max(wanted, assignment.replicas.size());
}

/// Swaps the replica that ranks worst for a better candidate, if there is one.
std::vector<Replica> rebalanced(PartitionId partition, const Assignment& assignment,
                                const RosterPlanInput& input) {
  const std::vector<Member> best = best_candidates(partition, input);
  std::vector<Replica> kept;
  bool dropped = false;
  for (const Replica& replica : assignment.replicas) {
    const bool wanted = std::any_of(best.begin(), best.end(), [&replica](const Member& member) {
      return member.node == replica.node;
    });
    if (wanted || dropped) {
      kept.push_back(replica);
    } else {
      dropped = true;
    }
  }
  return dropped ? fill_up(partition, std::move(kept), input) : assignment.replicas;
}

enum class Change { kNone, kReadPrevious, kWaitOutWindow };

Change allowed_change(const Address& address, const Assignment& assignment,
                      const RosterPlanInput& input) {
  const auto votes = [&](const Replica& replica) { return votes_at(replica, address, input); };
  if (majority(assignment.replicas, votes)) {
    return Change::kReadPrevious;
  }
  const auto is_gone = [&](const Replica& replica) { return gone(replica, input); };
  if (majority(assignment.replicas, is_gone)) {
    return Change::kWaitOutWindow;
  }
  const auto is_silent = [&](const Replica& replica) { return silent_at(replica, address, input); };
  const bool never_fills = assignment.fill == FillMode::kFromPrevious &&
                           majority(assignment.previous, is_gone) &&
                           majority(assignment.replicas, is_silent);
  return never_fills ? Change::kWaitOutWindow : Change::kNone;
}

Assignment successor(const Assignment& assignment, std::vector<Replica> replicas, Change change,
                     RosterRevision revision) {
  Assignment next;
  next.generation = assignment.generation.next();
  next.changed = revision;
  next.replicas = std::move(replicas);
  if (change == Change::kReadPrevious) {
    next.fill = FillMode::kFromPrevious;
    next.previous = assignment.replicas;
  } else {
    next.fill = FillMode::kWaitOutWindow;
  }
  return next;
}

}  // namespace

std::optional<Roster> first_roster(const RosterPlanInput& input) {
  Roster roster;
  roster.revision = RosterRevision(1);
  for (std::uint32_t index = 0; index < input.partitions; ++index) {
    Assignment assignment{Generation(1), roster.revision, FillMode::kEmpty, {}, {}};
    assignment.replicas = fill_up(PartitionId(index), {}, input);
    if (assignment.replicas.empty()) {
      return std::nullopt;
    }
    roster.partitions.push_back(std::move(assignment));
  }
  return roster;
}

std::optional<Roster> next_roster(const Roster& current, const RosterPlanInput& input) {
  Roster next = current;
  next.revision = current.revision.next();
  std::size_t optional_moves = input.optional_moves;
  bool changed = false;
  for (std::uint32_t index = 0; index < next.partitions.size(); ++index) {
    Assignment& assignment = next.partitions[index];
    const PartitionId partition(index);
    const bool required = needs_change(assignment, input);
    if (!required && optional_moves == 0) {
      continue;
    }
    const Change change =
        allowed_change(Address{partition, assignment.generation}, assignment, input);
    if (change == Change::kNone) {
      continue;
    }
    std::vector<Replica> replicas = required ? fill_up(partition, staying(assignment, input), input)
                                             : rebalanced(partition, assignment, input);
    const bool worse =
        replicas.size() < std::min(assignment.replicas.size(), input.eligible.size());
    if (replicas == assignment.replicas || replicas.empty() || worse) {
      continue;
    }
    optional_moves -= required ? 0 : 1;
    assignment = successor(assignment, std::move(replicas), change, next.revision);
    changed = true;
  }
  return changed ? std::optional<Roster>(std::move(next)) : std::nullopt;
}

std::set<NodeId> nodes_to_ask(const Roster& current, const RosterPlanInput& input) {
  std::set<NodeId> nodes;
  for (std::uint32_t index = 0; index < current.partitions.size(); ++index) {
    const Assignment& assignment = current.partitions[index];
    const bool moves = input.optional_moves > 0 &&
                       !(rebalanced(PartitionId(index), assignment, input) == assignment.replicas);
    if (!moves && !needs_change(assignment, input)) {
      continue;
    }
    for (const Replica& replica : assignment.replicas) {
      nodes.insert(replica.node);
    }
    for (const Replica& replica : assignment.previous) {
      nodes.insert(replica.node);
    }
    for (const Member& member : best_candidates(PartitionId(index), input)) {
      nodes.insert(member.node);
    }
  }
  return nodes;
}

}  // namespace ochrespring::ledger
