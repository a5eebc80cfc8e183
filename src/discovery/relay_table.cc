#include "discovery/relay_table.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "base/hash.h"

namespace ochrespring::discovery {

namespace {

bool ranks_before(const NodeRecord& left, const NodeRecord& right) {
  const auto rank = [](const NodeRecord& record) {
    return std::tuple(record.link_mbps,
                      rendezvous_weight(record.zone.value(), record.node.value()));
  };
  return rank(left) > rank(right);
}

}  // namespace

const std::vector<std::vector<NodeRecord>>& RelayTable::relays() const {
  update();
  return relays_;
}

const std::vector<NodeRecord>& RelayTable::zone_members() const {
  update();
  return zone_members_;
}

void RelayTable::update() const {
  if (version_ == nodes_.version()) {
    return;
  }
  version_ = nodes_.version();
  std::map<ZoneName, std::vector<NodeRecord>> zones;
  zone_members_.clear();
  for (const NodeRecord& record : nodes_.list()) {
    zones[record.zone].push_back(record);
    if (record.zone == nodes_.self().zone && record.node != nodes_.self().node) {
      zone_members_.push_back(record);
    }
  }
  for (NodeRecord& record : nodes_.recently_removed()) {
    if (record.zone == nodes_.self().zone) {
      zone_members_.push_back(std::move(record));
    }
  }
  relays_.clear();
  for (auto& [zone, nodes] : zones) {
    const std::size_t kept = std::min(kRelaysPerZone, nodes.size());
    const auto end = nodes.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(nodes.begin(), end, nodes.end(), ranks_before);
    nodes.erase(end, nodes.end());
    relays_.push_back(std::move(nodes));
  }
}

}  // namespace ochrespring::discovery
