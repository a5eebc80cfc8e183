#include "shared_store/era_tracker.h"

#include <algorithm>

namespace ochrespring::shared_store {

StoreEra EraTracker::on_answer(const Snapshot& at_send, const Answer& answer) {
  StoreEra era = at_send.era;
  last_answer_named_era_ = answer.era.has_value();
  if (answer.era) {
    any_answer_named_era_ = true;
    era = std::max(era, *answer.era);
  } else if (proves_new_era(at_send, answer)) {
    // Another answer may already have revealed the same new era.
    era = std::max(era_, at_send.era.next());
  }
  note(era, answer.revision.value_or(0));
  return era;
}

bool EraTracker::proves_new_era(const Snapshot& at_send, const Answer& answer) const {
  return !any_answer_named_era_ && answer.revision && *answer.revision < at_send.newest;
}

void EraTracker::note(StoreEra era, std::uint64_t revision) {
  known_ = true;
  if (era > era_) {
    era_ = era;
    newest_revision_ = revision;
  } else if (era == era_) {
    newest_revision_ = std::max(newest_revision_, revision);
  }
}

}  // namespace ochrespring::shared_store
