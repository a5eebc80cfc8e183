#include "gateway/gap_forecast.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::gateway {

namespace {

/// Prefill slowdown at an engine that decodes at the same time: half the speed.
constexpr double kConcurrentPrefillFactor = 2;
/// Fractions of the allowed gap: a predicted gap below the first is certainly on time, one above
/// the second certainly late. The rest is reserved for the network and for work that other nodes
/// send meanwhile.
constexpr double kOnTimeFraction = 0.75;
constexpr double kLateFraction = 0.95;
/// Share of late gaps below which an engine suits long streams. At 1%, a stream of 70 events stays
/// on time with a probability of 50%.
constexpr double kMaxTypicalLateShare = 0.01;
/// Steepness of the probability that a stream ends before its deadline, over the ratio of the time
/// left to the estimated time. At 3, half of the streams are longer than callers estimate and one
/// in nine is more than twice as long.
constexpr double kLengthSpreadExponent = 3;

double ratio(Duration part, Duration whole) {
  return to_seconds(part) / std::max(to_seconds(whole), 1e-9);
}

}  // namespace

Duration GapForecast::event_time(double pending_prefill_tokens) const {
  const Duration decode = engine_.profile.output_token * tokens_per_event_;
  const double prefill =
      kConcurrentPrefillFactor * pending_prefill_tokens * to_seconds(engine_.profile.prompt_token);
  return decode + from_seconds(prefill);
}

double GapForecast::typical_late_share(Duration event, Duration gap) const {
  return profiles_.share_slower_than(engine_.service, kLateFraction / ratio(event, gap), now_);
}

bool GapForecast::suits_long_streams(Duration gap) const {
  return typical_late_share(event_time(0), gap) < kMaxTypicalLateShare;
}

double GapForecast::late_gap_probability(Duration gap, double pending_prefill_tokens) const {
  const Duration event = event_time(pending_prefill_tokens);
  const double relative_event_time = engine_.pace.factor * ratio(event, gap);
  const double late_by_report = std::clamp(
      (relative_event_time - kOnTimeFraction) / (kLateFraction - kOnTimeFraction), 0.0, 1.0);
  const double weight = engine_.pace.weight;
  return weight * late_by_report + (1 - weight) * typical_late_share(event, gap);
}

double GapForecast::late_stream_probability(const StreamRequirements& needs,
                                            double pending_prefill_tokens) const {
  const double gaps = std::max(0.0, needs.expected_events - 1);
  const double at_first =
      std::min(1.0, gaps) * late_gap_probability(needs.target_gap, pending_prefill_tokens);
  const double later = 1 - std::pow(1 - typical_late_share(event_time(0), needs.target_gap), gaps);
  return 1 - (1 - at_first) * (1 - later);
}

double GapForecast::missed_deadline_probability(const StreamRequirements& needs) const {
  const double event = to_seconds(event_time(0));
  const double left = std::max(to_seconds(needs.time_left), 0.0);
  if (needs.max_events * event < left) {
    return 0;
  }
  const double expected = needs.expected_events * event;
  return 1 / (1 + std::pow(left / std::max(expected, 1e-9), kLengthSpreadExponent));
}

}  // namespace ochrespring::gateway
