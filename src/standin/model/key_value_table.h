// The key-value service's state: versions, leases, watches' change log, rate limit. Free of I/O, so
// that the stand-in process and the simulation run the same code.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "external/key_value_store.h"
#include "standin/model/token_bucket.h"

namespace ochrespring::standin {

struct KeyValueSettings {
  double calls_per_second = 200;  ///< Over all clients; zero: no limit.
  double burst_calls = 100;
  std::size_t largest_value_bytes = 1U << 20U;
  std::size_t largest_key_bytes = 512;
  std::size_t changes_kept = 4096;  ///< Older changes are compacted away.
};

/// Changes under a prefix after a position of the change log.
struct ChangeBatch {
  std::uint64_t position = 0;  ///< To ask from next time.
  bool compacted = false;      ///< Changes before the oldest kept one are missing: list again.
  std::vector<external::KeyValueEntry> changes;  ///< Oldest first; version zero: vanished.
};

/// A full copy of the service's state, to model a restore from an old backup.
struct KeyValueBackup {
  std::map<std::string, external::KeyValueEntry> entries;
};

/// Single-threaded. Every operation first drops what has lapsed.
class KeyValueTable {
 public:
  enum class Errc { kUnknownLease, kKeyTooLong, kValueTooLarge };
  using Error = LayerError<Errc>;

  KeyValueTable(const Clock& clock, KeyValueSettings settings);

  /// Counts one call against the rate limit; false: refuse it without effect.
  bool admit();
  /// Time until a refused call may be admitted.
  Duration retry_after();

  std::optional<external::KeyValueEntry> get(const std::string& key);
  std::vector<external::KeyValueEntry> list(const std::string& prefix);
  /// Versions are drawn from one counter, so that a key never has the same version twice.
  Result<external::SwapOutcome, Error> compare_and_swap(const std::string& key,
                                                        external::KeyVersion expected,
                                                        const std::string& value,
                                                        std::optional<external::LeaseId> lease);
  external::SwapOutcome compare_and_delete(const std::string& key, external::KeyVersion expected);

  external::LeaseId grant_lease(Duration time_to_live);
  /// Counts the time to live again from now; kUnknownLease if it has lapsed.
  Result<external::LeaseId, Error> renew_lease(external::LeaseId lease);
  /// Ends a lease and its keys; false if there is none.
  bool revoke_lease(external::LeaseId lease);
  /// Drops lapsed leases and their keys; the time until the next one lapses, if there is any.
  std::optional<Duration> expire();

  /// Position after the newest change.
  std::uint64_t position() const { return next_position_; }
  ChangeBatch changes_after(const std::string& prefix, std::uint64_t position);

  KeyValueBackup backup() const { return {entries_}; }
  /// Puts an older state back; versions go on from the highest ever drawn. Leases are lost.
  void restore(const KeyValueBackup& backup);

  std::uint64_t admitted_calls() const { return admitted_calls_; }
  std::uint64_t refused_calls() const { return refused_calls_; }

 private:
  struct Lease {
    Duration time_to_live{};
    MonotonicTime lapses;
    std::set<std::string> keys;
  };
  struct Change {
    std::uint64_t position = 0;
    external::KeyValueEntry entry;
  };

  void erase(const std::string& key);
  void record(external::KeyValueEntry entry);
  void bind(const std::string& key, std::optional<external::LeaseId> lease);
  std::optional<Error> check(const std::string& key, const std::string& value,
                             std::optional<external::LeaseId> lease) const;

  const Clock& clock_;
  KeyValueSettings settings_;
  TokenBucket limit_;
  std::map<std::string, external::KeyValueEntry> entries_;
  std::map<std::string, external::LeaseId> lease_of_key_;
  std::map<external::LeaseId, Lease> leases_;
  std::deque<Change> changes_;
  external::KeyVersion last_version_;
  external::LeaseId last_lease_;
  std::uint64_t next_position_ = 1;
  std::uint64_t admitted_calls_ = 0;
  std::uint64_t refused_calls_ = 0;
};

}  // namespace ochrespring::standin
