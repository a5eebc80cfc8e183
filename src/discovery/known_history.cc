#include "discovery/known_history.h"

#include <algorithm>

namespace ochrespring::discovery {

using shared_store::HistorySpan;
using shared_store::StoreRevision;

void KnownHistory::note(const HistorySpan& span, MonotonicTime now) {
  if (span.after >= span.through || span.after.era() != span.through.era()) {
    return;
  }
  if (entries_.size() == kMaxSpans) {
    entries_.pop_front();
  }
  entries_.push_back({span, now});
}

void KnownHistory::trim(MonotonicTime now, StoreRevision seen) {
  std::erase_if(entries_, [&](const Entry& entry) {
    const StoreRevision after = entry.span.after;
    return now - entry.recorded_at > kRetention || after.era() != seen.era() ||
           (after < seen && seen.value() - after.value() > kMaxRevisionDistance);
  });
}

std::optional<StoreRevision> KnownHistory::first_needed_revision() const {
  std::optional<StoreRevision> first;
  for (const Entry& entry : entries_) {
    first = first ? std::min(*first, entry.span.after) : entry.span.after;
  }
  return first;
}

bool KnownHistory::contradicts(StoreRevision after,
                               const std::vector<shared_store::Change>& changes) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    const HistorySpan& span = entry.span;
    return span.after.era() == after.era() && span.after >= after &&
           shared_store::check_span(span, changes) == shared_store::PositionCheck::kDifferent;
  });
}

}  // namespace ochrespring::discovery
