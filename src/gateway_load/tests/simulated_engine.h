// An engine of a load test: the engine model on a clock of its own, which runs at the engine's
// speed and slower while the engine is slowed down.
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

/// Nominal performance of an engine; all times are those of undisturbed work at speed 1.
struct EnginePerformance {
  std::uint32_t slots = 6;
  Duration output_token{std::chrono::microseconds(650)};
  double prompt_tokens_per_ms = 397;  ///< Half of it on an engine that also decodes.
  std::uint32_t chunk_tokens = 512;
  std::uint32_t tokens_per_event = 75;
};

class SimulatedEngine {
 public:
  /// `speed`: how many times as fast as nominal.
  SimulatedEngine(gateway::Backend backend, const EnginePerformance& performance, double speed);

  /// From `now` on work takes `pace` times as long as usual.
  void set_pace(double pace, MonotonicTime now);
  void submit(engine_model::SequenceSpec spec, MonotonicTime now);
  void cancel(engine_model::SequenceId sequence, MonotonicTime now);
  /// Sends a prefilled sequence's cache away; returns when it has arrived.
  MonotonicTime export_cache(engine_model::SequenceId sequence, engine_model::Distance distance,
                             MonotonicTime now);
  /// What has happened since the last call.
  std::vector<engine_model::SequenceEvent> advance(MonotonicTime now);

  /// Load as the engine names it on an answer.
  gateway::ReportedLoad report() const;
  /// The true values, but for the long streams.
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
  double pace_ = 1;
  MonotonicTime changed_at_{};  ///< When the rate of the local clock changed last...
  MonotonicTime local_then_{};  ///< ...and what it showed.
  engine_model::EngineModel model_;
  std::vector<engine_model::SequenceEvent> events_;  ///< Not taken yet; times are global.
};

}  // namespace ochrespring::gateway_load
