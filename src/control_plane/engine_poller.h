// Asks model engines for their status and keeps the latest answers.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "base/ids.h"
#include "base/timer.h"
#include "engine/types.h"
#include "external/engine_control.h"
#include "fleet/types.h"

namespace ochrespring::control_plane {

/// What is known of one engine from its own answers.
struct EngineObservation {
  std::optional<engine::EngineStatus> status;  ///< Latest.
  MonotonicTime status_read;
  std::uint32_t failures = 0;  ///< Status calls in a row without an answer.
};

struct EnginePollerStatistics {
  std::uint64_t status_calls = 0;
  std::uint64_t status_failures = 0;
};

/// Polls every model engine of the document. Used on the control loop only.
class EnginePoller {
 public:
  EnginePoller(const Clock& clock, TimerService& timers, external::EngineControl& control,
               Duration interval);

  /// Polls the engines of this document from now on.
  void configure(const fleet::FleetDocument& document);
  /// Observation of an engine, or null if it is not polled.
  const EngineObservation* find(const EngineId& engine) const;
  const EnginePollerStatistics& statistics() const { return statistics_; }

 private:
  struct Polled {
    Endpoint endpoint;
    bool status_pending = false;
    EngineObservation observation;
  };

  void poll_all();
  void poll_status(const EngineId& id, Polled& polled);

  const Clock& clock_;
  external::EngineControl& control_;
  Duration interval_;
  std::map<EngineId, Polled> engines_;
  EnginePollerStatistics statistics_;
  Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::control_plane
