// Keeps this node's sends to back ends that name a rate limit within what all nodes may send.
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
  std::uint64_t permits_granted = 0;     ///< To this node's requests.
  std::uint64_t permits_denied = 0;      ///< To this node's requests.
  std::uint64_t permits_unanswered = 0;  ///< No coordinator answered in time: taken for denied.
  std::uint64_t permits_issued = 0;      ///< By this node, to all.
  std::uint64_t limit_changes = 0;       ///< Changes of limits in answers to this node.
  std::uint64_t limits_unreadable = 0;   ///< Answers whose limit could not be read.
};

/// One node of the fleet coordinates the sends to a limited back end: it owns the back end's token
/// bucket, and each node asks it for leave (a permit) before each send. Nodes learn of limits from
/// answers and from each other; what nodes know goes with every request for a permit and every
/// reply. Where no coordinator answers, nothing is sent: a late answer elsewhere is better than a
/// server that is given more than it can take.
///
/// Does no input or output itself; one loop.
class RateLimiter final {
 public:
  /// References outlive it.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
    const discovery::NodeDirectory& nodes;
  };

  /// How the limiter's messages get to other nodes; they may be lost, doubled or late.
  struct Channel {
    std::function<void(const LimitReport&)> broadcast;
    std::function<void(const Endpoint& to, const LimitReport&)> send;
    std::function<void(const Endpoint& to, const PermitRequest&)> send_request;
    std::function<void(const Endpoint& to, const PermitReply&)> send_reply;
  };

  RateLimiter(Dependencies deps, Channel channel);

  /// Whether the back end may have room for a request, as far as this node knows.
  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const {
    return time_to_room(backend, now) == Duration::zero();
  }
  /// How long until has_room() may say so; zero: it does.
  Duration time_to_room(const gateway::BackendId& backend, MonotonicTime now) const;
  /// All back ends that have no room now.
  template <class Visit>
  void for_each_closed(MonotonicTime now, const Visit& visit) const {
    for (const auto& [backend, until] : closed_until_) {
      if (until > now) {
        visit(backend);
      }
    }
  }
  /// To be asked before each send, of whatever kind. `done` is called for kPending alone.
  gateway::ClaimResult claim(const gateway::BackendId& backend, gateway::SendRank rank,
                             std::function<void(bool granted)> done);
  void note_answer(const RateAnswer& answer);

  void receive(const LimitReport& report);
  void receive(const PermitRequest& request);
  void receive(const PermitReply& reply);
  /// Tells a node that has just started all that is known.
  void send_all(const std::function<void(const LimitReport&)>& send) const;
  /// The back end has gone; its id is not used again.
  void forget(const gateway::BackendId& backend);

  const LimitTable& limits() const { return limits_; }
  const RateLimiterStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  /// A request for a permit that no coordinator has answered yet.
  struct Claim {
    explicit Claim(TimerService& timers) : timer(timers) {}

    PermitRequest request;
    NodeId coordinator;
    Endpoint coordinator_address;
    MonotonicTime first_sent{};
    std::function<void(bool granted)> done;
    Timer timer;
  };

  PermitDecision issue(const gateway::BackendId& backend, const NodeId& node,
                       gateway::SendRank rank, gateway::RequestRate limit);
  void send_request(std::uint64_t sequence);
  void on_unanswered(std::uint64_t sequence);
  void complete(std::uint64_t sequence, bool granted);
  /// Nothing is sent to the back end for so long.
  void close(const gateway::BackendId& backend, Duration span);
  /// Where the news changes what is known, everything here follows it.
  void merge_report(const LimitReport& report, std::string_view source);
  void apply_change(const LimitReport& report, std::string_view source);
  LimitReport known(const gateway::BackendId& backend) const;

  Dependencies deps_;
  Channel channel_;
  LimitTable limits_;
  CoordinatorSelector coordinators_;
  std::map<gateway::BackendId, PermitBucket> buckets_;  ///< Of those that this node coordinates.
  std::map<gateway::BackendId, MonotonicTime> closed_until_;
  std::map<std::uint64_t, Claim> claims_;  ///< By sequence.
  std::uint64_t next_sequence_;
  RateLimiterStatistics statistics_;
};

}  // namespace ochrespring::rate_limit
