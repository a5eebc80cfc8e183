#include "gateway/share_picker.h"

namespace ochrespring::gateway {

namespace {

/// Fractional part of the golden ratio: its multiples modulo 1 are spread most evenly over the unit
/// interval.
constexpr double kGoldenRatioFraction = 0.6180339887498949;

}  // namespace

const ServiceName& SharePicker::pick(const Route& route) {
  double total = 0;
  for (const TrafficShare& share : route.shares) {
    total += share.weight;
  }
  const auto [position, added] = positions_.try_emplace(route.name, 0.0);
  position->second =
      std::fmod(added ? random_.unit() : position->second + kGoldenRatioFraction, 1.0);
  double left = position->second * total;
  for (const TrafficShare& share : route.shares) {
    left -= share.weight;
    if (left < 0) {
      return share.service;
    }
  }
  return route.shares.back().service;
}

}  // namespace ochrespring::gateway
