#include "gateway/engine_model.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::gateway {

namespace {

using std::chrono::seconds;

/// Before anything is known, an engine that only reads is taken to read a prompt in this part of
/// its objective, one that also runs streams in twice that, and a call to take this part besides.
constexpr double kPriorReadingShare = 0.4;
constexpr double kPriorRunnerFactor = 2;
constexpr double kPriorCallShare = 0.03;
/// Pauses of streams beside no reading, in parts of the longest in time; beside reading they are
/// taken to be as long as that.
constexpr double kPriorIdleGapShare = 0.25;
/// The pause beside reading grows with what there is to read, up to one that few pauses exceed: an
/// engine reads in pieces.
constexpr double kBusyGapShare = 0.9;
/// A link's rate without any in the configuration, in bits per millisecond.
constexpr double kPriorBitsPerMillisecond = 1e8;
constexpr double kBitsPerByte = 8;
/// How much longer a transfer between zones takes, by the platform's pages.
constexpr double kOtherZoneTransfer = 2;
/// Part of a new sample in an engine's own factor, and the time in which the factor halves.
constexpr double kSlownessGain = 0.15;
constexpr Duration kSlownessHalfLife = seconds(4);
/// A smaller factor is scatter.
constexpr double kLeastSlowness = 2;
/// An engine is never believed quicker than this, nor slower.
constexpr double kLeastLogFactor = -0.3;
constexpr double kMostLogFactor = 3.5;

double milliseconds_of(Duration span) {
  return Milliseconds(span).count();
}

double transfer_per_token(const EngineShape& shape) {
  const double bits = kBitsPerByte * static_cast<double>(shape.bytes_per_token);
  const double per_millisecond =
      shape.link_megabits > 0 ? shape.link_megabits * 1e3 : kPriorBitsPerMillisecond;
  return bits / per_millisecond;
}

LineEstimateOptions reading_prior(const TypicalPrompt& typical, double factor) {
  const double tokens = std::max(typical.tokens, 1.0);
  const double time = milliseconds_of(typical.time);
  return {.intercept = kPriorCallShare * time,
          .slope = factor * kPriorReadingShare * time / tokens,
          .typical_x = tokens};
}

}  // namespace

EngineModel::EngineModel(const EngineShape& shape, const TypicalPrompt& typical)
    : reader_(reading_prior(typical, 1)),
      runner_(reading_prior(typical, kPriorRunnerFactor)),
      hand_over_({.intercept = kPriorCallShare * milliseconds_of(typical.time),
                  .slope = std::max(transfer_per_token(shape), 1e-9),
                  .typical_x = std::max(typical.tokens, 1.0)}),
      transfer_per_token_(transfer_per_token(shape)),
      idle_gap_({.share = 0.5, .start = kPriorIdleGapShare * milliseconds_of(typical.gap)}),
      busy_gap_({.share = kBusyGapShare, .start = milliseconds_of(typical.gap)}) {}

LineEstimate& EngineModel::reading(EngineRole role) {
  return role == EngineRole::kPrefill ? reader_ : runner_;
}

const LineEstimate& EngineModel::reading(EngineRole role) const {
  return role == EngineRole::kPrefill ? reader_ : runner_;
}

Milliseconds EngineModel::reading_time(EngineRole role, double tokens) const {
  return Milliseconds(reading(role).slope() * tokens);
}

Milliseconds EngineModel::call_time(EngineRole role) const {
  return Milliseconds(reading(role).intercept());
}

Milliseconds EngineModel::hand_over_time(double tokens, bool same_zone) const {
  return Milliseconds(hand_over_.at(tokens * (same_zone ? 1 : kOtherZoneTransfer)));
}

Milliseconds EngineModel::fetch_time(double tokens) const {
  return tokens > 0 ? Milliseconds(transfer_per_token_ * tokens) : Milliseconds(0);
}

double EngineModel::slowness(const BackendId& engine, MonotonicTime now) const {
  const double factor = std::exp(log_factor(engine, now));
  return factor < kLeastSlowness ? 1 : factor;
}

double EngineModel::log_factor(const BackendId& engine, MonotonicTime now) const {
  const auto found = slowness_.find(engine);
  if (found == slowness_.end()) {
    return 0;
  }
  const double age = to_seconds(now - found->second.at) / to_seconds(kSlownessHalfLife);
  return found->second.log_factor * std::exp2(-age);
}

void EngineModel::note_reading(const Backend& engine, double tokens, Duration elapsed,
                               MonotonicTime now) {
  LineEstimate& line = reading(engine.role);
  const double taken = std::max(milliseconds_of(elapsed), 0.01);
  const double factor = std::log(taken / std::max(line.at(tokens), 0.01));
  Slowness& slow = slowness_[engine.id];
  const double before = log_factor(engine.id, now);
  slow.log_factor =
      std::clamp(before + kSlownessGain * (factor - before), kLeastLogFactor, kMostLogFactor);
  slow.at = now;
  line.note(tokens, taken / slowness(engine.id, now));
}

void EngineModel::note_hand_over(double tokens, bool same_zone, Duration elapsed) {
  hand_over_.note(tokens * (same_zone ? 1 : kOtherZoneTransfer), milliseconds_of(elapsed));
}

Milliseconds EngineModel::event_gap(double tokens) const {
  const double beside = idle_gap_.value() + reading_time(EngineRole::kDecode, tokens).count();
  return Milliseconds(std::min(beside, std::max(busy_gap_.value(), idle_gap_.value())));
}

void EngineModel::note_event_gap(Duration gap, bool reading) {
  (reading ? busy_gap_ : idle_gap_).note(milliseconds_of(gap));
}

EngineModel& EngineModels::of(const ServiceName& service, const EngineShape& shape,
                              const TypicalPrompt& typical) {
  return models_.try_emplace(service, shape, typical).first->second;
}

EngineModel* EngineModels::find(const ServiceName& service) {
  const auto found = models_.find(service);
  return found == models_.end() ? nullptr : &found->second;
}

void EngineModels::forget(const Backend& backend) {
  const auto found = models_.find(backend.service);
  if (found != models_.end()) {
    found->second.forget(backend.id);
  }
}

}  // namespace ochrespring::gateway
