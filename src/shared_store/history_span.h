// A stretch of the store's history, told by a digest of the changes in it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "shared_store/store_position.h"

namespace ochrespring::shared_store {

/// A StorePosition names one change, and a store that comes back from an older copy may make just
/// that one again. A span covers all changes of a look: the store repeats it only if it makes each
/// of them again under its number, and then nothing is lost.
struct HistorySpan {
  StoreRevision after;       ///< Exclusive.
  StoreRevision through;     ///< Of the newest change covered.
  std::uint64_t digest = 0;  ///< Of the positions of all changes covered, in any order.

  bool operator==(const HistorySpan&) const = default;

  /// Boost.Serialization hook.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& after;
    archive& through;
    archive& digest;
  }
};

/// All changes after `after`, as the store has told them; none of none.
std::optional<HistorySpan> make_span(StoreRevision after, const std::vector<Change>& changes);

/// Compares the span with all changes after `span.after` or an earlier revision, as the store tells
/// them now. kUnknown if it tells nothing as new as the span's end.
PositionCheck check_span(const HistorySpan& span, const std::vector<Change>& changes);

}  // namespace ochrespring::shared_store
