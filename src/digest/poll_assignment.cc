#include "digest/poll_assignment.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

#include "base/hash.h"

namespace ochrespring::digest {

namespace {
constexpr double kBoundOverEvenShare = 1.25;
constexpr std::uint32_t kServerHashMask = 0xFFFFFF;
}  // namespace

std::vector<ServerLayout> server_layouts(const fleet::FleetDocument& document) {
  std::map<ServerId, ServerLayout> servers;
  for (const fleet::Engine& engine : document.engines) {
    ServerLayout& server = servers[engine.server];
    if (server.engines.empty()) {
      server.server = engine.server;
      server.zone = engine.zone;
      server.region = engine.region;
      server.endpoint = engine.endpoint;
    }
    server.engines.push_back(engine.id);
    server.endpoints.push_back(engine.endpoint);
  }
  std::vector<ServerLayout> layouts;
  layouts.reserve(servers.size());
  for (auto& [id, server] : servers) {
    std::uint64_t layout = 0;
    for (const EngineId& engine : server.engines) {
      layout = combine_hashes(layout, stable_hash(engine.value()));
    }
    server.layout = static_cast<std::uint8_t>(layout);
    server.hash = static_cast<std::uint32_t>(stable_hash(id.value())) & kServerHashMask;
    layouts.push_back(std::move(server));
  }
  return layouts;
}

std::vector<std::size_t> assign_pollers(const std::vector<ServerLayout>& servers,
                                        const std::vector<membership::Member>& members) {
  if (members.empty()) {
    return {};
  }
  std::vector<std::uint64_t> member_hashes;
  member_hashes.reserve(members.size());
  for (const membership::Member& member : members) {
    member_hashes.push_back(stable_hash(member.node.value()));
  }
  const double share = static_cast<double>(servers.size()) / static_cast<double>(members.size());
  const auto bound = static_cast<std::size_t>(std::ceil(share * kBoundOverEvenShare));
  std::vector<std::size_t> loads(members.size(), 0);
  std::vector<std::size_t> order(servers.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    return servers[left].hash < servers[right].hash;
  });
  std::vector<std::size_t> pollers(servers.size(), 0);
  for (const std::size_t server : order) {
    std::size_t best = members.size();
    std::uint64_t best_weight = 0;
    for (std::size_t member = 0; member < members.size(); ++member) {
      const std::uint64_t weight = combine_hashes(servers[server].hash, member_hashes[member]);
      const bool better = best == members.size() || weight > best_weight;
      if (loads[member] < bound && better) {
        best = member;
        best_weight = weight;
      }
    }
    ++loads[best];
    pollers[server] = best;
  }
  return pollers;
}

}  // namespace ochrespring::digest
