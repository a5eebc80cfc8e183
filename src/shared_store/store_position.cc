#include "shared_store/store_position.h"

#include "base/hash.h"

namespace ochrespring::shared_store {

StorePosition position_of(const Change& change) {
  const std::uint64_t value = change.value ? combine_hashes(1, stable_hash(*change.value)) : 0;
  return {.revision = change.revision,
          .change_hash = combine_hashes(stable_hash(change.key), value)};
}

std::optional<StorePosition> newest_position(const std::vector<Change>& changes) {
  const Change* newest = nullptr;
  bool alone = false;
  for (const Change& change : changes) {
    if (newest == nullptr || change.revision > newest->revision) {
      newest = &change;
      alone = true;
    } else if (change.revision == newest->revision) {
      alone = false;
    }
  }
  return alone ? std::optional(position_of(*newest)) : std::nullopt;
}

PositionCheck check_position(const StorePosition& position, const std::vector<Change>& changes) {
  bool other = false;
  for (const Change& change : changes) {
    if (change.revision != position.revision) {
      continue;
    }
    if (position_of(change) == position) {
      return PositionCheck::kSame;
    }
    other = true;
  }
  return other ? PositionCheck::kDifferent : PositionCheck::kUnknown;
}

}  // namespace ochrespring::shared_store
