#include "gateway_node/stop_sequence.h"

#include <utility>

namespace ochrespring::gateway_node {

StopSequence::StopSequence(TimerService& timers, Actions actions)
    : actions_(std::move(actions)), step_(timers), force_(timers) {}

void StopSequence::begin(const StopTimes& times) {
  if (std::exchange(begun_, true)) {
    return;
  }
  times_ = times;
  actions_.leave();
  step_.arm(times_.callers_notice, [this] {
    callers_noticed_ = true;
    actions_.stop_accepting();
    on_idle();
  });
  force_.arm(times_.grace, [this] { actions_.finish(); });
}

void StopSequence::on_idle() {
  if (callers_noticed_ && actions_.running() == 0) {
    step_.arm(times_.linger, [this] { finish_if_idle(); });
  }
}

/// A request on a kept connection may have come while the last answer's bytes left; its own end
/// calls on_idle() again.
void StopSequence::finish_if_idle() {
  if (actions_.running() == 0) {
    actions_.finish();
  }
}

}  // namespace ochrespring::gateway_node
