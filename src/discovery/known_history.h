// Records the recent history of the store to detect that it has lost some of it.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "shared_store/history_span.h"

namespace ochrespring::discovery {

/// Holds spans from this node's own polls and from those of other nodes. Spans may overlap or leave
/// gaps, as each is compared by itself. Performs no I/O; used on one event loop.
class KnownHistory {
 public:
  void note(const shared_store::HistorySpan& span, MonotonicTime now);
  /// Drops the spans that are too old, of another era than `seen`, the revision of the view, or so
  /// far back that the store's answer would be too large.
  void trim(MonotonicTime now, shared_store::StoreRevision seen);
  /// Returns the revision to poll from so that the answer covers all recorded spans; nullopt if
  /// there are none.
  std::optional<shared_store::StoreRevision> first_needed_revision() const;
  /// Returns whether `changes`, which must be all changes after `after`, contradict a recorded
  /// span, which means that the store was restored from an older copy.
  bool contradicts(shared_store::StoreRevision after,
                   const std::vector<shared_store::Change>& changes) const;

 private:
  /// The store keeps about 20 s of history; a poll that asks for more needs a full listing.
  static constexpr Duration kRetention{std::chrono::seconds(15)};
  /// Limits the answer to a poll after an outage to about 1 MB: 10,000 servers write about 8,000
  /// changes per second.
  static constexpr std::uint64_t kMaxRevisionDistance = 4'096;
  static constexpr std::size_t kMaxSpans = 64;

  struct Entry {
    shared_store::HistorySpan span;
    MonotonicTime recorded_at{};
  };

  std::deque<Entry> entries_;  ///< In order of recording.
};

}  // namespace ochrespring::discovery
