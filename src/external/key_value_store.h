// The platform's key-value service: small values, compare-and-swap, leases, watches.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_type.h"
#include "base/time.h"
#include "external/errc.h"

namespace ochrespring::external {

/// Version of one key; zero means the key does not exist.
using KeyVersion = StrongNumber<struct KeyVersionTag>;
/// A lease of the service; keys bound to it vanish when it lapses.
using LeaseId = StrongNumber<struct LeaseIdTag>;

struct KeyValueEntry {
  std::string key;
  std::string value;
  KeyVersion version;
};

/// Outcome of a compare-and-swap that the service carried out.
struct SwapOutcome {
  bool swapped = false;
  KeyVersion version;                    ///< Of the key now.
  std::optional<KeyValueEntry> current;  ///< The entry in place when not swapped.
};

/// Receives changes under a watched prefix. Changes may be lost: poll as well.
class WatchObserver {
 public:
  virtual ~WatchObserver() = default;
  /// A key changed or, with version zero, vanished.
  virtual void on_change(const KeyValueEntry& entry) = 0;
};

/// Ends the watch on destruction.
class Watch {
 public:
  virtual ~Watch() = default;
};

/// Asynchronous client of the service; one per event loop, used on that loop only. Failures come as
/// ExternalError; kUnknownEffect must be resolved by reading.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;
  /// Entry of a key, or none.
  virtual void get(const std::string& key, ExternalCallback<std::optional<KeyValueEntry>> done) = 0;
  /// Entries whose keys begin with `prefix`.
  virtual void list(const std::string& prefix,
                    ExternalCallback<std::vector<KeyValueEntry>> done) = 0;
  /// Writes `value` if the key's version is `expected`. With a lease the key vanishes with it.
  virtual void compare_and_swap(const std::string& key, KeyVersion expected,
                                const std::string& value, std::optional<LeaseId> lease,
                                ExternalCallback<SwapOutcome> done) = 0;
  /// Deletes the key if its version is `expected`.
  virtual void compare_and_delete(const std::string& key, KeyVersion expected,
                                  ExternalCallback<SwapOutcome> done) = 0;
  /// Creates a lease that lapses `time_to_live` after its last renewal.
  virtual void grant_lease(Duration time_to_live, ExternalCallback<LeaseId> done) = 0;
  /// Renews a lease; kNotFound if it has lapsed.
  virtual void renew_lease(LeaseId lease, ExternalCallback<LeaseId> done) = 0;
  /// Watches a prefix until the returned object is destroyed.
  virtual std::unique_ptr<Watch> watch(const std::string& prefix, WatchObserver& observer) = 0;
};

}  // namespace ochrespring::external
