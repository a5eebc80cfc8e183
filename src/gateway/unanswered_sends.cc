#include "gateway/unanswered_sends.h"

#include <iterator>
#include <utility>

namespace ochrespring::gateway {

void UnansweredSends::add(const BackendId& backend, PendingSend send, MonotonicTime now) {
  drop_expired(now);
  sends_[backend].push_back({std::move(send), now});
}

void UnansweredSends::note_answer(const BackendId& backend, MonotonicTime started) {
  const auto found = sends_.find(backend);
  if (found == sends_.end()) {
    return;
  }
  drop_until(found->second, started);
  if (found->second.empty()) {
    sends_.erase(found);
  }
}

void UnansweredSends::drop_expired(MonotonicTime now) {
  for (auto entry = sends_.begin(); entry != sends_.end();) {
    drop_until(entry->second, now - kRetention);
    entry = entry->second.empty() ? sends_.erase(entry) : std::next(entry);
  }
}

/// Drops the sends that were given up at `end` or before.
void UnansweredSends::drop_until(GivenUpSends& sends, MonotonicTime end) {
  while (!sends.empty() && sends.front().at <= end) {
    sends.pop_front();
  }
}

}  // namespace ochrespring::gateway
