#include "simulation/plant.h"

namespace ochrespring::simulation {

void apply_plant(Plant plant, control_plane::ControlPlaneSettings& settings) {
  ledger::LedgerTestingFaults& ledger = settings.ledger.testing_faults;
  ledger.grant_on_first_vote = plant == Plant::kClaimBeforeMajority;
  ledger.skip_waiting_out_window = plant == Plant::kReplicaVotesAtOnce;
  ledger.fill_from_one_replica = plant == Plant::kReplicaFilledFromOne;
  ledger.ignore_held_claims = plant == Plant::kHeldClaimIgnored;
}

}  // namespace ochrespring::simulation
