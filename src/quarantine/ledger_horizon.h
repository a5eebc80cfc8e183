// How far back a node's record of back end terminations is complete.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "quarantine/types.h"

namespace ochrespring::quarantine {

/// Tracks since when a node's ledger has been complete.
///
/// A node that has just started has no record of earlier terminations, so it cannot tell a new
/// request from one that has already crashed back ends. Nodes send their horizon to each other, so
/// a node that joins a running fleet takes over the fleet's horizon. If all nodes were killed, no
/// node has a complete ledger until every suspicion from before would have expired anyway.
///
/// Performs no I/O. Not thread-safe.
class LedgerHorizon {
 public:
  /// The ledger counts as complete once it reaches back by `required_age`.
  LedgerHorizon(MonotonicTime started, Duration required_age)
      : complete_since_(started), required_age_(required_age) {}

  bool is_complete(MonotonicTime now) const { return now - complete_since_ >= required_age_; }
  /// Marks the ledger as complete, because there is no earlier history.
  void mark_complete(MonotonicTime now) {
    complete_since_ = std::min(complete_since_, now - required_age_);
  }
  /// Receives the horizon of another node. It takes effect only when apply_pending_report() finds
  /// that the ledger holds as many requests as the sender's, because the sender's crash reports may
  /// arrive later or be lost.
  void receive(const HorizonReport& report, MonotonicTime now);
  bool has_pending_report() const { return pending_.has_value(); }
  /// `suspect_count` is the number of suspected and quarantined requests in this node's ledger.
  void apply_pending_report(std::size_t suspect_count);
  HorizonReport report(std::size_t suspect_count, MonotonicTime now) const;

 private:
  struct PendingReport {
    MonotonicTime since{};
    std::size_t requests = 0;
  };

  MonotonicTime complete_since_;
  Duration required_age_;
  /// The newest report that covers `required_age_`, or else the one that reaches farthest back.
  std::optional<PendingReport> pending_;
};

}  // namespace ochrespring::quarantine
