// A range of the store's history, identified by a digest of its changes.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shared_store/store_position.h"

namespace ochrespring::shared_store {

/// A restored store may assign the same revision to an equal change, so a StorePosition can match
/// by chance. A span covers all changes found by one poll: the store matches it only if every
/// change was made again at the same revision, and in that case nothing is lost.
struct HistorySpan {
  StoreRevision after;    ///< Exclusive.
  StoreRevision through;  ///< Revision of the newest change covered.
  /// Order-independent hash of the positions of all covered changes.
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
