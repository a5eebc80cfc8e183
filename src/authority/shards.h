// Pure rules that place engines into shards, shards onto candidate nodes and voters into zones.
#pragma once

#include <vector>

#include "authority/types.h"
#include "membership/member_view.h"

namespace ochrespring::authority {

/// Shard of all engines of a server: a stable hash of the server modulo the number of shards, so
/// that engines of one server share a controller.
ShardId shard_of(const ServerId& server, std::uint32_t shards);

/// Nodes that may hold a shard, best first: live members of its zone by rendezvous, and if the zone
/// has none, all live members.
std::vector<membership::Member> rank_candidates(const ShardKey& key,
                                                const std::vector<membership::Member>& members);

/// Nodes that may vote for a zone, best first: the zone's own live members by rendezvous, then the
/// others.
std::vector<membership::Member> rank_voters(const ZoneName& zone,
                                            const std::vector<membership::Member>& members);

/// Odd number of voters for a zone: of its own members if it has three, otherwise of all.
std::size_t electorate_size(const ZoneName& zone, const std::vector<membership::Member>& members,
                            std::size_t largest);

/// Whether a member can take up a duty: not dead, not leaving.
bool is_available(const membership::Member& member);

}  // namespace ochrespring::authority
