// Predicts at an engine how long the pauses between a stream's events are, and when it ends.
#pragma once

#include <cstdint>

#include "base/time.h"
#include "gateway/engine_profiles.h"
#include "gateway/load_table.h"

namespace ochrespring::gateway {

/// What a stream needs of the engine that runs it.
struct StreamRequirements {
  Duration target_gap{};    ///< Longest pause between its events in time.
  Duration shortest_gap{};  ///< The same of all streams of its service, which may run beside it.
  Duration time_left{};     ///< Until its deadline.
  std::uint32_t tokens_per_event = 0;  ///< At least 1.
  double expected_events = 0;
  double most_events = 0;
};

/// The pauses of one engine's streams. An event takes as long as its tokens do, plus the prompts
/// that the engine reads beside: an engine that generates reads at half the pace of one that does
/// nothing else, a piece in each step, and all of its streams wait for that piece. Disturbances
/// multiply both. Pure; refers to what it is made of.
class GapForecast {
 public:
  struct Engine {
    const ServiceName& service;
    EngineProfile profile;
    ReportedPace pace;  ///< As the engine told it last.
  };

  GapForecast(const EngineProfiles& profiles, const Engine& engine, std::uint32_t tokens_per_event,
              MonotonicTime now)
      : profiles_(profiles), engine_(engine), tokens_per_event_(tokens_per_event), now_(now) {}

  const EngineProfile& profile() const { return engine_.profile; }
  /// Probability, 0 to 1, that the next pause of a stream is longer than `gap` if the engine has
  /// so many prompt tokens to read.
  double late_gap_probability(Duration gap, double unread_tokens) const;
  /// Probability that one of the stream's pauses is too long.
  double late_stream(const StreamRequirements& needs, double unread_tokens) const;
  /// Probability that the stream does not end before its deadline.
  double unfinished_stream(const StreamRequirements& needs) const;
  /// Whether long streams with such a gap stay in time here, as far as engines are usually
  /// disturbed.
  bool suits_long_streams(Duration gap) const;
  /// From one event to the next, undisturbed.
  Duration event_time(double unread_tokens) const;

 private:
  /// Share of all time in which an event that usually takes `event` takes longer than `gap`.
  double usually_late(Duration event, Duration gap) const;

  const EngineProfiles& profiles_;
  Engine engine_;
  std::uint32_t tokens_per_event_;
  MonotonicTime now_;
};

}  // namespace ochrespring::gateway
