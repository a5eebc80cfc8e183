#include "admission/backoff_table.h"

#include <algorithm>

#include "gateway/backend_incarnation.h"

namespace ochrespring::admission {

bool BackoffTable::note_backoff(const gateway::BackendId& backend, Duration span,
                                MonotonicTime now) {
  if (span <= Duration::zero()) {
    return false;
  }
  prune(now);
  Entry& entry = entries_[backend];
  const MonotonicTime until = now + span;
  if (gateway::has_incarnation(backend)) {
    last_backoffs_[std::string(gateway::backend_name(backend))] = {.received_at = now,
                                                                   .until = until};
  }
  if (until <= entry.until) {
    return false;
  }
  entry = {.until = until};
  return true;
}

void BackoffTable::note_added(const gateway::BackendId& backend, MonotonicTime now) {
  const auto found = last_backoffs_.find(std::string(gateway::backend_name(backend)));
  if (found == last_backoffs_.end() || now - found->second.received_at > kRegistrationLag) {
    return;
  }
  const MonotonicTime until = std::min(found->second.until, now + kMaxInheritedBackoff);
  Entry& entry = entries_[backend];
  if (until > entry.until) {
    entry = {.until = until};
  }
}

bool BackoffTable::is_backing_off(const gateway::BackendId& backend, MonotonicTime now) const {
  const auto found = entries_.find(backend);
  return found != entries_.end() && now < found->second.until;
}

Duration BackoffTable::time_to_room(const gateway::BackendId& backend, MonotonicTime now) const {
  const auto found = entries_.find(backend);
  return found == entries_.end() ? Duration::zero() : time_to_room(found->second, now);
}

Duration BackoffTable::time_to_room(const Entry& entry, MonotonicTime now) {
  if (now < entry.until) {
    return entry.until - now;
  }
  const bool recovering = now < entry.until + kRecoveryPeriod;
  if (!recovering || entry.sent < entry.window) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), entry.last_sent + kProbeInterval - now);
}

void BackoffTable::note_send(const gateway::BackendId& backend, MonotonicTime now) {
  const auto found = entries_.find(backend);
  if (found != entries_.end()) {
    ++found->second.sent;
    found->second.last_sent = now;
  }
}

bool BackoffTable::note_good_answer(const gateway::BackendId& backend, MonotonicTime sent) {
  const auto found = entries_.find(backend);
  // An answer to a request sent before or during the backoff period says nothing about the back end
  // after it.
  if (found == entries_.end() || sent < found->second.until) {
    return false;
  }
  found->second.window *= 2;
  if (found->second.window < kRecoveredWindow) {
    return false;
  }
  entries_.erase(found);
  return true;
}

std::size_t BackoffTable::active_count(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [now](const auto& entry) { return entry.second.until > now; }));
}

/// Drops expired entries when the table has doubled in size since the last time. Unexpired entries
/// stay; their number is bounded by the incarnations that have asked this node to back off or have
/// inherited a backoff.
void BackoffTable::prune(MonotonicTime now) {
  if (entries_.size() < prune_at_) {
    return;
  }
  std::erase_if(entries_,
                [now](const auto& entry) { return now >= entry.second.until + kRecoveryPeriod; });
  std::erase_if(last_backoffs_, [now](const auto& backoff) {
    return now - backoff.second.received_at > kRegistrationLag;
  });
  prune_at_ = std::max(kMinPruneSize, 2 * entries_.size());
}

}  // namespace ochrespring::admission
