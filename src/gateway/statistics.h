// Counters of one gateway.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace ochrespring::gateway {

/// Cumulative latency histogram as in Prometheus, with bounds in seconds.
class LatencyHistogram {
 public:
  static constexpr std::array<double, 10> kBounds{0.01, 0.025, 0.05, 0.1, 0.25,
                                                  0.5,  1.0,   2.5,  5.0, 10.0};
  void note(Duration latency) {
    const double seconds = to_seconds(latency);
    sum_ += seconds;
    ++count_;
    for (std::size_t i = 0; i != kBounds.size(); ++i) {
      if (seconds <= kBounds[i]) {
        ++counts_[i];
      }
    }
  }
  const std::array<std::uint64_t, 10>& counts() const { return counts_; }
  std::uint64_t count() const { return count_; }
  double sum() const { return sum_; }

 private:
  std::array<std::uint64_t, 10> counts_{};
  std::uint64_t count_ = 0;
  double sum_ = 0;
};

struct GatewayStatistics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;  ///< Ended with a complete answer of a back end, whatever its status.
  /// Complete answers with neither a length nor chunks, ended by the close of their connection.
  std::uint64_t answers_ended_by_close = 0;
  std::uint64_t refused = 0;  ///< Ended as not run.
  std::uint64_t unknown = 0;  ///< Ended without knowing whether it ran.
  std::uint64_t broken = 0;   ///< Streams aborted after their head was sent.
  /// Attempts whose back ends sent nothing for the progress timeout.
  std::uint64_t attempts_stalled = 0;
  /// Requests that ended before their deadline without a complete answer after an attempt stalled.
  std::uint64_t ended_after_stall = 0;
  std::uint64_t caller_gone = 0;
  /// Answers that were not held until they were whole, because too much was held of others.
  std::uint64_t answers_released_early = 0;
  std::uint64_t no_route = 0;  ///< Refused: no such route, or this node has no configuration.
  std::uint64_t unknown_key = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;  ///< Sends charged to the retry budget.
  std::uint64_t budget_denied = 0;
  std::uint64_t sends_unanswered = 0;  ///< Given up, though their back ends may still receive them.
  std::uint64_t cache_fetches = 0;     ///< Attempts that fetch shared parts of a cache.
  std::uint64_t quarantined = 0;       ///< Ended by the quarantine of the request.
  std::uint64_t rate_limited = 0;      ///< Ended because the rate limits of back ends were used up.
  std::uint64_t backing_off = 0;       ///< Ended because back ends had asked this node to back off.
  std::uint64_t withdrawn = 0;         ///< Sends cancelled by a backoff before connecting.
  /// Sends cancelled before connecting because the caller had disconnected.
  std::uint64_t sends_without_caller = 0;
  std::uint64_t streams_taken_up = 0;  ///< Requests that take up a stream.
  /// Of these, ended because it was not known for certain which software began the stream.
  std::uint64_t taken_up_unknown = 0;
  /// Of these, ended because no back end with that software was in service.
  std::uint64_t taken_up_unavailable = 0;
  std::uint64_t started_streams_retried = 0;  ///< Started streams retried after their last event.
  std::uint64_t streams_replicated = 0;       ///< Runs sent with a backup engine.
  std::uint64_t resume_attempts = 0;          ///< Attempts to resume a failed stream, sent or not.
  std::uint64_t resumes_completed = 0;        ///< Streams that their backup engine completed.
  std::uint64_t resumes_refused = 0;          ///< Resumes that the backup engine refused.
  std::uint64_t streams_not_resumed = 0;  ///< Failed replicated streams that could not be resumed.
  LatencyHistogram first_byte;            ///< From arrival to the first byte of the answer.
  LatencyHistogram read_delay;            ///< How long requests waited to be read.
};

}  // namespace ochrespring::gateway
