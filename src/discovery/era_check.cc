#include "discovery/era_check.h"

namespace ochrespring::discovery {

using shared_store::PositionCheck;

void EraCheck::note_failed(MonotonicTime now, const Position& known) {
  failed_at_ = now;
  if (!position_at_failure_) {
    position_at_failure_ = known;
  }
}

void EraCheck::note_conflict(MonotonicTime now, const Position& known) {
  failed_at_ = now;
  position_at_failure_ = known;
}

void EraCheck::note_current(MonotonicTime at) {
  if (failed_at_ && at > *failed_at_) {
    failed_at_.reset();
  }
}

EraCheck::Position EraCheck::position_to_verify(const Position& newest,
                                                shared_store::StoreEra era) {
  if (position_at_failure_ && position_at_failure_->revision.era() != era) {
    position_at_failure_.reset();
  }
  return position_at_failure_ ? position_at_failure_ : newest;
}

PositionCheck EraCheck::check(const Position& requested,
                              const std::vector<shared_store::Change>& changes) {
  const PositionCheck found =
      requested ? shared_store::check_position(*requested, changes) : PositionCheck::kUnknown;
  position_at_failure_.reset();
  if (found == PositionCheck::kSame) {
    failed_at_.reset();
  }
  return found;
}

}  // namespace ochrespring::discovery
