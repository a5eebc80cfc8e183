// The authority as other subsystems read it.
#pragma once

#include <optional>
#include <vector>

#include "authority/types.h"

namespace ochrespring::authority {

/// Told of leases on the control loop.
class LeaseObserver {
 public:
  virtual ~LeaseObserver() = default;
  virtual void on_lease_gained(const HeldLease& lease) = 0;
  /// The lease has passed, was given up, or will be claimed again under a higher epoch.
  virtual void on_lease_lost(const ShardKey& key) = 0;
};

/// Read side of the authority; used on the control loop only.
class LeaseView {
 public:
  virtual ~LeaseView() = default;
  /// The lease if this node holds it at this moment by its own clock. To be asked before each order
  /// and each grant: the process may have been paused since it last asked.
  virtual std::optional<HeldLease> held(const ShardKey& key) const = 0;
  /// Last known holder of a shard, if any.
  virtual std::optional<VoterIdentity> holder_hint(const ShardKey& key) const = 0;
  /// How the zone's engines are divided now.
  virtual ShardLayout layout(const ZoneName& zone) const = 0;
  /// An engine refused an order because it has seen `epoch`: claims a higher one.
  virtual void require_epoch_above(const ShardKey& key, Epoch epoch) = 0;
  /// The observer must outlive the view or be removed.
  virtual void add_observer(LeaseObserver& observer) = 0;
  virtual void remove_observer(LeaseObserver& observer) = 0;
};

}  // namespace ochrespring::authority
