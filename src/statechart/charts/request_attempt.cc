#include "statechart/charts/request_attempt.h"

namespace ochrespring::statechart {

const Vocabulary& request_attempt_vocabulary() {
  static const Vocabulary vocabulary{
      "request_attempt",
      {"routing", "claiming", "waiting", "streaming", "backing_off", "answered", "not_run",
       "unknown", "cancelled"},
      {"engine_chosen", "refused", "claim_granted", "claim_repeated", "claim_unavailable",
       "head_received", "completed", "failed_not_run", "failed_unknown", "retry_due", "caller_gone",
       "deadline_passed"},
      {"needs_claim", "retry_allowed", "repeatable", "resumable", "maybe_ran"},
      {"request_claim", "start_attempt", "cancel_attempt", "forward_head", "schedule_retry",
       "record_answer", "record_unknown", "release_claim", "replay_recorded", "finish_answer",
       "send_refusal", "send_unknown", "abort_answer"},
  };
  return vocabulary;
}

}  // namespace ochrespring::statechart
