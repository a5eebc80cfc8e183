// The rate limits of back ends known to this node.
#pragma once

#include <map>
#include <optional>

#include "base/time.h"
#include "rate_limit/types.h"

namespace ochrespring::rate_limit {

/// Stores the latest rate limit of each back end. A limit holds until the back end answers without
/// one. An answer counts only if its request was sent after this node learned the stored limit: the
/// head of an older answer may have been generated before that. Performs no I/O and uses no timers;
/// must be used from one event loop.
class LimitTable {
 public:
  /// Higher versions are rejected as invalid: a version increases by one with each change that a
  /// back end states.
  static constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 53U;

  /// Returns a report for other nodes if the answer changes the limit.
  std::optional<LimitReport> note_answer(const RateAnswer& answer, MonotonicTime now);
  /// Merges another node's report. Returns whether it changed the limit.
  bool merge(const LimitReport& report, MonotonicTime now);
  /// Returns null if nothing was received for the back end.
  const LimitReport* find(const gateway::BackendId& backend) const;
  /// Returns the limit in force, if any.
  std::optional<gateway::RequestRate> limit_of(const gateway::BackendId& backend) const;
  void forget(const gateway::BackendId& backend) { entries_.erase(backend); }

  std::size_t limited_count() const;
  template <class Visit>
  void for_each(const Visit& visit) const {
    for (const auto& [backend, entry] : entries_) {
      visit(entry.report);
    }
  }

 private:
  struct Entry {
    LimitReport report;
    MonotonicTime learned_at{};  ///< When this node learned the limit.
  };

  std::map<gateway::BackendId, Entry> entries_;
};

}  // namespace ochrespring::rate_limit
