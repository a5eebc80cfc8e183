#include "node/stop_sequence.h"

#include <utility>

namespace ochrespring::node {

StopSequence::StopSequence(TimerService& timers, StopActions actions, Duration hand_over_limit)
    : actions_(std::move(actions)), hand_over_limit_(hand_over_limit), limit_(timers) {}

void StopSequence::begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  // Leaving begins at once, so that others take over while requests finish.
  actions_.leave([this] { on_left(); });
  actions_.drain_proxies([this] { on_drained(); });
}

void StopSequence::on_drained() {
  drained_ = true;
  if (left_) {
    finish(true);
    return;
  }
  limit_.arm(hand_over_limit_, [this] { finish(false); });
}

void StopSequence::on_left() {
  left_ = true;
  if (drained_) {
    finish(true);
  }
}

void StopSequence::finish(bool handed_over) {
  if (finished_) {
    return;
  }
  finished_ = true;
  limit_.disarm();
  actions_.finish(handed_over);
}

}  // namespace ochrespring::node
