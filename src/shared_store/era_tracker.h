// Determines which era of the shared store an answer belongs to.
#pragma once

#include <cstdint>
#include <optional>

#include "shared_store/store_revision.h"

namespace ochrespring::shared_store {

/// Used by store clients, whether or not the store names its era in its answers. If it does not, an
/// answer with a lower revision than was known when the call was sent proves a new era, because
/// reads are linearizable. A new era whose revisions had already passed the known one before
/// anybody read from it is not detected here; comparing the change at a known revision
/// (StorePosition) detects it. Performs no I/O; used on one event loop.
class EraTracker {
 public:
  /// What was known when a call was sent.
  struct Snapshot {
    StoreEra era;
    std::uint64_t newest = 0;  ///< The highest known revision of that era.
  };
  struct Answer {
    std::optional<StoreEra> era;  ///< As named by the store.
    /// The store's revision when it answered; nullopt if the answer does not contain it.
    std::optional<std::uint64_t> revision;
  };

  Snapshot on_send() const { return {era_, newest_revision_}; }
  /// Returns the era of the answer, which is never older than the one known when the call was sent.
  StoreEra on_answer(const Snapshot& at_send, const Answer& answer);
  /// Records that another node has seen the store at `revision`.
  void observe_revision(StoreRevision revision) { note(revision.era(), revision.value()); }
  /// Records that the store's contents have shown that a new era has begun since `ended`.
  void begin_era_after(StoreEra ended) { note(ended.next(), 0); }
  /// Returns whether the last received answer named its era.
  bool names_era() const { return last_answer_named_era_; }
  /// Returns the newest known era; nullopt if nothing is known about the store yet.
  std::optional<StoreEra> known() const { return known_ ? std::optional(era_) : std::nullopt; }

 private:
  void note(StoreEra era, std::uint64_t revision);
  bool proves_new_era(const Snapshot& at_send, const Answer& answer) const;

  bool known_ = false;
  StoreEra era_;
  std::uint64_t newest_revision_ = 0;
  bool any_answer_named_era_ = false;   ///< The store has named its era in some answer.
  bool last_answer_named_era_ = false;  ///< The last received answer named its era.
};

}  // namespace ochrespring::shared_store
