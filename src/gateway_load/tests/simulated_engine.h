// An engine of a load test: the engine model on a local clock, whose rate follows the engine's
// speed and drops while the engine is slowed down.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "engine_model/engine_model.h"
#include "gateway/engine_profiles.h"
#include "gateway/load_table.h"
#include "gateway/types.h"

namespace ochrespring::gateway_load {

/// Nominal performance of an engine at speed 1 without a slowdown.
struct EnginePerformance {
  std::uint32_t slots = 6;
  Duration output_token{std::chrono::microseconds(650)};
  double prompt_tokens_per_ms = 397;  ///< Half as many on an engine that also decodes.
  std::uint32_t chunk_tokens = 512;
  std::uint32_t tokens_per_event = 75;
};

/// Runs the engine model in virtual time; all times in the interface are global.
class SimulatedEngine {
 public:
  /// `speed` is a factor on the nominal performance.
  SimulatedEngine(gateway::Backend backend, const EnginePerformance& performance, double speed);

  /// Makes work take `factor` times as long as usual from `now` on.
  void set_slowdown(double factor, MonotonicTime now);
  void submit(engine_model::SequenceSpec spec, MonotonicTime now);
  void cancel(engine_model::SequenceId sequence, MonotonicTime now);
  /// Exports the cache of a prefilled sequence; returns the time at which the transfer is complete.
  MonotonicTime export_cache(engine_model::SequenceId sequence, engine_model::Distance distance,
                             MonotonicTime now);
  /// Advances to `now` and returns the events since the last call.
  std::vector<engine_model::SequenceEvent> advance(MonotonicTime now);

  /// The load that the engine reports with a response.
  gateway::ReportedLoad report() const;
  /// The exact profile, without the number of long streams.
  gateway::EngineProfile profile() const;
  const gateway::Backend& backend() const { return backend_; }
  double speed() const { return speed_; }

 private:
  MonotonicTime to_local(MonotonicTime at) const;
  MonotonicTime from_local(MonotonicTime at) const;
  void collect(MonotonicTime now);

  gateway::Backend backend_;
  EnginePerformance performance_;
  double speed_;
  double slowdown_ = 1;
  MonotonicTime changed_at_{};       ///< Last change of the local clock's rate.
  MonotonicTime local_at_change_{};  ///< Local time at that change.
  engine_model::EngineModel model_;
  std::vector<engine_model::SequenceEvent> events_;  ///< Not returned yet; global times.
};

}  // namespace ochrespring::gateway_load
