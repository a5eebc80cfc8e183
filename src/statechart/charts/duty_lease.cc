#include "statechart/charts/duty_lease.h"

namespace ochrespring::statechart {

const Vocabulary& duty_lease_vocabulary() {
  static const Vocabulary vocabulary{
      "duty_lease",
      {"following", "claiming", "holding", "doubtful", "left"},
      {"claim_due", "claimed", "claim_failed", "found_own", "renewal_due", "renewed", "lease_gone",
       "deadline_passed", "release_requested", "stop_requested"},
      {"first_choice"},
      {"schedule_claim", "send_claim", "schedule_renewal", "send_renewal", "announce_gained",
       "announce_lost", "send_release"},
  };
  return vocabulary;
}

}  // namespace ochrespring::statechart
