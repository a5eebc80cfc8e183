// Measured speed and load of engines, for predictions.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// Profile of one incarnation of an engine. Times are for undisturbed work and have to be
/// multiplied by the reported pace, the current duration of work relative to normal
/// (ReportedLoad::pace_percent).
struct EngineProfile {
  /// Time between two output tokens of a stream while the engine prefills no prompt.
  Duration output_token{};
  /// Prefill time per prompt token while the engine does nothing else; zero: unknown.
  Duration prompt_token{};
  /// Streams of all nodes at the engine that have many remaining events.
  std::uint32_t long_streams = 0;
};

/// Provides engine profiles. Calls do no I/O; used from one event loop.
class EngineProfiles {
 public:
  virtual ~EngineProfiles() = default;
  /// Returns the profile of an engine, or the median of its service if the engine has no
  /// measurements; none: no engine of the service has any.
  virtual std::optional<EngineProfile> find(const Backend& engine, MonotonicTime now) const = 0;
  /// Returns the median profile of the service's engines, without streams; none: no engine has
  /// measurements.
  virtual std::optional<EngineProfile> usual(const ServiceName& service,
                                             MonotonicTime now) const = 0;
  /// Share of recent time, 0 to 1, in which work at engines of the service took more than `factor`
  /// times its normal duration.
  virtual double share_slower_than(const ServiceName& service, double factor,
                                   MonotonicTime now) const = 0;
};

}  // namespace ochrespring::gateway
