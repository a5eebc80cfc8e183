#include "statechart/charts/lease_holder.h"

namespace ochrespring::statechart {

const Vocabulary& lease_holder_vocabulary() {
  static const Vocabulary vocabulary{
      "lease_holder",
      {"idle", "claiming", "holding"},
      {"claim_due", "majority_granted", "claim_failed", "renewal_due", "deadline_passed",
       "release_requested"},
      {"eligible", "deadline_ahead"},
      {"send_claim", "send_renewal", "extend_deadline", "announce_gained", "announce_lost",
       "send_release", "schedule_claim"},
  };
  return vocabulary;
}

}  // namespace ochrespring::statechart
