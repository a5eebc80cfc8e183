#include "statechart/charts/engine_life.h"

namespace ochrespring::statechart {

const Vocabulary& engine_life_vocabulary() {
  static const Vocabulary vocabulary{
      "engine_life",
      {"unknown", "fencing", "serving", "draining", "ordering", "verifying", "changing"},
      {"status_received", "fence_raised", "change_requested", "change_abandoned", "drained",
       "order_accepted", "order_refused", "order_stale", "answer_lost", "change_completed",
       "change_failed", "engine_restarted", "engine_unreachable"},
      {"order_running", "order_in_effect", "needs_drain"},
      {"read_status", "raise_fence", "begin_drain", "end_drain", "send_order", "confirm_fence",
       "withdraw_fence", "note_completed", "note_failed", "note_superseded"},
  };
  return vocabulary;
}

}  // namespace ochrespring::statechart
