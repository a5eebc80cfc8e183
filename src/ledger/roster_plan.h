// Decides the next roster from what the keeper knows. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ledger/messages.h"
#include "ledger/roster.h"
#include "membership/member_view.h"

namespace ochrespring::ledger {

/// What one node last said of itself.
struct ReplicaStatus {
  Replica replica;
  RosterRevision roster;
  std::vector<Address> voting;
};

/// Everything the plan depends on.
struct RosterPlanInput {
  std::uint32_t partitions = 0;  ///< For the first roster.
  std::uint32_t replicas = 3;
  std::vector<membership::Member> eligible;  ///< Alive and not leaving.
  std::map<NodeId, ReplicaStatus> statuses;  ///< Recent answers only.
  std::set<NodeId> unlisted;                 ///< Replicas' nodes the machine list no longer has.
  std::size_t optional_moves = 0;            ///< Moves allowed that only balance.
};

/// First roster ever; empty if not enough nodes have answered to know their boots.
std::optional<Roster> first_roster(const RosterPlanInput& input);

/// Next roster, or none if nothing should or may change now. A partition's replicas change only if
/// a majority of them confirms that it votes in the present generation (its claims can then be
/// read), or if a majority of its processes is known to be gone for good (the window must be waited
/// out).
std::optional<Roster> next_roster(const Roster& current, const RosterPlanInput& input);

/// Nodes whose status the plan needs to go on.
std::set<NodeId> nodes_to_ask(const Roster& current, const RosterPlanInput& input);

}  // namespace ochrespring::ledger
