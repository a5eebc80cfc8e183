#include "admission/backoff_table.h"

#include <algorithm>

#include "gateway/backend_incarnation.h"

namespace ochrespring::admission {

bool BackoffTable::note(const gateway::BackendId& backend, Duration span, MonotonicTime now) {
  if (span <= Duration::zero()) {
    return false;
  }
  prune(now);
  Entry& entry = entries_[backend];
  const MonotonicTime until = now + span;
  if (gateway::has_incarnation(backend)) {
    last_pauses_[std::string(gateway::backend_name(backend))] = {.heard = now, .until = until};
  }
  if (until <= entry.until) {
    return false;
  }
  entry = {.until = until};
  return true;
}

void BackoffTable::note_known(const gateway::BackendId& backend, MonotonicTime now) {
  const auto found = last_pauses_.find(std::string(gateway::backend_name(backend)));
  if (found == last_pauses_.end() || now - found->second.heard > kRegistrationLag) {
    return;
  }
  const MonotonicTime until = std::min(found->second.until, now + kMostInherited);
  Entry& entry = entries_[backend];
  if (until > entry.until) {
    entry = {.until = until};
  }
}

bool BackoffTable::is_paused(const gateway::BackendId& backend, MonotonicTime now) const {
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
  const bool recovers = now < entry.until + kRecovery;
  if (!recovers || entry.sent < entry.window) {
    return Duration::zero();
  }
  return std::max(Duration::zero(), entry.last_sent + kProbePause - now);
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
  // An answer to a request from before the pause tells nothing of the back end after it.
  if (found == entries_.end() || sent < found->second.until) {
    return false;
  }
  found->second.window *= 2;
  if (found->second.window < kFullWindow) {
    return false;
  }
  entries_.erase(found);
  return true;
}

std::size_t BackoffTable::pause_count(MonotonicTime now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [now](const auto& entry) { return entry.second.until > now; }));
}

/// Entries that are over are dropped whenever the table has doubled. Those that are not stay: each
/// is one life of a back end that has answered this node.
void BackoffTable::prune(MonotonicTime now) {
  if (entries_.size() < prune_at_) {
    return;
  }
  std::erase_if(entries_,
                [now](const auto& entry) { return now >= entry.second.until + kRecovery; });
  std::erase_if(last_pauses_,
                [now](const auto& pause) { return now - pause.second.heard > kRegistrationLag; });
  prune_at_ = std::max(kLeastPrune, 2 * entries_.size());
}

}  // namespace ochrespring::admission
