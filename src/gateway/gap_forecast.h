// Predicts the gaps between a stream's events at an engine, and when the stream ends.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "gateway/engine_profiles.h"
#include "gateway/load_table.h"

namespace ochrespring::gateway {

/// What a stream requires of the engine that runs it.
struct StreamRequirements {
  Duration target_gap{};      ///< Longest gap between events that is on time.
  Duration min_target_gap{};  ///< Smallest target gap of all streams of the service, which may run
                              ///< on the same engine.
  Duration time_left{};       ///< Time until the deadline.
  std::uint32_t tokens_per_event = 0;  ///< At least 1.
  double expected_events = 0;
  double max_events = 0;
};

/// Predicts the gaps between events of streams at one engine. The time per event is the decode time
/// of its tokens plus that of concurrent prefill: an engine that decodes prefills at half the speed
/// of one that does not, a chunk in each step, and all of its streams wait for that chunk.
/// Disturbances multiply both. Has no side effects; keeps references to `profiles` and the service
/// name.
class GapForecast {
 public:
  struct Engine {
    const ServiceName& service;
    EngineProfile profile;
    ReportedPace pace;  ///< From the engine's last load report.
  };

  GapForecast(const EngineProfiles& profiles, const Engine& engine, std::uint32_t tokens_per_event,
              MonotonicTime now)
      : profiles_(profiles), engine_(engine), tokens_per_event_(tokens_per_event), now_(now) {}

  const EngineProfile& profile() const { return engine_.profile; }
  /// Probability, 0 to 1, that the next gap of a stream is longer than `gap` while the engine has
  /// `pending_prefill_tokens` prompt tokens to prefill.
  double late_gap_probability(Duration gap, double pending_prefill_tokens) const;
  /// Probability that one of the stream's gaps exceeds its target.
  double late_stream_probability(const StreamRequirements& needs,
                                 double pending_prefill_tokens) const;
  /// Probability that the stream does not end before its deadline.
  double missed_deadline_probability(const StreamRequirements& needs) const;
  /// Whether long streams with this target gap stay on time at the engine under the typical
  /// disturbances of its service.
  bool suits_long_streams(Duration gap) const;
  /// Time from one event to the next without disturbances.
  Duration event_time(double pending_prefill_tokens) const;

 private:
  /// Share of recent time in which an event that normally takes `event` takes longer than `gap`.
  double typical_late_share(Duration event, Duration gap) const;

  const EngineProfiles& profiles_;
  Engine engine_;
  std::uint32_t tokens_per_event_;
  MonotonicTime now_;
};

}  // namespace ochrespring::gateway
