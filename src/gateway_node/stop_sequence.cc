#include "gateway_node/stop_sequence.h"

#include <algorithm>
#include <utility>

namespace ochrespring::gateway_node {

StopSequence::StopSequence(TimerService& timers, Actions actions)
    : actions_(std::move(actions)), refuse_(timers), step_(timers), force_(timers) {}

StopTimes StopTimes::within(Duration grace) {
  StopTimes times;
  times.grace = grace;
  times.callers_notice = std::min(times.callers_notice, grace / 2);
  times.refuse_long = std::min(times.refuse_long, grace / 3);
  return times;
}

void StopSequence::begin(const StopTimes& times) {
  if (std::exchange(begun_, true)) {
    return;
  }
  times_ = times;
  actions_.leave();
  refuse_.arm(times_.refuse_long, [this] {
    if (actions_.refuse_long) {
      actions_.refuse_long();
    }
  });
  step_.arm(times_.callers_notice, [this] {
    callers_noticed_ = true;
    actions_.stop_accepting();
    finish_if_idle();
  });
  force_.arm(times_.grace, [this] { force(); });
}

void StopSequence::force() {
  step_.disarm();
  if (actions_.end_requests) {
    actions_.end_requests();
  }
  force_.arm(times_.linger, [this] { actions_.finish(); });
}

/// Not after force(): the end is due then in any case.
void StopSequence::on_idle() {
  if (callers_noticed_ && step_.armed()) {
    was_idle_ = false;
    finish_if_idle();
  }
}

/// Twice in a row: a connection that was just accepted is read in the next turn of the loop.
void StopSequence::finish_if_idle() {
  const bool idle = actions_.running() == 0;
  if (idle && was_idle_) {
    actions_.finish();
    return;
  }
  was_idle_ = idle;
  step_.arm(times_.linger, [this] { finish_if_idle(); });
}

}  // namespace ochrespring::gateway_node
