// The claims one replica holds for one partition: bounded, lapsing after the window. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "ledger/messages.h"
#include "ledger/settings.h"

namespace ochrespring::ledger {

/// Memory shared by the stores of one node.
struct ClaimBudget {
  std::uint64_t claims = 0;
  std::uint64_t outcome_bytes = 0;
};

/// Claims of one partition. Not thread-safe. The budget must outlive the store.
class ClaimStore {
 public:
  ClaimStore(const LedgerSettings& settings, ClaimBudget& budget);
  ~ClaimStore();
  ClaimStore(const ClaimStore&) = delete;
  ClaimStore& operator=(const ClaimStore&) = delete;

  /// Votes on a claim and, when granting, keeps it. Repeating the same claim repeats the grant.
  ClaimReply claim(const ClaimRequest& request, MonotonicTime now);
  /// Keeps the outcome of a claim; false if another claim holds the key.
  bool record(const RecordRequest& request, MonotonicTime now);
  /// Forgets a running claim; a late copy of its request is refused from now on.
  void release(const ReleaseRequest& request, MonotonicTime now);

  /// Adds a claim read from another replica. Two different holders leave the key held by nobody.
  void merge(const StoredClaim& claim, MonotonicTime now);
  /// Up to `limit` claims after `after` in key order.
  std::vector<StoredClaim> page(const std::optional<ClaimKey>& after, std::size_t limit,
                                MonotonicTime now) const;

  /// Drops claims older than the window.
  void expire(MonotonicTime now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::optional<ClaimId> claim;
    std::uint64_t body_hash = 0;
    MonotonicTime created;
    RecordedOutcome outcome;
  };
  using Entries = std::map<ClaimKey, Entry>;

  bool lapsed(const Entry& entry, MonotonicTime now) const;
  void insert(const ClaimKey& key, Entry entry);
  void erase(Entries::iterator position);
  void keep_outcome(Entry& entry, RecordedOutcome outcome);

  const LedgerSettings& settings_;
  ClaimBudget& budget_;
  Entries entries_;
  std::multimap<MonotonicTime, ClaimKey> by_age_;
  std::map<ClaimId, MonotonicTime> released_;
};

}  // namespace ochrespring::ledger
