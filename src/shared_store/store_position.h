// A position in the store's history, identified by the change at a revision and not by the revision
// alone.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shared_store/store.h"

namespace ochrespring::shared_store {

/// A store restored from an older copy assigns the same revisions again. If it names no era, only
/// the change at a known revision tells whether it was restored, because within one era each
/// revision always stands for the same change.
struct StorePosition {
  StoreRevision revision;
  std::uint64_t change_hash = 0;  ///< Hash of the key and its value, or of the removal.

  bool operator==(const StorePosition&) const = default;

  /// Returns the revision to poll from so that the answer includes the change at this position.
  StoreRevision before() const { return StoreRevision(revision.value() - 1, revision.era()); }

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision;
    archive& change_hash;
  }
};

/// Returns the position of a change, whose revision must not be zero.
StorePosition position_of(const Change& change);

/// Returns the position of the newest change; nullopt if there is none or several share that
/// revision.
std::optional<StorePosition> newest_position(const std::vector<Change>& changes);

enum class PositionCheck : std::uint8_t {
  kSame,       ///< The store holds the same change at that revision.
  kDifferent,  ///< The store holds a different change there: a new era has begun.
  kUnknown,    ///< The answer contains no change with that revision.
};

/// Searches for the position in `changes`, which must include all changes after
/// `position.before()`.
PositionCheck check_position(const StorePosition& position, const std::vector<Change>& changes);

}  // namespace ochrespring::shared_store
