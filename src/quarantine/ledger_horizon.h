// Since when a node's knowledge of servers' ends has been complete.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quarantine/types.h"

namespace ochrespring::quarantine {

/// A node that has just started knows of no end that came before, and cannot tell a request that is
/// new from one that has ended servers already. The horizon says how far back its ledger reaches;
/// nodes hand it on, so that a node that starts beside others reaches as far back as they do. If
/// all nodes were killed nobody's reaches back to before, until a request that was held against
/// anybody then would have been forgotten anyway.
///
/// Pure; one loop.
class LedgerHorizon {
 public:
  /// The ledger is complete once it reaches back by `needed`.
  LedgerHorizon(MonotonicTime started, Duration needed) : since_(started), needed_(needed) {}

  bool is_complete(MonotonicTime now) const { return now - since_ >= needed_; }
  /// There was nothing to know before.
  void note_complete(MonotonicTime now) { since_ = std::min(since_, now - needed_); }
  /// What another node has told of its own ledger. It holds for this node once settle() finds that
  /// what the other knew is here, too: the reports may come later, or be lost.
  void take(const HorizonReport& told, MonotonicTime now);
  bool is_unsettled() const { return told_.has_value(); }
  /// `known`: requests that this node holds anything against.
  void settle(std::size_t known);
  HorizonReport report(std::size_t known, MonotonicTime now) const;

 private:
  struct Told {
    MonotonicTime since{};
    std::size_t requests = 0;
  };

  MonotonicTime since_;
  Duration needed_;
  /// Not settled yet: the newest that reaches far enough, or the farthest.
  std::optional<Told> told_;
};

}  // namespace ochrespring::quarantine
