#include "standin/model/key_value_table.h"

#include <algorithm>
#include <utility>

namespace ochrespring::standin {

using external::KeyValueEntry;
using external::KeyVersion;
using external::LeaseId;
using external::SwapOutcome;

KeyValueTable::KeyValueTable(const Clock& clock, KeyValueSettings settings)
    : clock_(clock),
      settings_(settings),
      limit_(clock, settings.calls_per_second, settings.burst_calls) {}

bool KeyValueTable::admit() {
  const bool admitted = limit_.take(1);
  (admitted ? admitted_calls_ : refused_calls_) += 1;
  return admitted;
}

Duration KeyValueTable::retry_after() {
  return limit_.wait_for(1);
}

std::optional<KeyValueEntry> KeyValueTable::get(const std::string& key) {
  expire();
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<KeyValueEntry> KeyValueTable::list(const std::string& prefix) {
  expire();
  std::vector<KeyValueEntry> found;
  for (auto entry = entries_.lower_bound(prefix);
       entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

std::optional<KeyValueTable::Error> KeyValueTable::check(const std::string& key,
                                                         const std::string& value,
                                                         std::optional<LeaseId> lease) const {
  if (key.size() > settings_.largest_key_bytes) {
    return Error{Errc::kKeyTooLong, "key is too long"};
  }
  if (value.size() > settings_.largest_value_bytes) {
    return Error{Errc::kValueTooLarge, "value is too large"};
  }
  if (lease && !leases_.contains(*lease)) {
    return Error{Errc::kUnknownLease, "lease has lapsed or never was"};
  }
  return std::nullopt;
}

Result<SwapOutcome, KeyValueTable::Error> KeyValueTable::compare_and_swap(
    const std::string& key, KeyVersion expected, const std::string& value,
    std::optional<LeaseId> lease) {
  expire();
  if (auto error = check(key, value, lease)) {
    return outcome::failure(std::move(*error));
  }
  const std::optional<KeyValueEntry> current = get(key);
  const KeyVersion version = current ? current->version : KeyVersion();
  if (version != expected) {
    return SwapOutcome{false, version, current};
  }
  last_version_ = last_version_.next();
  const KeyValueEntry entry{key, value, last_version_};
  entries_[key] = entry;
  bind(key, lease);
  record(entry);
  return SwapOutcome{true, last_version_, std::nullopt};
}

SwapOutcome KeyValueTable::compare_and_delete(const std::string& key, KeyVersion expected) {
  const std::optional<KeyValueEntry> current = get(key);
  const KeyVersion version = current ? current->version : KeyVersion();
  if (version != expected) {
    return {false, version, current};
  }
  if (current) {
    erase(key);
  }
  return {true, KeyVersion(), std::nullopt};
}

LeaseId KeyValueTable::grant_lease(Duration time_to_live) {
  expire();
  last_lease_ = last_lease_.next();
  leases_[last_lease_] = Lease{time_to_live, clock_.now() + time_to_live, {}};
  return last_lease_;
}

Result<LeaseId, KeyValueTable::Error> KeyValueTable::renew_lease(LeaseId lease) {
  expire();
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return fail(Errc::kUnknownLease, "lease has lapsed or never was");
  }
  found->second.lapses = clock_.now() + found->second.time_to_live;
  return lease;
}

bool KeyValueTable::revoke_lease(LeaseId lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  const std::set<std::string> keys = std::move(found->second.keys);
  leases_.erase(found);
  for (const std::string& key : keys) {
    erase(key);
  }
  return true;
}

std::optional<Duration> KeyValueTable::expire() {
  const MonotonicTime now = clock_.now();
  std::vector<LeaseId> lapsed;
  std::optional<Duration> next;
  for (const auto& [id, lease] : leases_) {
    if (lease.lapses <= now) {
      lapsed.push_back(id);
    } else if (!next || lease.lapses - now < *next) {
      next = lease.lapses - now;
    }
  }
  for (const LeaseId id : lapsed) {
    revoke_lease(id);
  }
  return next;
}

ChangeBatch KeyValueTable::changes_after(const std::string& prefix, std::uint64_t position) {
  expire();
  ChangeBatch batch;
  batch.position = next_position_;
  const std::uint64_t oldest = changes_.empty() ? next_position_ : changes_.front().position;
  batch.compacted = position < oldest || position > next_position_;
  for (const Change& change : changes_) {
    if (change.position >= position && change.entry.key.starts_with(prefix)) {
      batch.changes.push_back(change.entry);
    }
  }
  return batch;
}

void KeyValueTable::restore(const KeyValueBackup& backup) {
  leases_.clear();
  lease_of_key_.clear();
  const auto before = std::exchange(entries_, backup.entries);
  for (const auto& [key, entry] : before) {
    if (!entries_.contains(key)) {
      record({key, "", KeyVersion()});
    }
  }
  for (const auto& [key, entry] : entries_) {
    record(entry);
  }
}

void KeyValueTable::erase(const std::string& key) {
  bind(key, std::nullopt);
  if (entries_.erase(key) > 0) {
    record({key, "", KeyVersion()});
  }
}

void KeyValueTable::record(KeyValueEntry entry) {
  changes_.push_back({next_position_, std::move(entry)});
  ++next_position_;
  if (changes_.size() > settings_.changes_kept) {
    changes_.pop_front();
  }
}

void KeyValueTable::bind(const std::string& key, std::optional<LeaseId> lease) {
  const auto bound = lease_of_key_.find(key);
  if (bound != lease_of_key_.end()) {
    const auto holder = leases_.find(bound->second);
    if (holder != leases_.end()) {
      holder->second.keys.erase(key);
    }
    lease_of_key_.erase(bound);
  }
  if (lease) {
    leases_.at(*lease).keys.insert(key);
    lease_of_key_.emplace(key, *lease);
  }
}

}  // namespace ochrespring::standin
