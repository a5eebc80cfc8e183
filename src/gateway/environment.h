// Services and state that the requests of one gateway share.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
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
#include "gateway/held_answers.h"
#include "gateway/load_table.h"
#include "gateway/placement.h"
#include "gateway/request_guard.h"
#include "gateway/request_queue.h"
#include "gateway/retry_budget.h"
#include "gateway/run_inquiry.h"
#include "gateway/send_gate.h"
#include "gateway/share_picker.h"
#include "gateway/statistics.h"
#include "gateway/stream_registry.h"
#include "gateway/unanswered_sends.h"
#include "logging/logger.h"

namespace ochrespring::gateway {

/// The referenced objects must outlive the gateway. Used on one event loop.
struct Environment {
  const Clock& clock;
  TimerService& timers;
  BackendTransport& transport;
  const FleetState& fleet;
  LoadTable& loads;
  const Placement& placement;
  RetryBudget& budget;
  UnansweredSends& unanswered;
  SharePicker& shares;
  const HeaderNames& names;
  const EngineCalls& engine_calls;
  GatewayStatistics& statistics;
  logging::Logger& logger;
  /// Number of nodes believed to be running, including this one; at least 1.
  std::function<std::uint32_t()> node_count;
  /// Called when a request of a tenant is found to have started to run `ago` before now. May be
  /// empty.
  std::function<void(const TenantName& tenant, Duration ago)> note_run{};
  RequestGuard* guard = nullptr;             ///< Null: no quarantine.
  SendGate* gate = nullptr;                  ///< Null: rate limits and backoff are not enforced.
  RequestQueue* queue = nullptr;             ///< Null: requests do not queue for full back ends.
  EngineObserver* observer = nullptr;        ///< Null: engine speeds are not measured.
  const EngineProfiles* profiles = nullptr;  ///< Null: engine speeds are unknown.
  StreamRegistry* streams = nullptr;         ///< Null: no stream that a caller takes up is known.
  RunInquiry* runs = nullptr;                ///< Null: no run is ever known to have ended.
  /// Whether retryable streams are replicated as well.
  bool replicate_retryable_streams = false;
  std::shared_ptr<HeldAnswers> held_answers = std::make_shared<HeldAnswers>();
  /// When the process stops, even if requests are still running; none if no stop is scheduled.
  std::optional<MonotonicTime> shutdown_time{};
};

}  // namespace ochrespring::gateway
