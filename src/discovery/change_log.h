// The recent changes that a node can send to the others.
#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "base/time.h"
#include "discovery/view_update.h"

namespace ochrespring::discovery {

/// Contains every change of a back end or node after a start revision, so that each update makes up
/// for the loss of an earlier one. The start revision advances past changes that are too old or too
/// many to keep. Performs no I/O; used on one event loop.
class ChangeLog {
 public:
  /// Drops everything up to `revision`.
  void reset(shared_store::StoreRevision revision);
  /// Records that the configuration changed at `revision`. It is too large for an update: nodes
  /// that have not seen that revision must fetch it.
  void note_configuration(shared_store::StoreRevision revision);
  /// Adds a change. Changes must come in order of revision; otherwise reset() must follow.
  void note(ViewChange change, MonotonicTime now);
  /// Records that everything up to `revision` has been noted.
  void advance(shared_store::StoreRevision revision) { through_ = std::max(through_, revision); }
  /// Records that this or another node has announced everything up to `revision`.
  void note_announced(shared_store::StoreRevision revision);
  /// Returns the changes that other nodes may lack, oldest first, from the latest of: the end of
  /// the last but one poll, the oldest change kept, the configuration's last change. The result is
  /// never empty, and its last update ends at the newest revision. If more than `kMaxUpdates`
  /// updates would be needed, the result is one empty update that only nodes which have seen
  /// everything can apply.
  std::vector<ViewUpdate> make_updates(MonotonicTime now, Duration age);
  /// Returns whether all changes after `revision` are kept.
  bool covers(shared_store::StoreRevision revision) const { return revision >= after_; }
  /// Returns the last change of each key after `revision`, in order of revision and without the
  /// configuration. `revision` must be covered.
  std::vector<ViewChange> changes_since(shared_store::StoreRevision revision) const;
  /// Returns every change after `revision`, in order and without the configuration: it also shows
  /// what came and went. `revision` must be covered.
  std::vector<ViewChange> all_changes_since(shared_store::StoreRevision revision) const;
  /// Returns the revision of the configuration's last change; zero if it precedes the log.
  shared_store::StoreRevision configuration_revision() const { return configuration_revision_; }

 private:
  /// Far longer than the time between two polls: a node that has received nothing for a while
  /// fetches the changes (some KB) instead of the complete view (some 100 KB for 10,000 servers).
  static constexpr Duration kRetention{std::chrono::seconds(30)};
  /// Fits into a datagram. Exceeded only by changes of one transaction, which are never split.
  static constexpr std::size_t kMaxChangesPerUpdate = 24;
  /// Per poll. A relay sends each update to its whole zone at once: links drop the end of longer
  /// bursts, and a complete view fetched over a stream is hardly larger.
  static constexpr std::size_t kMaxUpdates = 4;
  /// About 4 MB in total. While a fleet starts, each server and node causes one change: of 20,000
  /// changes the last 16,384 are kept, and a node that lacks more fetches the complete view.
  static constexpr std::size_t kMaxChanges = 16'384;

  struct Entry {
    ViewChange change;
    MonotonicTime recorded_at{};
  };

  /// Returns an update from `after` to the newest revision.
  ViewUpdate make_empty_update(shared_store::StoreRevision after, Duration age) const;
  /// Drops changes that are too old or too many.
  void trim(MonotonicTime now);
  void drop_oldest();

  shared_store::StoreRevision after_;
  shared_store::StoreRevision through_;
  shared_store::StoreRevision configuration_revision_;
  shared_store::StoreRevision announced_;  ///< The newest revision announced by any node.
  shared_store::StoreRevision previously_announced_;  ///< The one announced before it.
  std::deque<Entry> entries_;
};

}  // namespace ochrespring::discovery
