// What this node knows of back ends' rate limits.
#pragma once

#include <map>
#include <optional>

#include "base/time.h"
#include "rate_limit/types.h"

namespace ochrespring::rate_limit {

/// A limit holds until the back end answers without one. An answer counts only if its request was
/// sent after what is known here was learnt: the head of an older one may have been made before.
/// Pure; one loop.
class LimitTable {
 public:
  /// Versions beyond this are no node's: each is one statement of a back end.
  static constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 53U;

  /// Returns what other nodes are to be told, if the answer says something new.
  std::optional<LimitReport> note_answer(const RateAnswer& answer, MonotonicTime now);
  /// Whether the news changed what is known.
  bool merge(const LimitReport& report, MonotonicTime now);
  /// Null: nothing was ever heard.
  const LimitReport* find(const gateway::BackendId& backend) const;
  /// The limit in force; none: there is none.
  std::optional<gateway::RequestRate> limit_of(const gateway::BackendId& backend) const;
  void forget(const gateway::BackendId& backend) { known_.erase(backend); }

  std::size_t limited_count() const;
  template <class Visit>
  void for_each(const Visit& visit) const {
    for (const auto& [backend, known] : known_) {
      visit(known.report);
    }
  }

 private:
  struct Known {
    LimitReport report;
    MonotonicTime since{};  ///< When this node learnt it.
  };

  std::map<gateway::BackendId, Known> known_;
};

}  // namespace ochrespring::rate_limit
