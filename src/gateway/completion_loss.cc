#include "gateway/completion_loss.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::gateway {

namespace {

/// How sharply chance rises around the bound: at half of it 0.05, at one and a half 0.95.
constexpr double kSteepness = 6;
/// Part of its worth that a late request loses.
constexpr double kLateLoss = 0.7;
/// A stream has many pauses, so that the longest in time has to be kept with room to spare.
constexpr double kGapShare = 0.8;
/// A bound that has passed, or all but, counts as this part of the objective.
constexpr double kLeastShare = 0.1;
/// Among plans that are all late the sooner is the better: loss for each objective's length.
constexpr double kLossPerObjective = 1.2;

}  // namespace

double chance_over(Milliseconds expected, Milliseconds allowed) {
  const double ratio = expected.count() / std::max(allowed.count(), 1e-6);
  return 1 / (1 + std::exp(-kSteepness * (std::min(ratio, 100.0) - 1)));
}

double expected_loss(Milliseconds expected, const ServiceObjective& objective) {
  const Milliseconds least = kLeastShare * Milliseconds(objective.target_latency);
  const Milliseconds until_late = std::max(Milliseconds(objective.until_late), least);
  const Milliseconds until_lost = std::max(Milliseconds(objective.until_lost), least);
  return kLateLoss * chance_over(expected, until_late) +
         (1 - kLateLoss) * chance_over(expected, until_lost) +
         kLossPerObjective * (expected / Milliseconds(objective.target_latency));
}

double expected_gap_loss(Milliseconds gap, const ServiceObjective& objective) {
  return kLateLoss * chance_over(gap, kGapShare * Milliseconds(objective.target_gap));
}

}  // namespace ochrespring::gateway
