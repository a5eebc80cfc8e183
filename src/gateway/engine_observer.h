// Observations of engine speed by this node's requests. EngineProfiles provides what is derived
// from them.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Gaps between consecutive events of one stream that were read from the engine without
/// interruption.
struct GapObservation {
  BackendId engine;
  std::uint32_t gaps = 0;  ///< Number of gaps.
  Duration took{};         ///< Total duration of the gaps.
};

/// One prompt that an engine has prefilled.
struct PrefillObservation {
  BackendId engine;
  /// From sending the request to the first event or to the end of a prefill call; includes the wait
  /// for a slot and the network.
  Duration took{};
  std::uint64_t tokens = 0;  ///< Prefilled for this request.
  std::uint64_t tokens_ahead =
      0;  ///< Pending prefill tokens of other prompts when the request was sent.
  bool includes_first_event = false;  ///< `took` includes the decoding of one event.
};

/// Receives observations, on the event loop of the requests. Observations of unregistered engines
/// are ignored.
class EngineObserver {
 public:
  virtual ~EngineObserver() = default;
  /// Returns the number of events of a stream with `tokens` output tokens; none: unknown.
  virtual std::optional<std::uint64_t> events_of(const BackendId& engine,
                                                 std::uint64_t tokens) const = 0;
  virtual void note_gaps(const GapObservation& observation, MonotonicTime now) = 0;
  virtual void note_prefill(const PrefillObservation& observation, MonotonicTime now) = 0;
  /// An engine has reported its pace: the duration of work in percent of normal, 250 if it
  /// takes 2.5 times as long.
  virtual void note_pace(const BackendId& engine, std::uint32_t percent, MonotonicTime now) = 0;
  /// Notes that a stream has become long: at least StreamObservation::kLongStreamEvents events
  /// are expected to remain. Each call is followed by one of end_long_stream().
  virtual void begin_long_stream(const BackendId& engine, MonotonicTime now) = 0;
  virtual void end_long_stream(const BackendId& engine, MonotonicTime now) = 0;
};

}  // namespace ochrespring::gateway
