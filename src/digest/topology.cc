#include "digest/topology.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/hash.h"
#include "digest/load_record.h"
#include "digest/zone_aggregates.h"

namespace ochrespring::digest {

namespace {

using membership::Member;

constexpr std::size_t kFarNeighbours = 3;
constexpr double kBudgetShareForLoads = 0.75;

using MembersByZone = std::map<ZoneKey, std::vector<Member>>;

ZoneKey zone_of(const Member& member) {
  return {member.region, member.zone};
}

std::string text_of(const ZoneKey& zone) {
  return zone.first.value() + "/" + zone.second.value();
}

/// Zone whose nodes poll the servers of `zone`: itself, or, while it has no living node, another
/// one, of the same region if possible.
ZoneKey home_of(const ZoneKey& zone, const MembersByZone& zones) {
  if (zones.contains(zone)) {
    return zone;
  }
  std::pair<bool, std::uint64_t> best_rank;
  ZoneKey best = zone;
  for (const auto& [candidate, members] : zones) {
    const std::uint64_t weight = rendezvous_weight(text_of(zone), text_of(candidate));
    const std::pair<bool, std::uint64_t> rank{candidate.first == zone.first, weight};
    if (best == zone || rank > best_rank) {
      best = candidate;
      best_rank = rank;
    }
  }
  return best;
}

const Member& chosen_for(const std::string& duty, const std::vector<Member>& members) {
  return *std::max_element(members.begin(), members.end(),
                           [&](const auto& left, const auto& right) {
                             return rendezvous_weight(duty, left.node.value()) <
                                    rendezvous_weight(duty, right.node.value());
                           });
}

std::vector<LinkDuty> links_of(const Member& self, const MembersByZone& zones) {
  std::vector<LinkDuty> links;
  const ZoneKey own = zone_of(self);
  for (const auto& [zone, members] : zones) {
    if (zone == own) {
      continue;
    }
    const std::string duty = text_of(own) + ">" + text_of(zone);
    if (chosen_for(duty, zones.at(own)).node == self.node) {
      links.push_back({chosen_for(duty, members).peer, zone.first != own.first});
    }
  }
  return links;
}

void choose_detail(Topology& topology, const DigestSettings& settings) {
  std::size_t engines = 0;
  for (const ServerLayout& server : topology.group_servers) {
    engines += server.engines.size();
  }
  const auto servers = static_cast<double>(topology.group_servers.size() * kRecordBytes);
  const double full = static_cast<double>(engines) * kFullEngineBytes + servers;
  const double coarse = static_cast<double>(engines) * kCoarseEngineBytes + servers;
  const double budget = static_cast<double>(settings.bytes_per_second) * kBudgetShareForLoads;
  topology.cycle = settings.cycle;
  topology.level = DetailLevel::kFull;
  if (full > budget * to_seconds(settings.cycle)) {
    topology.level = DetailLevel::kCoarse;
    topology.cycle = std::max(settings.cycle, from_seconds(coarse / budget));
  }
}

}  // namespace

std::uint64_t fingerprint(const std::vector<Member>& members) {
  std::uint64_t hash = 0;
  for (const Member& member : members) {
    hash = combine_hashes(hash, stable_hash(member.node.value()));
    hash = combine_hashes(hash, stable_hash(member.peer.value()));
  }
  return hash;
}

Topology make_topology(const Member& self, const std::vector<Member>& members,
                       const std::vector<ServerLayout>& layouts, std::size_t engines,
                       const DigestSettings& settings) {
  Topology topology;
  topology.members = members.size();
  topology.whole_fleet = engines <= settings.full_detail_engines;
  topology.neighbours = membership::neighbours_of(self, members, kFarNeighbours);
  MembersByZone zones;
  for (const Member& member : members) {
    zones[zone_of(member)].push_back(member);
  }
  const ZoneKey own = zone_of(self);
  topology.tree = BroadcastTree(self, topology.whole_fleet ? members : zones[own]);
  topology.zones.push_back(own);
  std::map<ZoneKey, ZoneKey> homes;
  for (const ServerLayout& server : layouts) {
    const ZoneKey zone{server.region, server.zone};
    const auto [home, first_seen] = homes.try_emplace(zone, home_of(zone, zones));
    if (first_seen && zone != own && home->second == own) {
      topology.zones.push_back(zone);
    }
    if (topology.whole_fleet || home->second == own) {
      topology.group_servers.push_back(server);
    }
  }
  const std::vector<Member>& ring = topology.tree.ring();
  const std::vector<std::size_t> pollers = assign_pollers(topology.group_servers, ring);
  for (std::size_t server = 0; server < pollers.size(); ++server) {
    if (ring[pollers[server]].node == self.node) {
      topology.assigned_servers.push_back(topology.group_servers[server]);
    }
  }
  if (!topology.whole_fleet) {
    topology.links = links_of(self, zones);
  }
  choose_detail(topology, settings);
  return topology;
}

}  // namespace ochrespring::digest
