#include "shared_store/era_tracker.h"

#include <algorithm>

namespace ochrespring::shared_store {

StoreEra EraTracker::on_answer(const Snapshot& sent, const Answer& answer) {
  StoreEra era = sent.era;
  newest_named_era_ = answer.era.has_value();
  if (answer.era) {
    names_eras_ = true;
    era = std::max(era, *answer.era);
  } else if (proves_new_era(sent, answer)) {
    // Another answer may have shown the same already.
    era = std::max(era_, sent.era.next());
  }
  note(era, answer.revision.value_or(0));
  return era;
}

bool EraTracker::proves_new_era(const Snapshot& sent, const Answer& answer) const {
  return !names_eras_ && answer.revision && *answer.revision < sent.newest;
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
