// Quarantined requests in the shared store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "quarantine/types.h"
#include "shared_store/store.h"

namespace ochrespring::quarantine {

/// Stores quarantined requests, one key for each.
///
/// The store preserves them when all nodes stop, and arbitrates which node may make the next trial
/// of a request. A marker key records that the fleet has run before, which a node that starts
/// alone cannot know. Stateless; used on one event loop.
class QuarantineStore {
 public:
  QuarantineStore(shared_store::SharedStore& store, std::string key_prefix)
      : store_(store), key_prefix_(std::move(key_prefix)) {}

  /// Returns whether `key` is the key of a stored request.
  bool is_request_key(std::string_view key) const { return key.starts_with(key_prefix_); }
  /// Returns whether `key` is the marker that the fleet has run before.
  bool is_fleet_marker(std::string_view key) const { return key == fleet_marker_key(); }
  /// Writes the marker unless it exists; `marked` is whether it exists now.
  void write_fleet_marker(std::function<void(bool marked)> done);
  /// Writes a request unless the store holds it; `stored` is whether the store holds it now.
  void add(CrashReport report, std::function<void(bool stored)> done);
  void remove(const gateway::RequestFingerprint& request);

  struct TrialClaim {
    bool granted = false;
    std::uint32_t trials = 0;  ///< Known number of trials, including this one if granted.
  };
  /// Counts one more trial, unless the store has counted more trials than `report`. If several
  /// nodes claim at the same time, one is granted the trial. Not granted if the store is
  /// unavailable.
  void claim_trial(const CrashReport& report, std::function<void(TrialClaim)> done);

 private:
  void commit_trial(CrashReport report, shared_store::StoreRevision revision,
                    std::function<void(TrialClaim)> done);
  std::string key_of(const gateway::RequestFingerprint& request) const {
    return key_prefix_ + request.to_hex();
  }

  /// Returns the key of the fleet marker: the key prefix up to its first slash, which is outside of
  /// the range of the requests' keys.
  std::string_view fleet_marker_key() const {
    return std::string_view(key_prefix_).substr(0, key_prefix_.find('/'));
  }

  shared_store::SharedStore& store_;
  std::string key_prefix_;
};

}  // namespace ochrespring::quarantine
