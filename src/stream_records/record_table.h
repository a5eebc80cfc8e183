// The stream records that one node keeps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/time.h"
#include "stream_records/types.h"

namespace ochrespring::stream_records {

/// Keeps records until they expire, at most `max_records`. When it is full, it evicts the records
/// that expire first of the tenant that has the most, so that one tenant cannot evict the records
/// of others that have fewer. Used on one event loop.
class RecordTable {
 public:
  /// Some 100 bytes each. A node of a large fleet receives about 60 records per second.
  static constexpr std::size_t kMaxRecords = 32'768;

  explicit RecordTable(std::size_t max_records = kMaxRecords) : max_records_(max_records) {}

  /// Adds a record or extends the lifetime of an equal one. A record that names other software
  /// makes the stream conflicting until its records expire.
  void put(const StreamRecord& record, MonotonicTime now);

  struct Entry {
    RecordState state = RecordState::kNone;
    gateway::SoftwareId software;
    MonotonicTime expires{};
  };
  Entry find(const gateway::StreamKey& stream, MonotonicTime now) const;

  std::size_t size() const { return size_; }
  std::uint64_t evicted() const { return evicted_; }
  std::uint64_t conflicts() const { return conflicts_; }

 private:
  using TenantRecords = std::unordered_map<std::uint64_t, Entry>;  ///< By attempt.

  void remove_expired(MonotonicTime now);
  void evict();

  std::size_t max_records_;
  std::unordered_map<std::uint64_t, TenantRecords> tenants_;
  std::size_t size_ = 0;
  MonotonicTime last_removal_{};
  std::uint64_t evicted_ = 0;
  std::uint64_t conflicts_ = 0;
};

}  // namespace ochrespring::stream_records
