#include "gateway/stream_observation.h"

#include <algorithm>

namespace ochrespring::gateway {

StreamObservation::StreamObservation(EngineObserver* observer, BackendId engine,
                                     std::optional<std::uint64_t> expected_tokens,
                                     std::uint64_t events_before)
    : observer_(observer), engine_(std::move(engine)) {
  if (observer_ != nullptr && expected_tokens) {
    const std::uint64_t all = observer_->events_of(engine_, *expected_tokens).value_or(0);
    events_to_come_ = all - std::min(all, events_before);
  }
}

void StreamObservation::note_event(MonotonicTime now) {
  if (observer_ == nullptr) {
    return;
  }
  last_event_ = now;
  events_to_come_ -= std::min<std::uint64_t>(events_to_come_, 1);
  if (!is_long_ && events_to_come_ >= kMinLongStreamEvents) {
    is_long_ = true;
    observer_->begin_long_stream(engine_, now);
  } else if (events_to_come_ < kMinLongStreamEvents) {
    end(now);
  }
  if (!observes_gaps_) {
    return;
  }
  if (!window_start_) {
    window_start_ = now;
  } else if (++gaps_ == kGapsPerObservation) {
    observer_->note_gaps({.engine = engine_, .gaps = gaps_, .took = now - *window_start_}, now);
    window_start_ = now;
    gaps_ = 0;
  }
}

void StreamObservation::end(MonotonicTime now) {
  if (std::exchange(is_long_, false)) {
    observer_->end_long_stream(engine_, now);
  }
}

}  // namespace ochrespring::gateway
