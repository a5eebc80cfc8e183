#include "router/prefix_belief.h"

#include <algorithm>

namespace ochrespring::router {

void PrefixBelief::add(std::uint32_t slot, std::uint32_t epoch,
                       std::span<const std::uint64_t> blocks) {
  for (const std::uint64_t hash : blocks) {
    if (!sampled(hash)) {
      continue;
    }
    const auto [found, added] = entries_.try_emplace(hash);
    Entry& entry = found->second;
    if (added) {
      entry.position = recent_.insert(recent_.end(), hash);
    } else {
      recent_.splice(recent_.end(), recent_, entry.position);
    }
    const auto end = entry.holders.begin() + entry.count;
    const auto same = std::find_if(entry.holders.begin(), end,
                                   [slot](const Holder& holder) { return holder.slot == slot; });
    if (same != end) {
      same->epoch = epoch;
    } else if (entry.count < kHoldersPerBlock) {
      entry.holders.at(entry.count) = {slot, epoch};
      ++entry.count;
    } else {
      entry.holders.at(entry.oldest) = {slot, epoch};
      entry.oldest = static_cast<std::uint8_t>((entry.oldest + 1) % kHoldersPerBlock);
    }
  }
  while (entries_.size() > maximum_entries_) {
    entries_.erase(recent_.front());
    recent_.pop_front();
  }
}

void PrefixBelief::remove(std::uint32_t slot, std::span<const std::uint64_t> blocks) {
  for (const std::uint64_t hash : blocks) {
    const auto found = sampled(hash) ? entries_.find(hash) : entries_.end();
    if (found == entries_.end()) {
      continue;
    }
    Entry& entry = found->second;
    const auto end = entry.holders.begin() + entry.count;
    const auto same = std::find_if(entry.holders.begin(), end,
                                   [slot](const Holder& holder) { return holder.slot == slot; });
    if (same == end) {
      continue;
    }
    *same = entry.holders.at(entry.count - 1U);
    --entry.count;
    entry.oldest = 0;
    if (entry.count == 0) {
      recent_.erase(entry.position);
      entries_.erase(found);
    }
  }
}

std::vector<PrefixHolder> PrefixBelief::find(std::span<const std::uint64_t> blocks) const {
  std::vector<PrefixHolder> holders;
  for (std::size_t i = blocks.size(); i > 0 && holders.size() < kHoldersPerBlock; --i) {
    const std::uint64_t hash = blocks[i - 1];
    const auto found = sampled(hash) ? entries_.find(hash) : entries_.end();
    if (found == entries_.end()) {
      continue;
    }
    const Entry& entry = found->second;
    for (std::size_t k = 0; k < entry.count; ++k) {
      const Holder& holder = entry.holders.at(k);
      const bool known = std::any_of(holders.begin(), holders.end(), [&](const PrefixHolder& seen) {
        return seen.slot == holder.slot;
      });
      if (!known) {
        holders.push_back({holder.slot, holder.epoch, static_cast<std::uint32_t>(i)});
      }
    }
  }
  return holders;
}

}  // namespace ochrespring::router
