#include "discovery/change_log.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace ochrespring::discovery {

namespace {

/// Back ends and nodes may have the same name, so the kind of the change is part of the key.
std::pair<std::size_t, std::string_view> subject_of(const ViewChange& change) {
  const std::string_view id = std::visit(
      [](const auto& alternative) { return std::string_view(alternative.id.value()); }, change);
  return {change.index(), id};
}

}  // namespace

void ChangeLog::reset(shared_store::StoreRevision revision) {
  entries_.clear();
  after_ = revision;
  through_ = std::max(through_, revision);
}

void ChangeLog::note_configuration(shared_store::StoreRevision revision) {
  configuration_revision_ = std::max(configuration_revision_, revision);
  advance(revision);
}

void ChangeLog::note(ViewChange change, MonotonicTime now) {
  advance(revision_of(change));
  entries_.push_back({std::move(change), now});
  trim(now);
}

ViewUpdate ChangeLog::make_empty_update(shared_store::StoreRevision after, Duration age) const {
  return {.after = after,
          .through = through_,
          .age = age,
          .fingerprint = {},
          .view_address = {},
          .changes = {}};
}

void ChangeLog::note_announced(shared_store::StoreRevision revision) {
  if (revision > announced_) {
    previously_announced_ = std::exchange(announced_, revision);
  }
}

/// Starts at the last but one poll, so that each poll makes up for the loss of the previous one's
/// updates.
std::vector<ViewUpdate> ChangeLog::make_updates(MonotonicTime now, Duration age) {
  trim(now);
  const shared_store::StoreRevision begin =
      std::max({after_, previously_announced_, configuration_revision_});
  std::vector<ViewUpdate> updates{make_empty_update(begin, age)};
  for (const Entry& entry : entries_) {
    const shared_store::StoreRevision revision = revision_of(entry.change);
    if (revision <= begin) {
      continue;
    }
    ViewUpdate& last = updates.back();
    // All changes of a transaction have the same revision and stay together.
    if (last.changes.size() >= kMaxChangesPerUpdate &&
        revision_of(last.changes.back()) != revision) {
      if (updates.size() == kMaxUpdates) {
        return {make_empty_update(through_, age)};
      }
      last.through = revision_of(last.changes.back());
      const shared_store::StoreRevision after = last.through;
      updates.push_back(make_empty_update(after, age));
    }
    updates.back().changes.push_back(entry.change);
  }
  return updates;
}

std::vector<ViewChange> ChangeLog::changes_since(shared_store::StoreRevision revision) const {
  std::set<std::pair<std::size_t, std::string_view>> seen;
  std::vector<ViewChange> changes;
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (revision_of(entry->change) <= revision) {
      break;
    }
    if (seen.insert(subject_of(entry->change)).second) {
      changes.push_back(entry->change);
    }
  }
  std::reverse(changes.begin(), changes.end());
  return changes;
}

std::vector<ViewChange> ChangeLog::all_changes_since(shared_store::StoreRevision revision) const {
  std::vector<ViewChange> changes;
  for (const Entry& entry : entries_) {
    if (revision_of(entry.change) > revision) {
      changes.push_back(entry.change);
    }
  }
  return changes;
}

void ChangeLog::trim(MonotonicTime now) {
  while (!entries_.empty() &&
         (entries_.size() > kMaxChanges || now - entries_.front().recorded_at > kRetention)) {
    drop_oldest();
  }
}

/// All changes of a transaction have the same revision and are dropped together.
void ChangeLog::drop_oldest() {
  after_ = revision_of(entries_.front().change);
  while (!entries_.empty() && revision_of(entries_.front().change) == after_) {
    entries_.pop_front();
  }
}

}  // namespace ochrespring::discovery
