#include "engine_profiles/pace_history.h"

#include <algorithm>

namespace ochrespring::engine_profiles {

void PaceHistory::add(double pace, MonotonicTime now) {
  last_ = static_cast<float>(pace);
  last_at_ = now;
  if (size_ != 0 && now - baseline_updated_at_ < kMinBaselineInterval) {
    return;
  }
  baseline_reports_[next_] = last_;
  baseline_updated_at_ = now;
  next_ = static_cast<std::uint8_t>((next_ + 1) % kMaxBaselineReports);
  size_ = std::min<std::uint8_t>(size_ + 1, kMaxBaselineReports);
}

double PaceHistory::baseline() const {
  return size_ < kMinBaselineReports
             ? 1.0
             : *std::min_element(baseline_reports_.begin(), baseline_reports_.begin() + size_);
}

std::optional<double> PaceHistory::pace_during_sample(MonotonicTime now) const {
  const double baseline_pace = baseline();
  if (size_ == 0 || now - last_at_ > kPaceLifetime) {
    return baseline_pace;
  }
  const double ratio = last_ / baseline_pace;
  if (ratio > kTolerance || ratio < 1 / kTolerance) {
    return std::nullopt;
  }
  return last_;
}

}  // namespace ochrespring::engine_profiles
