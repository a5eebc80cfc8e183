// What is known of the store's recent history, to recognize a store that has lost some of it.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "shared_store/history_span.h"

namespace ochrespring::discovery {

/// Spans of this node's own looks and of those that other nodes tell of. Spans may overlap or leave
/// gaps: each is compared by itself. Pure; one loop.
class KnownHistory {
 public:
  void note(const shared_store::HistorySpan& span, MonotonicTime now);
  /// Drops what the store is not asked for any more; `seen`: where the view stands.
  void trim(MonotonicTime now, shared_store::StoreRevision seen);
  /// A look that begins here is told all that can be compared; none if nothing is known.
  std::optional<shared_store::StoreRevision> begin() const;
  /// Whether the store that tells `changes`, all there are after `after`, holds others than were
  /// known: it has come back from an older copy.
  bool contradicts(shared_store::StoreRevision after,
                   const std::vector<shared_store::Change>& changes) const;

 private:
  /// A store keeps some 20 s of history; a look that asks for more has to list.
  static constexpr Duration kRetention{std::chrono::seconds(15)};
  /// Bounds the answer to a look after an outage, some 1 MB: 10,000 servers write some 8,000
  /// changes a second.
  static constexpr std::uint64_t kMaxChanges = 4'096;
  static constexpr std::size_t kMaxSpans = 64;

  struct Entry {
    shared_store::HistorySpan span;
    MonotonicTime noted{};
  };

  std::deque<Entry> entries_;  ///< In the order in which they were noted.
};

}  // namespace ochrespring::discovery
