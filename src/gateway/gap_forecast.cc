#include "gateway/gap_forecast.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::gateway {

namespace {

/// An engine that generates reads prompts at half the pace.
constexpr double kReadingBeside = 2;
/// A predicted pause is taken for in time up to the first part of the allowed one and for late from
/// the second: the rest is for the network, and for what others send meanwhile.
constexpr double kSurelyInTime = 0.75;
constexpr double kSurelyLate = 0.95;
/// Of pauses; a stream of 70 events has one in two chances to be in time then.
constexpr double kRarelyLate = 0.01;
/// How fast the chance of a stream to end in time rises with the time that it has, beside the
/// time that callers' estimates let expect: half of the streams are longer than estimated, one in
/// nine more than twice as long.
constexpr double kEstimateSpread = 3;

double to_share(Duration part, Duration whole) {
  return to_seconds(part) / std::max(to_seconds(whole), 1e-9);
}

}  // namespace

Duration GapForecast::event_time(double unread_tokens) const {
  const Duration generating = engine_.profile.output_token * tokens_per_event_;
  const double reading = kReadingBeside * unread_tokens * to_seconds(engine_.profile.prompt_token);
  return generating + from_seconds(reading);
}

double GapForecast::usually_late(Duration event, Duration gap) const {
  return profiles_.share_slower_than(engine_.service, kSurelyLate / to_share(event, gap), now_);
}

bool GapForecast::suits_long_streams(Duration gap) const {
  return usually_late(event_time(0), gap) < kRarelyLate;
}

double GapForecast::late_gap_probability(Duration gap, double unread_tokens) const {
  const Duration event = event_time(unread_tokens);
  const double now = engine_.pace.factor * to_share(event, gap);
  const double late_now =
      std::clamp((now - kSurelyInTime) / (kSurelyLate - kSurelyInTime), 0.0, 1.0);
  const double weight = engine_.pace.weight;
  return weight * late_now + (1 - weight) * usually_late(event, gap);
}

double GapForecast::late_stream(const StreamRequirements& needs, double unread_tokens) const {
  const double pauses = std::max(0.0, needs.expected_events - 1);
  const double at_first =
      std::min(1.0, pauses) * late_gap_probability(needs.target_gap, unread_tokens);
  const double later = 1 - std::pow(1 - usually_late(event_time(0), needs.target_gap), pauses);
  return 1 - (1 - at_first) * (1 - later);
}

double GapForecast::unfinished_stream(const StreamRequirements& needs) const {
  const double event = to_seconds(event_time(0));
  const double left = std::max(to_seconds(needs.time_left), 0.0);
  if (needs.most_events * event < left) {
    return 0;
  }
  const double expected = needs.expected_events * event;
  return 1 / (1 + std::pow(left / std::max(expected, 1e-9), kEstimateSpread));
}

}  // namespace ochrespring::gateway
