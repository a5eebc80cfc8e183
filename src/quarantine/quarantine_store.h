// Quarantined requests in the store: there they outlast all nodes, and there the fleet agrees who
// tries one again. And whether the fleet has run before: a node that starts alone cannot tell.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "quarantine/types.h"
#include "shared_store/store.h"

namespace ochrespring::quarantine {

/// One key a request. Stateless; one loop.
class QuarantineStore {
 public:
  QuarantineStore(shared_store::SharedStore& store, std::string key_prefix)
      : store_(store), key_prefix_(std::move(key_prefix)) {}

  /// Whether a key is one of these.
  bool owns(std::string_view key) const { return key.starts_with(key_prefix_); }
  /// Whether a key says that the fleet has run before.
  bool is_fleet_marker(std::string_view key) const { return key == fleet_marker(); }
  /// Writes that key unless it is there.
  void write_fleet_marker(std::function<void(bool marked)> done);
  /// Writes a request that the store does not have; true also if it turns out to have it.
  void add(CrashReport report, std::function<void(bool stored)> done);
  void remove(const gateway::RequestFingerprint& request);

  struct TrialClaim {
    bool granted = false;
    std::uint32_t trials = 0;  ///< With this one, or as many as others have made.
  };
  /// Counts one more trial if the store knows of no more than `report` does: of all nodes that ask
  /// at once, one is granted it. Not granted without the store.
  void claim_trial(const CrashReport& report, std::function<void(TrialClaim)> done);

 private:
  void commit_trial(CrashReport report, shared_store::StoreRevision revision,
                    std::function<void(TrialClaim)> done);
  std::string key_of(const gateway::RequestFingerprint& request) const {
    return key_prefix_ + request.to_hex();
  }

  /// Beside the requests' keys, not among them.
  std::string_view fleet_marker() const {
    return std::string_view(key_prefix_).substr(0, key_prefix_.find('/'));
  }

  shared_store::SharedStore& store_;
  std::string key_prefix_;
};

}  // namespace ochrespring::quarantine
