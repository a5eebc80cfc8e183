// The one place of a node that knows what back ends have said of what they take, and that says
// whether a request may be sent to them.
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
  std::uint64_t backoffs_received = 0;    ///< Answers that asked this node for a pause.
  std::uint64_t backoffs_unreadable = 0;  ///< Refusals whose time could not be read.
  std::uint64_t backoffs_reported = 0;    ///< Pauses that other nodes have told of.
  std::uint64_t departures_received = 0;  ///< Back ends that said so to this node first.
  std::uint64_t departures_reported = 0;  ///< Back ends that other nodes told of first.
};

/// Joins what closes a back end to this node: a pause that it has asked this node for, its leaving,
/// and its rate limit. Leaving is true for all nodes and told to them; so are pauses, but to others
/// a pause only makes the back end a worse choice, as a refusal of their own would: it was asked of
/// one node, and the others may have the room that this one has not.
///
/// Does no input or output itself; one loop.
class AdmissionControl final : public gateway::SendGate {
 public:
  /// References outlive it.
  struct Dependencies {
    const Clock& clock;
    RandomSource& random;
    logging::Logger& logger;
    gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    rate_limit::RateLimiter& rate_limiter;
  };

  /// `send_all` takes news for all other nodes, which may be lost, doubled or late.
  AdmissionControl(Dependencies dependencies, std::function<void(const BackendNotice&)> broadcast)
      : dependencies_(dependencies), broadcast_(std::move(broadcast)) {}

  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const override;
  gateway::ClaimResult claim(const gateway::BackendId& backend, gateway::SendRank rank,
                             std::function<void(bool granted)> done) override;
  bool is_paused(const gateway::BackendId& backend, MonotonicTime now) const override {
    return backoffs_.is_backing_off(backend, now);
  }
  bool may_send(const gateway::BackendId& backend, MonotonicTime now) const override;
  void note_send(const gateway::BackendId& backend, MonotonicTime now) override;
  std::optional<gateway::RoomForecast> forecast(const ServiceName& service,
                                                MonotonicTime now) const override;
  void note_answer(const gateway::BackendAnswer& answer) override;

  /// A life of a back end has come to be known.
  void note_backend_added(const gateway::BackendId& backend) {
    backoffs_.note_added(backend, dependencies_.clock.now());
  }
  void receive(const BackendNotice& notice);
  /// Tells a node that has just started all that is known.
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
