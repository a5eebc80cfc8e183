// Whether the store that answers is in the era_check that a view is of.
#pragma once

#include <optional>
#include <vector>

#include "base/time.h"
#include "shared_store/store_position.h"

namespace ochrespring::discovery {

/// A store may come back from an older copy without saying so, and will have been out before. After
/// a look that failed the position_at that was known then is asked for, although other nodes, which
/// may know no position_at to ask for, have told of newer changes since. Pure; one loop.
class EraCheck {
 public:
  using Position = std::optional<shared_store::StorePosition>;

  /// A look got no answer; `known` is where the view stood.
  void note_failed(MonotonicTime now, const Position& known);
  /// Another node knows another change at `known`.
  void note_conflict(MonotonicTime now, const Position& known);
  /// The view has been known to be the store's at some time.
  void note_current(MonotonicTime at);
  /// Where the next look is to begin; none: the position_at is not known. `newest`: where the view,
  /// which is of `era`, stands.
  Position position_to_verify(const Position& newest, shared_store::StoreEra era);
  /// What the store has told after `asked.before()`, or, where nothing was asked for, at all.
  shared_store::PositionCheck check(const Position& asked,
                                    const std::vector<shared_store::Change>& changes);
  /// The store tells the position_at no more.
  void forget_position() { position_at_failure_.reset(); }
  /// A look failed, and the view has not been known to be the store's since.
  bool is_pending() const { return failed_at_.has_value(); }

 private:
  std::optional<MonotonicTime> failed_at_;
  Position position_at_failure_;  ///< What was known when a look failed, until one is answered.
};

}  // namespace ochrespring::discovery
