#include "discovery/era_check.h"

namespace ochrespring::discovery {

using shared_store::PositionCheck;

void EraCheck::note_failed(MonotonicTime now, const Position& known) {
  unverified_since_ = now;
  if (!position_to_verify_) {
    position_to_verify_ = known;
  }
}

void EraCheck::note_conflict(MonotonicTime now, const Position& known) {
  unverified_since_ = now;
  position_to_verify_ = known;
}

void EraCheck::note_current(MonotonicTime at) {
  if (unverified_since_ && at > *unverified_since_) {
    unverified_since_.reset();
  }
}

EraCheck::Position EraCheck::position_to_verify(const Position& newest,
                                                shared_store::StoreEra era) {
  if (position_to_verify_ && position_to_verify_->revision.era() != era) {
    position_to_verify_.reset();
  }
  return position_to_verify_ ? position_to_verify_ : newest;
}

PositionCheck EraCheck::check(const Position& requested,
                              const std::vector<shared_store::Change>& changes) {
  const PositionCheck found =
      requested ? shared_store::check_position(*requested, changes) : PositionCheck::kUnknown;
  position_to_verify_.reset();
  if (found == PositionCheck::kSame) {
    unverified_since_.reset();
  }
  return found;
}

}  // namespace ochrespring::discovery
