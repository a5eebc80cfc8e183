// Decides whether requests may be sent to a back end, from what the back end has announced.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include "admission/backoff_table.h"
#include "admission/types.h"
#include "base/random.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/send_gate.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "rate_limit/rate_limiter.h"

namespace ochrespring::admission {

struct AdmissionStatistics {
  std::uint64_t backoffs_received = 0;    ///< Answers that asked this node to back off.
  std::uint64_t backoffs_unreadable = 0;  ///< Refusals whose backoff period could not be parsed.
  std::uint64_t backoffs_reported = 0;    ///< Backoffs reported by other nodes.
  /// Back ends that announced to this node first that they are leaving.
  std::uint64_t leaving_received = 0;
  std::uint64_t leaving_reported = 0;  ///< Back ends first reported as leaving by another node.
};

/// Combines the reasons for which this node must not send requests to a back end: it has asked this
/// node to back off, it is leaving, or its rate limit is reached.
///
/// Other nodes are notified of both leaving and backoffs. Leaving applies to all nodes. A backoff
/// applies only to the node that was asked, since the back end may have room for other nodes; for
/// them, as a refusal of their own requests would, it only makes the back end a less preferred
/// choice.
///
/// Performs no I/O itself. Not thread-safe; used on one event loop.
class AdmissionControl final : public gateway::SendGate {
 public:
  /// The referenced objects must outlive the AdmissionControl.
  struct Dependencies {
    const Clock& clock;
    RandomSource& random;
    logging::Logger& logger;
    gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    rate_limit::RateLimiter& rate_limiter;
  };

  /// `broadcast` sends a notice to all other nodes; notices may be lost, duplicated or delayed.
  AdmissionControl(Dependencies dependencies, std::function<void(const BackendNotice&)> broadcast)
      : dependencies_(dependencies), broadcast_(std::move(broadcast)) {}

  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const override;
  gateway::ClaimResult claim(const gateway::BackendId& backend, gateway::SendRank rank,
                             std::function<void(bool granted)> done) override;
  bool is_backing_off(const gateway::BackendId& backend, MonotonicTime now) const override {
    return backoffs_.is_backing_off(backend, now);
  }
  bool may_send(const gateway::BackendId& backend, MonotonicTime now) const override;
  void note_send(const gateway::BackendId& backend, MonotonicTime now) override;
  std::optional<gateway::RoomForecast> forecast(const ServiceName& service,
                                                MonotonicTime now) const override;
  void note_answer(const gateway::BackendAnswer& answer) override;

  /// Called when an incarnation of a back end was added to the fleet view.
  void note_backend_added(const gateway::BackendId& backend) {
    backoffs_.note_added(backend, dependencies_.clock.now());
  }
  void receive(const BackendNotice& notice);
  /// Sends all notices that are in force, for a node that has just started.
  void send_all(const std::function<void(const BackendNotice&)>& send) const;

  const AdmissionStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  void note_backoff(const gateway::BackendId& backend, const gateway::BackoffStatement& backoff);
  void note_leaving(const gateway::BackendId& backend);
  void log(std::string_view message, const gateway::BackendId& backend, std::string_view source,
           Duration span) const;
  Duration jitter(Duration span) const;

  Dependencies dependencies_;
  std::function<void(const BackendNotice&)> broadcast_;
  BackoffTable backoffs_;
  AdmissionStatistics statistics_;
};

}  // namespace ochrespring::admission
