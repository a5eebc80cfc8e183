#include "usage/wall_clock_estimate.h"

#include <algorithm>
#include <vector>

namespace ochrespring::usage {

WallClockEstimate::WallClockEstimate(const Clock& clock, TimerService& timers,
                                     WallClockOptions options)
    : clock_(clock), options_(options), timer_(timers) {
  sample();
}

WallTime WallClockEstimate::now() const {
  return WallTime(clock_.now().time_since_epoch() + median_offset_);
}

void WallClockEstimate::sample() {
  wall_offsets_.push_back(clock_.wall_now().time_since_epoch() - clock_.now().time_since_epoch());
  if (wall_offsets_.size() > options_.samples) {
    wall_offsets_.pop_front();
  }
  std::vector<Duration> sorted(wall_offsets_.begin(), wall_offsets_.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  median_offset_ = *middle;
  timer_.arm(options_.period, [this] { sample(); });
}

}  // namespace ochrespring::usage
