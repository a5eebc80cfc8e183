#include "fuzz/plants.h"

namespace ochrespring::fuzz {

using oracle::Promise;
using simulation::Plant;

const std::vector<PlantedBug>& planted_bugs() {
  static const std::vector<PlantedBug> kPlants = {
      {Plant::kOrderTakenWhileBusy, "order-taken-while-busy", Promise::kNoConflictingOrders,
       "engine-crash", "an engine replaces the order it is carrying out"},
      {Plant::kOrderSentTwice, "order-sent-twice", Promise::kNoConflictingOrders, "calm",
       "each order is sent again under the next sequence number"},
      {Plant::kInFlightNotSeen, "drain-not-awaited", Promise::kNoCutByPlannedChange, "calm",
       "requests in flight are not seen when an engine is drained"},
      {Plant::kDrainIgnored, "drain-ignored", Promise::kNoCutByPlannedChange, "calm",
       "proxies dispatch to draining engines"},
      {Plant::kFenceIgnored, "fence-ignored", Promise::kStaleOrdersHaveNoEffect, "everything",
       "engines carry out orders below the highest fence"},
      {Plant::kClockOutsideBound, "clock-outside-bound", Promise::kStaleOrdersHaveNoEffect,
       "partition", "holders' clocks run slow, so that their leases last too long"},
      {Plant::kEndNotChecked, "end-not-checked", Promise::kWholeAnswer, "engine-crash",
       "an answer counts as whole when its connection ends"},
      {Plant::kRequestIdNotChecked, "request-id-not-checked", Promise::kWholeAnswer, "engine-crash",
       "answers to other requests are taken"},
      {Plant::kUnknownReportedAsNotRun, "retry-after-bytes-were-sent", Promise::kAtMostOnce,
       "engine-crash", "an attempt that failed after its bytes left counts as not run"},
      {Plant::kUnknownToldAsNotRun, "unknown-told-as-not-run", Promise::kTrueRefusal,
       "engine-crash", "callers are told \"not run\" in place of \"unknown\""},
      {Plant::kClaimBeforeMajority, "claim-before-majority", Promise::kAtMostOnce, "everything",
       "a claim is granted on the first vote"},
      {Plant::kReplicaVotesAtOnce, "replica-votes-at-once", Promise::kAtMostOnce, "restart-all",
       "a replica that lost its claims votes before the window has passed"},
      {Plant::kReplicaFilledFromOne, "replica-filled-from-one", Promise::kAtMostOnce,
       "rolling-replace", "a new replica set reads the claims of one earlier replica only"},
      {Plant::kHeldClaimIgnored, "held-claim-ignored", Promise::kAtMostOnce, "calm",
       "a replica grants a key that another claim holds"},
      {Plant::kGrantsNeverEnd, "grant-never-ends", Promise::kLeavingBackendIdle, "partition",
       "a proxy goes on dispatching when its routing grants have ended"},
      {Plant::kDispatchAfterGrant, "dispatch-after-grant", Promise::kLeavingBackendIdle, "pause",
       "bytes leave after the routing grant has ended"},
      {Plant::kStopWithoutDrain, "stop-without-drain", Promise::kNoCutByPlannedStop,
       "rolling-replace", "a planned stop does not wait for open requests"},
      {Plant::kStopAfterFixedTime, "stop-after-fixed-time", Promise::kNoCutByPlannedStop,
       "rolling-replace", "a planned stop waits two seconds, whatever is open"},
      {Plant::kSwapWithoutCompare, "swap-without-compare", Promise::kConfigurationInForce,
       "config-race", "a revision is written without comparing the one it follows"},
      {Plant::kLostSwapTakenAsDone, "lost-swap-taken-as-done", Promise::kConfigurationInForce,
       "config-race", "a commit whose answer was lost counts as accepted"},
      {Plant::kConfigurationNotSpread, "configuration-not-spread", Promise::kConfigurationInForce,
       "config-race", "nodes do not tell each other of revisions"},
  };
  return kPlants;
}

const PlantedBug* find_plant(std::string_view name) {
  for (const PlantedBug& bug : planted_bugs()) {
    if (bug.name == name) {
      return &bug;
    }
  }
  return nullptr;
}

Plant plant_named(std::string_view name) {
  const PlantedBug* bug = find_plant(name);
  return bug == nullptr ? Plant::kNone : bug->plant;
}

}  // namespace ochrespring::fuzz
