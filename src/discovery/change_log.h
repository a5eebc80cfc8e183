// The latest changes that a node can tell the others of.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "base/time.h"
#include "discovery/view_update.h"

namespace ochrespring::discovery {

/// Complete from some revision on: an update that was lost is made up for by the next. What is too
/// old, too much, or too large to tell moves that revision up. Pure; one loop.
class ChangeLog {
 public:
  /// Nothing up to `revision` can be told.
  void reset(shared_store::StoreRevision revision);
  /// The configuration was changed at `revision`. It is too large for an update: who has not seen
  /// that revision has to fetch it.
  void note_configuration(shared_store::StoreRevision revision);
  void note(ViewChange change, MonotonicTime now);
  /// Everything up to `revision` has been noted.
  void advance(shared_store::StoreRevision revision) { through_ = std::max(through_, revision); }
  /// Another node or this one has told of everything up to `revision`.
  void note_announced(shared_store::StoreRevision revision);
  /// All that others may lack, oldest first; never empty: from where the last look but one ended,
  /// or from the oldest change kept if that is newer. The last one ends at the newest revision. If
  /// that is more than `kMaxUpdates` hold, one that nobody can join who has not seen it all.
  std::vector<ViewUpdate> make_updates(MonotonicTime now, Duration age);
  /// Whether all changes after `revision` are kept.
  bool covers(shared_store::StoreRevision revision) const { return revision >= after_; }
  /// What changed after `revision`, each key as it was changed last, in the order of revisions; the
  /// configuration left out. Only if `revision` is covered.
  std::vector<ViewChange> changes_since(shared_store::StoreRevision revision) const;
  /// Of the configuration's last change; zero if that was before the log.
  shared_store::StoreRevision configuration_revision() const { return configuration_revision_; }

 private:
  /// Far longer than the others' time between two looks: a node that has not been heard for a while
  /// then fetches what changed (some KB) in place of everything (some 100 KB for 10,000 servers).
  static constexpr Duration kRetention{std::chrono::seconds(30)};
  /// With this many an update fits into a datagram.
  static constexpr std::size_t kMaxChangesPerUpdate = 24;
  /// Of one look. A relay sends each to all of its zone at once: of longer bursts a link loses the
  /// end, and a view that is fetched over a stream is hardly larger.
  static constexpr std::size_t kMaxUpdates = 4;
  /// In all, some 4 MB. While a fleet starts each server and node comes as one change: of 20,000
  /// the last three quarters are kept, and who lacks more fetches everything.
  static constexpr std::size_t kMaxChanges = 16'384;

  struct Entry {
    ViewChange change;
    MonotonicTime at{};
  };

  /// From `after` to the newest revision.
  ViewUpdate make_empty_update(shared_store::StoreRevision after, Duration age) const;
  /// Drops what is too old or too much.
  void trim(MonotonicTime now);
  void drop_oldest();

  shared_store::StoreRevision after_;
  shared_store::StoreRevision through_;
  shared_store::StoreRevision configuration_revision_;
  shared_store::StoreRevision announced_;             ///< By the last look that this node knows of.
  shared_store::StoreRevision previously_announced_;  ///< By the one before.
  std::deque<Entry> entries_;
};

}  // namespace ochrespring::discovery
