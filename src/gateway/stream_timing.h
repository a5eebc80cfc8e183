// Timing of the events that one stream has delivered, for the log.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace ochrespring::gateway {

/// Counts events and records the longest gap between two of them.
class StreamTiming {
 public:
  void note_event(MonotonicTime now) {
    if (last_event_) {
      longest_gap_ = std::max(longest_gap_, now - *last_event_);
    }
    last_event_ = now;
    ++events_;
  }

  std::uint64_t events() const { return events_; }
  Duration longest_gap() const { return longest_gap_; }
  std::optional<MonotonicTime> last_event() const { return last_event_; }

 private:
  std::uint64_t events_ = 0;
  Duration longest_gap_{};
  std::optional<MonotonicTime> last_event_;
};

}  // namespace ochrespring::gateway
