#include "discovery/life_check.h"

namespace ochrespring::discovery {

using shared_store::PositionCheck;

void LifeCheck::note_failed(MonotonicTime now, const Position& known) {
  failed_at_ = now;
  if (!lost_at_) {
    lost_at_ = known;
  }
}

void LifeCheck::note_conflict(MonotonicTime now, const Position& known) {
  failed_at_ = now;
  lost_at_ = known;
}

void LifeCheck::note_current(MonotonicTime at) {
  if (failed_at_ && at > *failed_at_) {
    failed_at_.reset();
  }
}

LifeCheck::Position LifeCheck::place_to_ask(const Position& newest, shared_store::StoreEra era) {
  if (lost_at_ && lost_at_->revision.era() != era) {
    lost_at_.reset();
  }
  return lost_at_ ? lost_at_ : newest;
}

PositionCheck LifeCheck::check(const Position& asked,
                               const std::vector<shared_store::Change>& changes) {
  const PositionCheck found =
      asked ? shared_store::check_position(*asked, changes) : PositionCheck::kUnknown;
  lost_at_.reset();
  if (found == PositionCheck::kSame) {
    failed_at_.reset();
  }
  return found;
}

}  // namespace ochrespring::discovery
