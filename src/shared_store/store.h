// The store that all nodes share: the only thing that outlasts a process. One revision counts every
// change; keys bound to a lease go with it. It may come back from a copy that is some seconds old:
// what was written since is lost then, leases too, and another life begins (StoreEra).
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

/// A key as it was written, or, without a value, its end.
struct Change {
  std::string key;
  std::optional<std::string> value;
  StoreRevision revision;
};

struct Listing {
  std::vector<Change> items;  ///< All with a value.
  StoreRevision revision;     ///< The store's when the listing began.
};

/// Which keys are asked for: those that begin with `prefix`, behind `after`.
struct PageRequest {
  std::string prefix;
  std::string after;  ///< Empty: from the first one on.
};

/// Some of the keys that were asked for, in their order, as they are now. Pages are no snapshot:
/// what changes between two of them is in the later one.
struct ListPage {
  std::vector<Change> items;  ///< All with a value.
  bool more = false;          ///< Others follow behind the last one.
  StoreRevision revision;     ///< The store's when the page was read.
};

struct Changes {
  std::vector<Change> changes;  ///< In the order of their revisions.
};

/// What a transaction depends on: the key's last change, zero if it is to be absent.
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

/// Done whole, if all conditions hold, or not at all.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  std::vector<std::string> removals;
};

/// Asynchronous; one per loop. Each call is bounded in time by the implementation.
class SharedStore {
 public:
  virtual ~SharedStore() = default;
  /// All keys that begin with `prefix`, as they are now.
  virtual void list(const std::string& prefix, StoreCallback<Listing> done) = 0;
  /// One page of keys.
  virtual void list_page(const PageRequest& request, StoreCallback<ListPage> done) = 0;
  /// Changes after `after`, as soon as there are any, or none after `wait`. kHistoryUnavailable if
  /// they cannot be told any more, or if the store has begun another life since.
  virtual void changes(const std::string& prefix, StoreRevision after, Duration wait,
                       StoreCallback<Changes> done) = 0;
  /// Writes a key, bound to a lease if one is given.
  virtual void put(const std::string& key, const std::string& value, std::optional<LeaseId> lease,
                   StoreCallback<StoreRevision> done) = 0;
  /// The revision of its writes; kConflict if a condition did not hold, kNotFound if a lease is
  /// over.
  virtual void commit(const Transaction& transaction, StoreCallback<StoreRevision> done) = 0;
  /// A key as it is now; kNotFound if it is absent.
  virtual void get(const std::string& key, StoreCallback<Change> done) = 0;
  virtual void grant_lease(Duration time_to_live, StoreCallback<LeaseId> done) = 0;
  /// kNotFound if the lease is over.
  virtual void renew_lease(LeaseId lease, StoreCallback<LeaseId> done) = 0;
  virtual void end_lease(LeaseId lease, StoreCallback<LeaseId> done) = 0;
  /// Another node has seen the store at `revision`: answers to calls that leave from now on are of
  /// that life or a later one.
  virtual void observe_revision(StoreRevision /*revision*/) {}
  /// The store has turned out to have begun another life after `ended`, though its answers did not
  /// say so: those to calls that leave from now on are of the next one. For a store that names its
  /// lives there is nothing to do.
  virtual void begin_era_after(StoreEra /*ended*/) {}
  /// Whether the newest answer named its life: what the store has told since is of that life then.
  virtual bool names_era() const { return false; }
  /// The newest life of the store that is known of; none before the first answer.
  virtual std::optional<StoreEra> era() const { return StoreEra(); }
};

}  // namespace ochrespring::shared_store
