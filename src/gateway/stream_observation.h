// Observes the events of one stream for EngineObserver.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

#include "base/time.h"
#include "gateway/engine_observer.h"

namespace ochrespring::gateway {

/// Belongs to one attempt: the time between two attempts of a resumed stream is never observed.
/// Does nothing without an observer. One loop.
class StreamObservation {
 public:
  StreamObservation() = default;
  /// `expected_tokens`: of the whole output; none: not known. `events_before`: sent by attempts
  /// before this one.
  StreamObservation(EngineObserver* observer, BackendId engine,
                    std::optional<std::uint64_t> expected_tokens, std::uint64_t events_before);
  ~StreamObservation() { end(last_event_); }
  StreamObservation(const StreamObservation&) = delete;
  StreamObservation& operator=(const StreamObservation&) = delete;

  /// An event that the caller did not have before.
  void note_event(MonotonicTime now);
  /// The caller does not read: gaps are not the engine's from now on. Events that wait in buffers
  /// arrive at once when reading goes on, so the rest of the stream is not observed either.
  void note_not_read() { observes_gaps_ = false; }
  /// The attempt has ended.
  void end(MonotonicTime now);

 private:
  /// Streams with at least this many events to come are long.
  static constexpr std::uint64_t kLongStreamEvents = 4;
  /// Gaps that make one observation. Events are noted when this node's loop runs: on a node with
  /// 0.09 of a core it can be late by 90 ms, twice a typical gap, which single gaps would show.
  static constexpr std::uint32_t kGapsObserved = 8;

  EngineObserver* observer_ = nullptr;
  BackendId engine_;
  std::uint64_t events_to_come_ = 0;
  bool is_long_ = false;
  bool observes_gaps_ = true;
  std::uint32_t gaps_ = 0;  ///< Since `window_start_`.
  std::optional<MonotonicTime> window_start_;
  MonotonicTime last_event_{};
};

}  // namespace ochrespring::gateway
