#include "gateway_node/stop_sequence.h"

#include <algorithm>
#include <utility>

namespace ochrespring::gateway_node {

StopSequence::StopSequence(TimerService& timers, Actions actions)
    : actions_(std::move(actions)),
      refuse_timer_(timers),
      step_timer_(timers),
      force_timer_(timers) {}

StopTimes StopTimes::within(Duration grace) {
  StopTimes times;
  times.grace = grace;
  times.directory_staleness = std::min(times.directory_staleness, grace / 2);
  times.refuse_long_after = std::min(times.refuse_long_after, grace / 3);
  return times;
}

void StopSequence::begin(const StopTimes& times) {
  if (std::exchange(begun_, true)) {
    return;
  }
  times_ = times;
  actions_.leave();
  refuse_timer_.arm(times_.refuse_long_after, [this] {
    if (actions_.refuse_long_requests) {
      actions_.refuse_long_requests();
    }
  });
  step_timer_.arm(times_.directory_staleness, [this] {
    stale_answers_expired_ = true;
    actions_.stop_accepting();
    finish_if_idle();
  });
  force_timer_.arm(times_.grace, [this] { force_finish(); });
}

void StopSequence::force_finish() {
  step_timer_.disarm();
  if (actions_.end_requests) {
    actions_.end_requests();
  }
  force_timer_.arm(times_.idle_period, [this] { actions_.finish(); });
}

/// Has no effect after force_finish(), which has scheduled the end already.
void StopSequence::on_idle() {
  if (stale_answers_expired_ && step_timer_.armed()) {
    was_idle_ = false;
    finish_if_idle();
  }
}

/// Finishes only if two checks in a row find the node idle, because a connection that was just
/// accepted is read in the next iteration of the event loop.
void StopSequence::finish_if_idle() {
  const bool idle = actions_.running() == 0;
  if (idle && was_idle_) {
    actions_.finish();
    return;
  }
  was_idle_ = idle;
  step_timer_.arm(times_.idle_period, [this] { finish_if_idle(); });
}

}  // namespace ochrespring::gateway_node
