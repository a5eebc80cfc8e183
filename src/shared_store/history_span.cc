#include "shared_store/history_span.h"

#include <algorithm>

#include "base/hash.h"

namespace ochrespring::shared_store {

namespace {

std::uint64_t compute_digest(StoreRevision after, StoreRevision through,
                             const std::vector<Change>& changes) {
  std::uint64_t digest = 0;
  for (const Change& change : changes) {
    if (change.revision > after && change.revision <= through) {
      digest += combine_hashes(change.revision.value(), position_of(change).change_hash);
    }
  }
  return digest;
}

StoreRevision newest_revision(const std::vector<Change>& changes) {
  return std::max_element(
             changes.begin(), changes.end(),
             [](const Change& left, const Change& right) { return left.revision < right.revision; })
      ->revision;
}

}  // namespace

std::optional<HistorySpan> make_span(StoreRevision after, const std::vector<Change>& changes) {
  if (changes.empty() || newest_revision(changes) <= after) {
    return std::nullopt;
  }
  const StoreRevision through = newest_revision(changes);
  return HistorySpan{
      .after = after, .through = through, .digest = compute_digest(after, through, changes)};
}

PositionCheck check_span(const HistorySpan& span, const std::vector<Change>& changes) {
  if (changes.empty() || newest_revision(changes) < span.through) {
    return PositionCheck::kUnknown;
  }
  return compute_digest(span.after, span.through, changes) == span.digest
             ? PositionCheck::kSame
             : PositionCheck::kDifferent;
}

}  // namespace ochrespring::shared_store
