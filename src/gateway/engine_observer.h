// What requests of this node observe of engines' speed; see EngineProfiles for what is made of it.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Consecutive events of one stream that were read from the engine without interruption.
struct GapObservation {
  BackendId engine;
  std::uint32_t gaps = 0;  ///< Between consecutive events.
  Duration took{};         ///< All of them together.
};

/// One prompt that an engine has prefilled.
struct PrefillObservation {
  BackendId engine;
  /// From sending the request to the first event or to the end of a prefill call, with the wait for
  /// a slot and the network.
  Duration took{};
  std::uint64_t tokens = 0;        ///< Prefilled for this request.
  std::uint64_t tokens_ahead = 0;  ///< Of other prompts, when the request was sent.
  bool with_first_event = false;   ///< `took` includes the decoding of one event.
};

/// Takes observations; called on the loop of the requests. Engines that are not registered are
/// ignored.
class EngineObserver {
 public:
  virtual ~EngineObserver() = default;
  /// Number of events of a stream with so many output tokens; none: not known.
  virtual std::optional<std::uint64_t> events_of(const BackendId& engine,
                                                 std::uint64_t tokens) const = 0;
  virtual void note_gaps(const GapObservation& observation, MonotonicTime now) = 0;
  virtual void note_prefill(const PrefillObservation& observation, MonotonicTime now) = 0;
  /// An engine has reported its pace, in percent of the usual time that work takes.
  virtual void note_pace(const BackendId& engine, std::uint32_t percent, MonotonicTime now) = 0;
  /// A stream has many events to come; each call is matched by one of end_long_stream().
  virtual void begin_long_stream(const BackendId& engine, MonotonicTime now) = 0;
  virtual void end_long_stream(const BackendId& engine, MonotonicTime now) = 0;
};

}  // namespace ochrespring::gateway
