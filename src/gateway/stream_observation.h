// Observes the events of one stream for EngineObserver.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"
#include "gateway/engine_observer.h"

namespace ochrespring::gateway {

/// Belongs to one attempt, so that the time between two attempts of a stream is never observed.
/// Does nothing without an observer. Used on one event loop.
class StreamObservation {
 public:
  StreamObservation() = default;
  /// `expected_tokens` is the size of the whole output, none if unknown. `events_before` is the
  /// number of events that earlier attempts have sent.
  StreamObservation(EngineObserver* observer, BackendId engine,
                    std::optional<std::uint64_t> expected_tokens, std::uint64_t events_before);
  ~StreamObservation() { end(last_event_); }
  StreamObservation(const StreamObservation&) = delete;
  StreamObservation& operator=(const StreamObservation&) = delete;

  /// Records an event that the caller did not have before.
  void note_event(MonotonicTime now);
  /// Called when the caller does not read. From then on gaps are not caused by the engine, and
  /// buffered events arrive together when reading continues, so gaps are not observed for the rest
  /// of the stream.
  void note_reading_stopped() { observes_gaps_ = false; }
  /// Called when the attempt has ended.
  void end(MonotonicTime now);

 private:
  /// A stream is reported to the observer as long while at least this many events are expected.
  static constexpr std::uint64_t kMinLongStreamEvents = 4;
  /// Number of gaps averaged in one observation. Events are recorded when this node's event loop
  /// runs, which is up to 90 ms late on a node with 0.09 of a core. That is twice a typical gap and
  /// would distort single gaps.
  static constexpr std::uint32_t kGapsPerObservation = 8;

  EngineObserver* observer_ = nullptr;
  BackendId engine_;
  std::uint64_t events_to_come_ = 0;
  bool is_long_ = false;
  bool observes_gaps_ = true;
  std::uint32_t gaps_ = 0;  ///< Gaps since `window_start_`.
  std::optional<MonotonicTime> window_start_;
  MonotonicTime last_event_{};
};

}  // namespace ochrespring::gateway
