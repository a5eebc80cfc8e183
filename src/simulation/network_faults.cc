#include "simulation/network_faults.h"

#include "simulation/key_value_service.h"
#include "simulation/machine_list_client.h"

namespace ochrespring::simulation {
namespace {

constexpr double kLossWhenLossy = 0.2;
constexpr double kDuplicationWhenLossy = 0.2;
constexpr double kSpikesWhenSlow = 0.1;
constexpr Duration kLongestSpike = std::chrono::seconds(6);
constexpr Duration kSlowBaseDelay = std::chrono::milliseconds(3);

}  // namespace

HostName NetworkFaults::host_of(std::uint32_t node) const {
  return nodes_[node % nodes_.size()]->site().peer.value();
}

void NetworkFaults::partition(std::uint64_t side, Duration span) {
  std::vector<HostName> hosts;
  for (const auto& node : nodes_) {
    hosts.push_back(node->site().peer.value());
  }
  hosts.insert(hosts.end(), backends_.begin(), backends_.end());
  hosts.push_back(kKeyValueHost);
  std::vector<Link> links;
  for (std::size_t a = 0; a < hosts.size(); ++a) {
    for (std::size_t b = 0; b < hosts.size(); ++b) {
      if (((side >> a) & 1U) != ((side >> b) & 1U)) {
        links.emplace_back(hosts[a], hosts[b]);
      }
    }
  }
  surroundings_.faults.count(FaultKind::kPartition);
  reachability_.disturb_all(span);
  cut(std::move(links), span);
}

void NetworkFaults::cut_one_way(std::uint32_t from, std::uint32_t to, Duration span) {
  if (host_of(from) == host_of(to)) {
    return;
  }
  surroundings_.faults.count(FaultKind::kOneWayPartition);
  reachability_.disturb(from, span);
  reachability_.disturb(to, span);
  cut({{host_of(from), host_of(to)}}, span);
}

void NetworkFaults::cut_from_backends(std::uint32_t node, Duration span) {
  std::vector<Link> links;
  for (const HostName& backend : backends_) {
    links.emplace_back(host_of(node), backend);
    links.emplace_back(backend, host_of(node));
  }
  surroundings_.faults.count(FaultKind::kPartition);
  cut(std::move(links), span);
}

void NetworkFaults::cut_from_key_value(std::uint32_t node, Duration span) {
  surroundings_.faults.count(FaultKind::kPartition);
  cut({{host_of(node), kKeyValueHost}, {kKeyValueHost, host_of(node)}}, span);
}

void NetworkFaults::cut(std::vector<Link> links, Duration span) {
  for (const auto& [from, to] : links) {
    surroundings_.network.block(from, to);
  }
  surroundings_.time.schedule_after(
      span, [this, cut_links = std::move(links), generation = healed_generation_] {
        if (generation == healed_generation_) {
          for (const auto& [from, to] : cut_links) {
            surroundings_.network.unblock(from, to);
          }
        }
      });
}

void NetworkFaults::lose_messages(Duration span) {
  lossy_.extend(surroundings_.time.now() + span);
  reachability_.disturb_all(span);
  apply_quality();
  surroundings_.time.schedule_after(span, [this] { apply_quality(); });
}

void NetworkFaults::delay_messages(Duration span) {
  slow_.extend(surroundings_.time.now() + span);
  reachability_.disturb_all(span);
  apply_quality();
  surroundings_.time.schedule_after(span, [this] { apply_quality(); });
}

void NetworkFaults::apply_quality() {
  const MonotonicTime now = surroundings_.time.now();
  LinkQuality quality;
  if (lossy_.active(now)) {
    quality.loss = kLossWhenLossy;
    quality.duplication = kDuplicationWhenLossy;
  }
  if (slow_.active(now)) {
    quality.base_delay = kSlowBaseDelay;
    quality.spike = kSpikesWhenSlow;
    quality.longest_spike = kLongestSpike;
  }
  surroundings_.network.set_quality(quality);
}

void NetworkFaults::heal() {
  ++healed_generation_;
  surroundings_.network.unblock_all();
  lossy_.end();
  slow_.end();
  apply_quality();
}

}  // namespace ochrespring::simulation
