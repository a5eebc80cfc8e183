#include "stream_records/holder_selector.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace ochrespring::stream_records {

std::vector<const discovery::NodeRecord*> HolderSelector::select(const gateway::StreamKey& stream,
                                                                 std::size_t count) {
  if (version_ != nodes_.version() ||
      clock_.now() - updated_ >= discovery::NodeDirectory::kRecentlyRemovedMaxAge) {
    update();
  }
  struct Ranked {
    std::size_t rank_in_zone = 0;
    std::uint64_t weight = 0;
    const Candidate* candidate = nullptr;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(candidates_.size());
  for (const Candidate& candidate : candidates_) {
    ranked.push_back({0, combine_hashes(stream.attempt, candidate.hash), &candidate});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Ranked& left, const Ranked& right) { return left.weight > right.weight; });
  std::vector<std::size_t> ranked_in_zone(zones_);
  for (Ranked& entry : ranked) {
    entry.rank_in_zone = ranked_in_zone[entry.candidate->zone]++;
  }
  std::stable_sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
    return left.rank_in_zone < right.rank_in_zone;
  });
  std::vector<const discovery::NodeRecord*> selected;
  for (const Ranked& entry : ranked) {
    if (selected.size() == count) {
      break;
    }
    selected.push_back(&entry.candidate->record);
  }
  return selected;
}

void HolderSelector::update() {
  version_ = nodes_.version();
  updated_ = clock_.now();
  candidates_.clear();
  std::map<ZoneName, std::size_t> zones;
  const auto add = [&](const discovery::NodeRecord& record) {
    const std::size_t zone = zones.try_emplace(record.zone, zones.size()).first->second;
    candidates_.push_back({record, stable_hash(record.node.value()), zone});
  };
  for (const auto& [node, record] : nodes_.others()) {
    add(record);
  }
  for (const discovery::NodeRecord& record : nodes_.recently_removed()) {
    add(record);
  }
  zones_ = zones.size();
}

}  // namespace ochrespring::stream_records
