#include "engine_profiles/pace_history.h"

#include <algorithm>

namespace ochrespring::engine_profiles {

void PaceHistory::note(double pace, MonotonicTime now) {
  last_ = static_cast<float>(pace);
  last_at_ = now;
  if (size_ != 0 && now - spaced_at_ < kSpacing) {
    return;
  }
  spaced_[next_] = last_;
  spaced_at_ = now;
  next_ = static_cast<std::uint8_t>((next_ + 1) % kSpacedReports);
  size_ = std::min<std::uint8_t>(size_ + 1, kSpacedReports);
}

double PaceHistory::usual() const {
  return size_ < kLeastReports ? 1.0 : *std::min_element(spaced_.begin(), spaced_.begin() + size_);
}

std::optional<double> PaceHistory::during_sample(MonotonicTime now) const {
  const double usual_pace = usual();
  if (size_ == 0 || now - last_at_ > kBelief) {
    return usual_pace;
  }
  const double ratio = last_ / usual_pace;
  if (ratio > kTolerance || ratio < 1 / kTolerance) {
    return std::nullopt;
  }
  return last_;
}

}  // namespace ochrespring::engine_profiles
