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
  void restart(shared_store::StoreRevision revision);
  /// A change too large to tell was made at `revision`; each node has to read it itself.
  void note_untold(shared_store::StoreRevision revision) { restart(revision); }
  void note(ViewChange change, MonotonicTime now);
  /// Everything up to `revision` has been noted.
  void advance(shared_store::StoreRevision revision) { through_ = std::max(through_, revision); }
  /// Another node or this one has told of everything up to `revision`.
  void note_told(shared_store::StoreRevision revision);
  /// All that others may lack, oldest first; never empty: from where the last look but one ended,
  /// or from the oldest change kept if that is newer. The last one ends at the newest revision. If
  /// that is more than `kMostUpdates` hold, one that nobody can join who has not seen it all.
  std::vector<ViewUpdate> make_updates(MonotonicTime now, Duration age);

 private:
  /// Longer than the others' time between two looks, so that two updates in a row may be lost.
  static constexpr Duration kKeep{std::chrono::seconds(6)};
  /// With this many an update fits into a datagram.
  static constexpr std::size_t kChangesPerUpdate = 24;
  /// Of one look. A relay sends each to all of its zone at once: of longer bursts a link loses the
  /// end, and a view that is fetched over a stream is hardly larger.
  static constexpr std::size_t kMostUpdates = 4;
  /// In all. While a fleet of some hundred nodes and thousands of servers starts, each comes as one
  /// change.
  static constexpr std::size_t kMostChanges = 128 * kChangesPerUpdate;

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
  shared_store::StoreRevision told_;         ///< By the last look that this node knows of.
  shared_store::StoreRevision told_before_;  ///< By the one before.
  std::deque<Entry> entries_;
};

}  // namespace ochrespring::discovery
