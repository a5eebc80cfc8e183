// The key-value store shared by all nodes, the only state that outlives a process. A single
// revision counter numbers all changes; keys bound to a lease are removed when the lease ends. The
// store may be restored from a copy that is some seconds old. Later writes and leases are lost
// then, and a new era begins (StoreEra).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_type.h"
#include "base/time.h"
#include "shared_store/errc.h"
#include "shared_store/store_revision.h"

namespace ochrespring::shared_store {

using LeaseId = StrongNumber<struct StoreLeaseIdTag>;

/// The state of a key after a change; without a value, the key was removed.
struct Change {
  std::string key;
  std::optional<std::string> value;
  StoreRevision revision;
};

struct Listing {
  std::vector<Change> items;  ///< All items have a value.
  StoreRevision revision;     ///< The store's revision when the listing began.
};

/// Selects the keys that begin with `prefix` and sort after `after`.
struct PageRequest {
  std::string prefix;
  std::string after;  ///< Empty: starts at the first key.
};

/// A part of the selected keys, in order, with their current values. Pages do not form a snapshot:
/// a change made between two page reads is visible in the later page.
struct ListPage {
  std::vector<Change> items;  ///< All items have a value.
  bool more = false;          ///< More keys follow the last one.
  StoreRevision revision;     ///< The store's revision when the page was read.
};

struct Changes {
  std::vector<Change> changes;  ///< In order of revision.
  /// More changes may follow the last one: the store divides long answers.
  bool may_continue = false;
};

/// A precondition of a transaction: the revision of the key's last change, or zero if the key must
/// not exist.
struct Condition {
  std::string key;
  StoreRevision revision;
};

/// A key written by a transaction, bound to a lease if one is given.
struct Write {
  std::string key;
  std::string value;
  std::optional<LeaseId> lease;
};

/// Executed completely if all conditions hold, otherwise not at all.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<std::string> removals;
};

/// Asynchronous client of the shared store; one instance per event loop. The implementation bounds
/// the time of each call.
class SharedStore {
 public:
  virtual ~SharedStore() = default;
  /// Lists all keys that begin with `prefix`, with their current values.
  virtual void list(const std::string& prefix, StoreCallback<Listing> done) = 0;
  /// Reads one page of keys.
  virtual void list_page(const PageRequest& request, StoreCallback<ListPage> done) = 0;
  /// Returns the changes after `after` as soon as there are any, or an empty list after `wait`.
  /// Contains every change up to the last one, also several of one key: HistorySpan relies on that.
  /// Fails with kTooLarge if the changes do not fit into one answer.
  /// Fails with kHistoryUnavailable if the store no longer keeps them or has begun a new era since.
  virtual void changes(const std::string& prefix, StoreRevision after, Duration wait,
                       StoreCallback<Changes> done) = 0;
  /// Writes a key, bound to a lease if one is given.
  virtual void put(const std::string& key, const std::string& value, std::optional<LeaseId> lease,
                   StoreCallback<StoreRevision> done) = 0;
  /// Executes a transaction and returns the revision of its writes. Fails with kConflict if a
  /// condition does not hold, and with kNotFound if a lease has ended.
  virtual void commit(const Transaction& transaction, StoreCallback<StoreRevision> done) = 0;
  /// Returns the current value of a key; fails with kNotFound if the key does not exist.
  virtual void get(const std::string& key, StoreCallback<Change> done) = 0;
  virtual void grant_lease(Duration time_to_live, StoreCallback<LeaseId> done) = 0;
  /// Fails with kNotFound if the lease has ended.
  virtual void renew_lease(LeaseId lease, StoreCallback<LeaseId> done) = 0;
  virtual void end_lease(LeaseId lease, StoreCallback<LeaseId> done) = 0;
  /// Informs the client that another node has seen the store at `revision`: answers to calls sent
  /// from now on belong to that era or a later one.
  virtual void observe_revision(StoreRevision /*revision*/) {}
  /// Informs the client that the store has begun a new era after `ended` although its answers did
  /// not say so: answers to calls sent from now on belong to the next era or a later one, even if
  /// the store names an earlier era.
  virtual void begin_era_after(StoreEra /*ended*/) {}
  /// Returns whether the last received answer named its era. If so, the era of the store's contents
  /// needs no further check.
  virtual bool names_era() const { return false; }
  /// Returns the newest known era of the store; nullopt if nothing is known about the store yet.
  virtual std::optional<StoreEra> era() const { return StoreEra(); }
  /// Returns the number of items that were left out of answers because they could not be read.
  virtual std::uint64_t rejected_items() const { return 0; }
};

}  // namespace ochrespring::shared_store
