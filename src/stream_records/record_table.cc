#include "stream_records/record_table.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace ochrespring::stream_records {

namespace {

/// Interval between scans for expired records.
constexpr Duration kRemovalInterval = std::chrono::seconds(1);
/// Part of a tenant's records that are evicted together, so that a scan pays for many of them.
constexpr std::size_t kEvictedPart = 8;

}  // namespace

void RecordTable::put(const StreamRecord& record, MonotonicTime now) {
  if (now - last_removal_ >= kRemovalInterval) {
    remove_expired(now);
  }
  if (size_ >= max_records_) {
    evict();
  }
  TenantRecords& records = tenants_[record.stream.tenant];
  const auto [found, added] = records.try_emplace(record.stream.attempt);
  Entry& entry = found->second;
  size_ += added ? 1 : 0;
  if (added || entry.expires <= now) {
    entry = {RecordState::kKnown, record.software, now + record.lifetime};
    return;
  }
  if (entry.state == RecordState::kKnown && entry.software != record.software) {
    entry.state = RecordState::kConflicting;
    ++conflicts_;
  }
  entry.expires = std::max(entry.expires, now + record.lifetime);
}

RecordTable::Entry RecordTable::find(const gateway::StreamKey& stream, MonotonicTime now) const {
  const auto records = tenants_.find(stream.tenant);
  if (records == tenants_.end()) {
    return {};
  }
  const auto found = records->second.find(stream.attempt);
  return found == records->second.end() || found->second.expires <= now ? Entry() : found->second;
}

void RecordTable::remove_expired(MonotonicTime now) {
  last_removal_ = now;
  for (auto& [tenant, records] : tenants_) {
    size_ -= std::erase_if(records, [&](const auto& item) { return item.second.expires <= now; });
  }
  std::erase_if(tenants_, [](const auto& item) { return item.second.empty(); });
}

void RecordTable::evict() {
  const auto largest = std::max_element(
      tenants_.begin(), tenants_.end(),
      [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
  TenantRecords& records = largest->second;
  std::vector<MonotonicTime> expiries;
  expiries.reserve(records.size());
  for (const auto& [attempt, entry] : records) {
    expiries.push_back(entry.expires);
  }
  const auto last =
      expiries.begin() + static_cast<std::ptrdiff_t>((expiries.size() - 1) / kEvictedPart);
  std::nth_element(expiries.begin(), last, expiries.end());
  const std::size_t removed =
      std::erase_if(records, [&](const auto& item) { return item.second.expires <= *last; });
  size_ -= removed;
  evicted_ += removed;
}

}  // namespace ochrespring::stream_records
