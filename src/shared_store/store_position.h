// A place in the store's history, told by the change that stands there and not by its number alone.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shared_store/store.h"

namespace ochrespring::shared_store {

/// A store that comes back from an older copy gives numbers out again. One that names no era can be
/// told apart from one that went on only by what it holds at a number: within one life each number
/// stands for the same change for ever.
struct StorePosition {
  StoreRevision revision;
  std::uint64_t change_hash = 0;  ///< Hash of the key and its value, or its end.

  bool operator==(const StorePosition&) const = default;

  /// From here a look is told the change that stands at the position, too.
  StoreRevision before() const { return StoreRevision(revision.value() - 1, revision.era()); }

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision;
    archive& change_hash;
  }
};

/// Where a change stands; its revision is not zero.
StorePosition position_of(const Change& change);

/// Where the newest of some changes stands; none of none, or where several stand at one number.
std::optional<StorePosition> newest_position(const std::vector<Change>& changes);

enum class PositionCheck : std::uint8_t {
  kSame,       ///< The change stands there.
  kDifferent,  ///< Another one does: the store has begun another life.
  kUnknown,    ///< Nothing is told of that number.
};

/// Looks for the position among all changes after `position.before()`, which the store has told.
PositionCheck check_position(const StorePosition& position, const std::vector<Change>& changes);

}  // namespace ochrespring::shared_store
