#include "discovery/change_log.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

namespace {

shared_store::StoreRevision revision_of(const ViewChange& change) {
  return std::visit([](const auto& alternative) { return alternative.revision; }, change);
}

}  // namespace

void ChangeLog::restart(shared_store::StoreRevision revision) {
  entries_.clear();
  after_ = revision;
  through_ = std::max(through_, revision);
}

void ChangeLog::note(ViewChange change, MonotonicTime now) {
  advance(revision_of(change));
  entries_.push_back({std::move(change), now});
  trim(now);
}

ViewUpdate ChangeLog::make_update(MonotonicTime now, Duration age) {
  trim(now);
  ViewUpdate update{.after = after_, .through = through_, .age = age, .changes = {}};
  for (const Entry& entry : entries_) {
    update.changes.push_back(entry.change);
  }
  return update;
}

void ChangeLog::trim(MonotonicTime now) {
  while (!entries_.empty() &&
         (entries_.size() > kMostChanges || now - entries_.front().at > kKeep)) {
    drop_oldest();
  }
}

/// A transaction changes several keys at one revision: they go together.
void ChangeLog::drop_oldest() {
  after_ = revision_of(entries_.front().change);
  while (!entries_.empty() && revision_of(entries_.front().change) == after_) {
    entries_.pop_front();
  }
}

}  // namespace ochrespring::discovery
