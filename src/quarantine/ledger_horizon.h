// Since when a node's knowledge of backends' terminations has been complete.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quarantine/types.h"

namespace ochrespring::quarantine {

/// A node that has just started knows of no termination that came before, and cannot tell a request
/// that is new from one that has ended backends already. The horizon says how far back its ledger
/// reaches; nodes hand it on, so that a node that starts beside others reaches as far back as they
/// do. If all nodes were killed nobody's reaches back to before, until a request that was held
/// against anybody then would have been forgotten anyway.
///
/// Pure; one loop.
class LedgerHorizon {
 public:
  /// The ledger is complete once it reaches back by `required_age`.
  LedgerHorizon(MonotonicTime started, Duration required_age)
      : complete_since_(started), required_age_(required_age) {}

  bool is_complete(MonotonicTime now) const { return now - complete_since_ >= required_age_; }
  /// There was nothing to know before.
  void mark_complete(MonotonicTime now) {
    complete_since_ = std::min(complete_since_, now - required_age_);
  }
  /// What another node has told of its own ledger. It holds for this node once
  /// apply_pending_report() finds that what the other knew is here, too: the reports may come
  /// later, or be lost.
  void receive(const HorizonReport& report, MonotonicTime now);
  bool has_pending_report() const { return pending_.has_value(); }
  /// `suspect_count`: requests that this node holds anything against.
  void apply_pending_report(std::size_t suspect_count);
  HorizonReport report(std::size_t suspect_count, MonotonicTime now) const;

 private:
  struct PendingReport {
    MonotonicTime since{};
    std::size_t requests = 0;
  };

  MonotonicTime complete_since_;
  Duration required_age_;
  /// Not settled yet: the newest that reaches far enough, or the farthest.
  std::optional<PendingReport> pending_;
};

}  // namespace ochrespring::quarantine
