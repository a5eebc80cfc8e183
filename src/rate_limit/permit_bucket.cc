#include "rate_limit/permit_bucket.h"

#include <algorithm>

namespace ochrespring::rate_limit {

double PermitBucket::per_second() const {
  return std::max(limit_.per_second(), kMinPermitsPerSecond);
}

void PermitBucket::refill(MonotonicTime now) {
  const Duration passed = std::max(now - refilled_at_, Duration::zero());
  tokens_ = std::min(tokens_ + to_seconds(passed) * per_second(), capacity());
  refilled_at_ = std::max(refilled_at_, now);
}

void PermitBucket::set_limit(gateway::RequestRate limit, MonotonicTime now) {
  refill(now);
  limit_ = limit;
  tokens_ = std::min(tokens_, capacity());
}

PermitDecision PermitBucket::request_permit(const NodeId& node, gateway::SendRank rank,
                                            MonotonicTime now) {
  refill(now);
  const double needed = tokens_needed(rank, now);
  if (tokens_ >= needed) {
    tokens_ -= 1;
    denied_at_.erase(rank);
    next_request_at_.erase(node);
    return {.granted = true, .wait = {}};
  }
  denied_at_[rank] = now;
  return {.granted = false, .wait = assign_wait(node, needed - tokens_, now)};
}

double PermitBucket::tokens_needed(gateway::SendRank rank, MonotonicTime now) const {
  const bool urgent_pending =
      std::any_of(denied_at_.begin(), denied_at_.lower_bound(rank),
                  [&](const auto& denied) { return now - denied.second < kUrgentReservation; });
  return urgent_pending ? std::min(2.0, capacity()) : 1;
}

/// Assigns each waiting node the time at which the next token after the last assigned one arrives.
Duration PermitBucket::assign_wait(const NodeId& node, double missing, MonotonicTime now) {
  std::erase_if(next_request_at_, [&](const auto& entry) { return entry.second <= now; });
  const MonotonicTime token_at = now + from_seconds(missing / per_second());
  const auto [entry, is_new] = next_request_at_.try_emplace(node, token_at);
  if (is_new) {
    const MonotonicTime last =
        std::max_element(next_request_at_.begin(), next_request_at_.end(), [](auto& a, auto& b) {
          return a.second < b.second;
        })->second;
    const MonotonicTime behind =
        next_request_at_.size() == 1 ? token_at : last + from_seconds(1 / per_second());
    entry->second = std::max(token_at, std::min(behind, now + kMaxAssignedWait));
  }
  return std::max(entry->second - now, kMinWait);
}

}  // namespace ochrespring::rate_limit
