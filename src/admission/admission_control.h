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
  std::uint64_t backoffs_heard = 0;       ///< Answers that asked this node for a pause.
  std::uint64_t backoffs_unreadable = 0;  ///< Refusals whose time could not be read.
  std::uint64_t backoffs_told = 0;        ///< Pauses that other nodes have told of.
  std::uint64_t leavings_heard = 0;       ///< Back ends that said so to this node first.
  std::uint64_t leavings_told = 0;        ///< Back ends that other nodes told of first.
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
  struct World {
    const Clock& clock;
    RandomSource& random;
    logging::Logger& logger;
    gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    rate_limit::RateLimiter& rate_limiter;
  };

  /// `tell_all` takes news for all other nodes, which may be lost, doubled or late.
  AdmissionControl(World world, std::function<void(const BackendNotice&)> tell_all)
      : world_(world), tell_all_(std::move(tell_all)) {}

  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const override;
  gateway::ClaimResult claim(const gateway::BackendId& backend, gateway::SendRank rank,
                             std::function<void(bool granted)> done) override;
  bool is_backing_off(const gateway::BackendId& backend, MonotonicTime now) const override {
    return backoffs_.is_paused(backend, now);
  }
  bool may_send(const gateway::BackendId& backend, MonotonicTime now) const override;
  void note_send(const gateway::BackendId& backend, MonotonicTime now) override;
  std::optional<gateway::RoomForecast> forecast(const ServiceName& service,
                                                MonotonicTime now) const override;
  void note_answer(const gateway::BackendAnswer& answer) override;

  /// A life of a back end has come to be known.
  void note_known(const gateway::BackendId& backend) {
    backoffs_.note_known(backend, world_.clock.now());
  }
  void take(const BackendNotice& notice);
  /// Tells a node that has just started all that is known.
  void tell_all(const std::function<void(const BackendNotice&)>& send) const;

  const AdmissionStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  void note_backoff(const gateway::BackendId& backend, const gateway::BackoffStatement& backoff);
  void note_leaving(const gateway::BackendId& backend);
  void log(std::string_view message, const gateway::BackendId& backend, std::string_view source,
           Duration span) const;
  Duration spread(Duration span) const;

  World world_;
  std::function<void(const BackendNotice&)> tell_all_;
  BackoffTable backoffs_;
  AdmissionStatistics statistics_;
};

}  // namespace ochrespring::admission
