// How quick a service's engines are, learned from this node's own attempts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"
#include "gateway/line_estimate.h"
#include "gateway/quantile_estimate.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// A prompt and the time in which it should be served: an operator's engines are made for it.
struct TypicalPrompt {
  double tokens = 4'000;
  Duration time{std::chrono::milliseconds(100)};
  Duration gap{std::chrono::milliseconds(100)};  ///< Longest between two events in time.
};

/// What one service's engines take for their work. Starts from what the objective of the
/// first prompt suggests, and forgets that within some requests. The pace is learned for all
/// engines of a role together; one that is slower than the rest is told by its own factor, which
/// fades, so that it is tried again. Pure; one loop.
class EngineModel {
 public:
  EngineModel(const EngineShape& shape, const TypicalPrompt& typical);

  /// Time in which an engine of the role reads so many tokens.
  Milliseconds reading_time(EngineRole role, double tokens) const;
  /// What a first event, or an answered prefill call, takes besides reading.
  Milliseconds call_time(EngineRole role) const;
  /// Time in which a cache of so many tokens is handed to another engine and its run has begun.
  Milliseconds hand_over_time(double tokens, bool same_zone) const;
  /// Time in which so many tokens come from another engine's cache.
  Milliseconds fetch_time(double tokens) const;
  /// Pause between two events of a stream at a running engine that has so many tokens to read
  /// meanwhile.
  Milliseconds event_gap(double tokens) const;
  /// How many times longer than the others this engine takes.
  double slowness(const BackendId& engine, MonotonicTime now) const;

  /// An engine has read `tokens`, those queued before included, `elapsed` after it was asked.
  void note_reading(const Backend& engine, double tokens, Duration elapsed, MonotonicTime now);
  /// A run has begun from a cache of `tokens`, `elapsed` after it was asked for.
  void note_hand_over(double tokens, bool same_zone, Duration elapsed);
  /// Two events of a stream came this far apart, and whether the engine reads prompts now.
  void note_event_gap(Duration gap, bool reading);
  void forget(const BackendId& engine) { slowness_.erase(engine); }

 private:
  struct Slowness {
    double log_factor = 0;
    MonotonicTime at{};
  };

  double log_factor(const BackendId& engine, MonotonicTime now) const;
  LineEstimate& reading(EngineRole role);
  const LineEstimate& reading(EngineRole role) const;

  LineEstimate reader_;
  LineEstimate runner_;
  LineEstimate hand_over_;
  double transfer_per_token_;  ///< Milliseconds, by the link's rate.
  QuantileEstimate idle_gap_;  ///< Milliseconds between events, at engines that read nothing.
  QuantileEstimate busy_gap_;  ///< The same at engines that read.
  std::map<BackendId, Slowness> slowness_;
};

/// The models of all services; made as they are first asked for.
class EngineModels {
 public:
  /// `typical` counts only for the first call.
  EngineModel& of(const ServiceName& service, const EngineShape& shape,
                  const TypicalPrompt& typical);
  /// Null: nothing has been asked of the service.
  EngineModel* find(const ServiceName& service);
  void forget(const Backend& backend);

 private:
  std::map<ServiceName, EngineModel> models_;
};

}  // namespace ochrespring::gateway
