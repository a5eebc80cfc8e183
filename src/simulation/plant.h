// Planted bugs: defects put in on purpose, to prove that the oracle catches them.
#pragma once

#include <cstdint>

#include "control_plane/control_plane.h"

namespace ochrespring::simulation {

/// Which promise each must break is in fuzz/plants.cc.
enum class Plant : std::uint8_t {
  kNone,
  // In the engines.
  kFenceIgnored,
  kOrderTakenWhileBusy,
  // In the client of the engines' control interface.
  kOrderSentTwice,
  kInFlightNotSeen,
  // In the attempt ledger.
  kClaimBeforeMajority,
  kReplicaVotesAtOnce,
  kReplicaFilledFromOne,
  kHeldClaimIgnored,
  // In the transport to back ends.
  kRequestIdNotChecked,
  kEndNotChecked,
  kUnknownReportedAsNotRun,
  kDispatchAfterGrant,
  // In the client of the key-value service.
  kSwapWithoutCompare,
  kLostSwapTakenAsDone,
  // In the network and the clocks.
  kConfigurationNotSpread,
  kClockOutsideBound,
  // Towards callers.
  kUnknownToldAsNotRun,
  // In the node's composition.
  kStopWithoutDrain,
  kStopAfterFixedTime,
  kGrantsNeverEnd,
  kDrainIgnored,
};

/// Plants a bug in the components' settings.
void apply_plant(Plant plant, control_plane::ControlPlaneSettings& settings);

}  // namespace ochrespring::simulation
