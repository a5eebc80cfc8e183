// What is known of how fast engines work and what they hold, for predictions.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// One life of an engine. Times are those of undisturbed work: its own pace figure
/// (ReportedLoad::pace_percent) multiplies them.
struct EngineProfile {
  /// Between two output tokens of a stream while no prompt is read beside it.
  Duration output_token{};
  /// For each prompt token that an engine reads while it does nothing else; zero: not known.
  Duration prompt_token{};
  /// Streams of all nodes at the engine that still have many events to come.
  std::uint32_t long_streams = 0;
};

/// Answers from memory; one loop.
class EngineProfiles {
 public:
  virtual ~EngineProfiles() = default;
  /// An engine that nothing is known of has the median of its service; none: nothing is known of
  /// any.
  virtual std::optional<EngineProfile> find(const Backend& engine, MonotonicTime now) const = 0;
  /// The median of the service's engines; none: nothing is known of any. Without streams.
  virtual std::optional<EngineProfile> usual(const ServiceName& service,
                                             MonotonicTime now) const = 0;
  /// Share of recent time, 0 to 1, in which engines of the service took longer than `factor` times
  /// as long as usual.
  virtual double share_slower_than(const ServiceName& service, double factor,
                                   MonotonicTime now) const = 0;
};

}  // namespace ochrespring::gateway
