#include "shared_store/era_tracker.h"

#include <algorithm>

namespace ochrespring::shared_store {

StoreEra EraTracker::on_answer(const Sent& sent, const Answer& answer) {
  StoreEra era = sent.era;
  named_last_ = answer.era.has_value();
  if (answer.era) {
    named_ = true;
    era = std::max(era, *answer.era);
  } else if (proves_new_life(sent, answer)) {
    // Another answer may have shown the same already.
    era = std::max(era_, sent.era.next());
  }
  note(era, answer.revision.value_or(0));
  return era;
}

bool EraTracker::proves_new_life(const Sent& sent, const Answer& answer) const {
  return !named_ && answer.revision && *answer.revision < sent.newest;
}

void EraTracker::note(StoreEra era, std::uint64_t revision) {
  known_ = true;
  if (era > era_) {
    era_ = era;
    newest_ = revision;
  } else if (era == era_) {
    newest_ = std::max(newest_, revision);
  }
}

}  // namespace ochrespring::shared_store
