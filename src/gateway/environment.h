// What the requests of one gateway share.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "gateway/backend_transport.h"
#include "gateway/engine_calls.h"
#include "gateway/engine_observer.h"
#include "gateway/engine_profiles.h"
#include "gateway/fleet_state.h"
#include "gateway/header_names.h"
#include "gateway/load_table.h"
#include "gateway/placement.h"
#include "gateway/request_guard.h"
#include "gateway/request_queue.h"
#include "gateway/retry_budget.h"
#include "gateway/send_gate.h"
#include "gateway/share_picker.h"
#include "gateway/statistics.h"
#include "logging/logger.h"

namespace ochrespring::gateway {

/// References outlive the gateway; one loop.
struct Environment {
  const Clock& clock;
  TimerService& timers;
  BackendTransport& transport;
  const FleetState& fleet;
  LoadTable& loads;
  const Placement& placement;
  RetryBudget& budget;
  SharePicker& shares;
  const HeaderNames& names;
  const EngineCalls& engines;
  GatewayStatistics& statistics;
  logging::Logger& logger;
  /// Nodes believed to take part, this one included; at least 1.
  std::function<std::uint32_t()> node_count;
  /// Called when a request of a tenant is seen to have begun to run, that long ago; may be empty.
  std::function<void(const TenantName& tenant, Duration ago)> note_run{};
  RequestGuard* guard = nullptr;  ///< Null: requests that end back ends are not kept from others.
  SendGate* gate = nullptr;       ///< Null: what back ends ask for is not kept to.
  RequestQueue* queue = nullptr;  ///< Null: no request waits for full back ends.
  EngineObserver* observer = nullptr;        ///< Null: nothing is learned of engines' speed.
  const EngineProfiles* profiles = nullptr;  ///< Null: nothing is known of how fast engines work.
  /// Whether streams that their routes let be sent anew are replicated, too.
  bool replicates_resumable = false;
  /// The process ends then, whatever runs; none: not before long.
  std::optional<MonotonicTime> ends_at{};
};

}  // namespace ochrespring::gateway
