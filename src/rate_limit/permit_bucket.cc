#include "rate_limit/permit_bucket.h"

#include <algorithm>

namespace ochrespring::rate_limit {

double PermitBucket::per_second() const {
  return std::max(limit_.per_second(), kLeastPerSecond);
}

void PermitBucket::fill(MonotonicTime now) {
  const Duration passed = std::max(now - filled_at_, Duration::zero());
  tokens_ = std::min(tokens_ + to_seconds(passed) * per_second(), capacity());
  filled_at_ = std::max(filled_at_, now);
}

void PermitBucket::set_limit(gateway::RequestRate limit, MonotonicTime now) {
  fill(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, capacity());
}

PermitDecision PermitBucket::ask(const NodeId& node, gateway::SendRank rank, MonotonicTime now) {
  fill(now);
  const double needed = tokens_needed(rank, now);
  if (tokens_ >= needed) {
    tokens_ -= 1;
    denied_at_.erase(rank);
    turns_.erase(node);
    return {.granted = true, .wait = {}};
  }
  denied_at_[rank] = now;
  return {.granted = false, .wait = wait_of(node, needed - tokens_, now)};
}

double PermitBucket::tokens_needed(gateway::SendRank rank, MonotonicTime now) const {
  const bool urgent_waits =
      std::any_of(denied_at_.begin(), denied_at_.lower_bound(rank),
                  [&](const auto& denied) { return now - denied.second < kUrgencyHolds; });
  return urgent_waits ? std::min(2.0, capacity()) : 1;
}

/// Turns follow each other as tokens come.
Duration PermitBucket::wait_of(const NodeId& node, double missing, MonotonicTime now) {
  std::erase_if(turns_, [&](const auto& turn) { return turn.second <= now; });
  const MonotonicTime token_at = now + from_seconds(missing / per_second());
  const auto [turn, is_new] = turns_.try_emplace(node, token_at);
  if (is_new) {
    const MonotonicTime last = std::max_element(turns_.begin(), turns_.end(), [](auto& a, auto& b) {
                                 return a.second < b.second;
                               })->second;
    const MonotonicTime behind =
        turns_.size() == 1 ? token_at : last + from_seconds(1 / per_second());
    turn->second = std::max(token_at, std::min(behind, now + kMostTurnWait));
  }
  return std::max(turn->second - now, kLeastWait);
}

}  // namespace ochrespring::rate_limit
