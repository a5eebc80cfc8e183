// Checks whether the store that answers is still in the era of the view.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "shared_store/store_position.h"

namespace ochrespring::discovery {

/// A store may be restored from an older copy without announcing it, but it is unreachable during
/// the restore. After a failed poll, the position known at that time is therefore verified, even if
/// updates of other nodes have advanced the view since: the position at the newer revision may be
/// unknown. Performs no I/O; used on one event loop.
class EraCheck {
 public:
  using Position = std::optional<shared_store::StorePosition>;

  /// Records a poll without an answer; `known` is the position of the view.
  void note_failed(MonotonicTime now, const Position& known);
  /// Records that another node knows a different change at `known`.
  void note_conflict(MonotonicTime now, const Position& known);
  /// Records that the view matched the store at `at`.
  void note_current(MonotonicTime at);
  /// Returns the position from which the next poll should start; nullopt if it is not known.
  /// `newest` is the position of the view, `era` its era.
  Position position_to_verify(const Position& newest, shared_store::StoreEra era);
  /// Checks `changes`, which must include all changes after `requested.before()` if a position was
  /// requested.
  shared_store::PositionCheck check(const Position& requested,
                                    const std::vector<shared_store::Change>& changes);
  /// Forgets the position, because the store no longer keeps its change.
  void forget_position() { position_to_verify_.reset(); }
  /// Returns whether a failed poll or a conflict has left it unknown if the store is in the view's
  /// era.
  bool is_pending() const { return unverified_since_.has_value(); }

 private:
  /// Time of the last failed poll or conflict; nullopt if no check is pending.
  std::optional<MonotonicTime> unverified_since_;
  /// Position of the view at the first failed poll or at the last conflict; reset when a poll is
  /// answered.
  Position position_to_verify_;
};

}  // namespace ochrespring::discovery
