// Tells which life of the store an answer comes from.
#pragma once

#include <cstdint>
#include <optional>

#include "shared_store/store_revision.h"

namespace ochrespring::shared_store {

/// For the client of a store that names its era with each answer, or of one that does not. Where it
/// does not, a revision lower than one that was known before the call left proves a new life, since
/// reads are linearizable. A life that nobody read from before it had counted past what was known
/// is noticed by what stands at a number that was known (StorePosition). Pure; one loop.
class EraTracker {
 public:
  /// What was known when a call left.
  struct Snapshot {
    StoreEra era;
    std::uint64_t newest = 0;  ///< The highest revision of that era that was known.
  };
  struct Answer {
    std::optional<StoreEra> era;  ///< As the store names it.
    /// The store's as it answered; none: the answer does not tell.
    std::optional<std::uint64_t> revision;
  };

  Snapshot on_send() const { return {era_, newest_revision_}; }
  /// The era of the answer: never one before that which was known when its call left.
  StoreEra on_answer(const Snapshot& sent, const Answer& answer);
  /// Another node has seen the store at `revision`.
  void observe_revision(StoreRevision revision) { note(revision.era(), revision.value()); }
  /// What the store holds has shown that it has begun another life since `ended`.
  void begin_era_after(StoreEra ended) { note(ended.next(), 0); }
  /// Whether the newest answer named its era.
  bool names_era() const { return newest_named_era_; }
  /// None before the first answer.
  std::optional<StoreEra> known() const { return known_ ? std::optional(era_) : std::nullopt; }

 private:
  void note(StoreEra era, std::uint64_t revision);
  bool proves_new_era(const Snapshot& sent, const Answer& answer) const;

  bool known_ = false;
  StoreEra era_;
  std::uint64_t newest_revision_ = 0;
  bool names_eras_ = false;        ///< The store names its era.
  bool newest_named_era_ = false;  ///< The newest answer did.
};

}  // namespace ochrespring::shared_store
