// A range of the store's history, identified by a digest of its changes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shared_store/store_position.h"

namespace ochrespring::shared_store {

/// A StorePosition identifies a single change, which a store restored from an older copy may happen
/// to repeat. A span covers all changes found by one poll: the store matches it only if every
/// change was made again at the same revision, and in that case nothing is lost.
struct HistorySpan {
  StoreRevision after;    ///< Exclusive.
  StoreRevision through;  ///< Revision of the newest change covered.
  /// Of the positions of all covered changes, independent of their order.
  std::uint64_t digest = 0;

  bool operator==(const HistorySpan&) const = default;

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& after;
    archive& through;
    archive& digest;
  }
};

/// Returns the span of all changes after `after`, as reported by the store; nullopt if there are
/// none.
std::optional<HistorySpan> make_span(StoreRevision after, const std::vector<Change>& changes);

/// Compares the span with the store's current changes, which must include all changes after
/// `span.after` or an earlier revision. Returns kUnknown if none of them is as new as the end of
/// the span.
PositionCheck check_span(const HistorySpan& span, const std::vector<Change>& changes);

}  // namespace ochrespring::shared_store
