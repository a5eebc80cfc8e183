// Keeps the sends of all nodes to rate-limited back ends within the limits.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "base/random.h"
#include "base/timer.h"
#include "discovery/node_directory.h"
#include "gateway/fleet_state.h"
#include "gateway/send_gate.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "rate_limit/coordinator_selector.h"
#include "rate_limit/limit_table.h"
#include "rate_limit/permit_bucket.h"
#include "rate_limit/types.h"

namespace ochrespring::rate_limit {

struct RateLimiterStatistics {
  std::uint64_t permits_granted = 0;  ///< To this node's requests.
  std::uint64_t permits_denied = 0;   ///< To this node's requests.
  /// Permit requests without a reply in time. The send is denied, but not counted in
  /// `permits_denied`.
  std::uint64_t permits_unanswered = 0;
  std::uint64_t permits_issued = 0;     ///< By this node as a coordinator, to all nodes.
  std::uint64_t limit_changes = 0;      ///< Changed limits in answers to this node.
  std::uint64_t limits_unreadable = 0;  ///< Answers with a malformed limit.
};

/// One node of the fleet coordinates the sends to a rate-limited back end: it owns the back end's
/// token bucket, and each node requests a permit from it before each send. Nodes learn limits from
/// answers and from each other; each permit request and reply carries the sender's known limit. If
/// no coordinator answers, nothing is sent: it is better to answer late from another back end than
/// to overload this one.
///
/// Performs no input or output itself; must be used from one event loop.
class RateLimiter final {
 public:
  /// All references must outlive the limiter.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
    const discovery::NodeDirectory& nodes;
  };

  /// Sends the limiter's messages to other nodes; messages may be lost, duplicated or delayed.
  struct Channel {
    std::function<void(const LimitReport&)> broadcast;
    std::function<void(const Endpoint& to, const LimitReport&)> send;
    std::function<void(const Endpoint& to, const PermitRequest&)> send_request;
    std::function<void(const Endpoint& to, const PermitReply&)> send_reply;
  };

  RateLimiter(Dependencies deps, Channel channel);

  /// Returns whether the back end may have room for a request, as far as this node knows.
  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const {
    return time_to_room(backend, now) == Duration::zero();
  }
  /// Returns the time until has_room() may return true; zero if it does now.
  Duration time_to_room(const gateway::BackendId& backend, MonotonicTime now) const;
  /// Calls `visit` for each back end that has no room now.
  template <class Visit>
  void for_each_closed(MonotonicTime now, const Visit& visit) const {
    for (const auto& [backend, until] : blocked_until_) {
      if (until > now) {
        visit(backend);
      }
    }
  }
  /// Must be called before each send of any kind. `done` is called only after kPending.
  gateway::ClaimResult claim(const gateway::BackendId& backend, gateway::SendRank rank,
                             std::function<void(bool granted)> done);
  void note_answer(const RateAnswer& answer);

  void receive(const LimitReport& report);
  void receive(const PermitRequest& request);
  void receive(const PermitReply& reply);
  /// Sends all known limits to a node that has just started.
  void send_all(const std::function<void(const LimitReport&)>& send) const;
  /// Removes a back end that has terminated; its id is not used again.
  void forget(const gateway::BackendId& backend);

  const LimitTable& limits() const { return limits_; }
  const RateLimiterStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  /// A permit request that no coordinator has answered yet.
  struct PendingRequest {
    explicit PendingRequest(TimerService& timers) : timer(timers) {}

    PermitRequest request;
    NodeId coordinator;
    Endpoint coordinator_address;
    MonotonicTime first_sent{};
    std::function<void(bool granted)> done;
    Timer timer;
  };

  /// Requests a permit from this node's own bucket for the back end.
  PermitDecision decide_permit(const gateway::BackendId& backend, const NodeId& node,
                               gateway::SendRank rank, gateway::RequestRate limit);
  void send_request(std::uint64_t sequence);
  void on_unanswered(std::uint64_t sequence);
  void complete(std::uint64_t sequence, bool granted);
  /// Sends nothing to the back end for the given time.
  void block_sends(const gateway::BackendId& backend, Duration span);
  /// Merges a report and, if it changes the limit, updates the state that depends on it.
  void merge_report(const LimitReport& report, std::string_view source);
  void apply_change(const LimitReport& report, std::string_view source);
  /// Returns this node's latest report on the back end, or one without a limit and with version 0.
  LimitReport known_limit(const gateway::BackendId& backend) const;

  Dependencies deps_;
  Channel channel_;
  LimitTable limits_;
  CoordinatorSelector coordinators_;
  /// Of back ends that this node coordinates.
  std::map<gateway::BackendId, PermitBucket> buckets_;
  std::map<gateway::BackendId, MonotonicTime> blocked_until_;
  std::map<std::uint64_t, PendingRequest> pending_requests_;  ///< By sequence.
  std::uint64_t next_sequence_;
  RateLimiterStatistics statistics_;
};

}  // namespace ochrespring::rate_limit
