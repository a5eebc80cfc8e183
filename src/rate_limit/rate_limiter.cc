#include "rate_limit/rate_limiter.h"

#include <algorithm>
#include <string>
#include <utility>

#include "metrics/counter_table.h"

namespace ochrespring::rate_limit {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "rate_limit";
/// A permit request is sent again after this time, in case a datagram was lost: a round trip
/// between zones takes about 10 ms.
constexpr Duration kRetryDelay = milliseconds(50);
/// A permit request without a reply counts as denied after this time, and the request tries another
/// back end. A later grant is ignored: used together with the tokens that the coordinator's bucket
/// has received since, it could exceed the limit.
constexpr Duration kPermitTimeout = milliseconds(150);
/// How long nothing is sent to a back end whose coordinator does not answer.
constexpr Duration kUnansweredBlockTime = milliseconds(250);
/// The wait that a coordinator returns for a back end that is not registered at it.
constexpr Duration kUnknownBackendWait = milliseconds(250);
/// Bounds on the wait that a coordinator returns.
constexpr Duration kMinWait = milliseconds(10);
constexpr Duration kMaxWait = std::chrono::seconds(10);

constexpr metrics::CounterRow<RateLimiterStatistics> kCounters[] = {
    {"rate_permits_granted", "Permits granted to this node for sends to rate-limited back ends",
     &RateLimiterStatistics::permits_granted},
    {"rate_permits_denied", "Permits denied to this node for sends to rate-limited back ends",
     &RateLimiterStatistics::permits_denied},
    {"rate_permits_unanswered", "Permit requests that no coordinator answered in time",
     &RateLimiterStatistics::permits_unanswered},
    {"rate_permits_issued", "Permits that this node has granted to all nodes as a coordinator",
     &RateLimiterStatistics::permits_issued},
    {"rate_limits_heard", "Changed rate limits in answers of back ends",
     &RateLimiterStatistics::limit_changes},
    {"rate_limits_unreadable", "Answers with a malformed rate limit",
     &RateLimiterStatistics::limits_unreadable},
};

}  // namespace

RateLimiter::RateLimiter(Dependencies deps, Channel channel)
    : deps_(deps),
      channel_(std::move(channel)),
      coordinators_(deps.nodes),
      next_sequence_(deps.random.next()) {}

Duration RateLimiter::time_to_room(const gateway::BackendId& backend, MonotonicTime now) const {
  const auto blocked = blocked_until_.find(backend);
  return blocked == blocked_until_.end() ? Duration::zero()
                                         : std::max(Duration::zero(), blocked->second - now);
}

gateway::ClaimResult RateLimiter::claim(const gateway::BackendId& backend, gateway::SendRank rank,
                                        std::function<void(bool granted)> done) {
  const auto limit = limits_.limit_of(backend);
  if (!limit) {
    return gateway::ClaimResult::kGranted;
  }
  const MonotonicTime now = deps_.clock.now();
  const discovery::NodeRecord* coordinator = coordinators_.select(backend, now);
  if (coordinator == nullptr) {
    const PermitDecision decision = decide_permit(backend, deps_.nodes.self().node, rank, *limit);
    ++(decision.granted ? statistics_.permits_granted : statistics_.permits_denied);
    if (!decision.granted) {
      block_sends(backend, decision.wait);
    }
    return decision.granted ? gateway::ClaimResult::kGranted : gateway::ClaimResult::kDenied;
  }
  const std::uint64_t sequence = next_sequence_++;
  PendingRequest& pending = pending_requests_.try_emplace(sequence, deps_.timers).first->second;
  pending.request = {.node = deps_.nodes.self().node,
                     .reply_to = deps_.nodes.self().peer_address,
                     .sequence = sequence,
                     .rank = rank,
                     .known = known_limit(backend)};
  pending.coordinator = coordinator->node;
  pending.coordinator_address = coordinator->peer_address;
  pending.first_sent = now;
  pending.done = std::move(done);
  send_request(sequence);
  return gateway::ClaimResult::kPending;
}

void RateLimiter::send_request(std::uint64_t sequence) {
  PendingRequest& pending = pending_requests_.at(sequence);
  channel_.send_request(pending.coordinator_address, pending.request);
  const Duration passed = deps_.clock.now() - pending.first_sent;
  if (passed < kRetryDelay) {
    pending.timer.arm(kRetryDelay, [this, sequence] { send_request(sequence); });
  } else {
    pending.timer.arm(std::max(kPermitTimeout - passed, Duration::zero()),
                      [this, sequence] { on_unanswered(sequence); });
  }
}

void RateLimiter::on_unanswered(std::uint64_t sequence) {
  const PendingRequest& pending = pending_requests_.at(sequence);
  ++statistics_.permits_unanswered;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "coordinator of a rate limit does not answer",
                      {{"backend", pending.request.known.backend.value()},
                       {"coordinator", pending.coordinator.value()}}});
  coordinators_.note_unanswered(pending.coordinator, deps_.clock.now());
  block_sends(pending.request.known.backend, kUnansweredBlockTime);
  complete(sequence, false);
}

void RateLimiter::complete(std::uint64_t sequence, bool granted) {
  auto pending = pending_requests_.extract(sequence);
  pending.mapped().timer.disarm();
  pending.mapped().done(granted);
}

void RateLimiter::block_sends(const gateway::BackendId& backend, Duration span) {
  MonotonicTime& until = blocked_until_[backend];
  until = std::max(until, deps_.clock.now() + span);
}

PermitDecision RateLimiter::decide_permit(const gateway::BackendId& backend, const NodeId& node,
                                          gateway::SendRank rank, gateway::RequestRate limit) {
  const MonotonicTime now = deps_.clock.now();
  PermitBucket& bucket = buckets_.try_emplace(backend, limit, now).first->second;
  bucket.set_limit(limit, now);
  const PermitDecision decision = bucket.request_permit(node, rank, now);
  statistics_.permits_issued += decision.granted ? 1 : 0;
  return decision;
}

void RateLimiter::receive(const PermitRequest& request) {
  const gateway::BackendId& backend = request.known.backend;
  merge_report(request.known, "node");
  PermitDecision decision{.granted = true, .wait = {}};
  if (const auto limit = limits_.limit_of(backend)) {
    decision = decide_permit(backend, request.node, request.rank, *limit);
  } else if (deps_.fleet.find(backend) == nullptr) {
    // The back end is not registered here: either this node has not learned of it yet, or the
    // requester has not yet learned that it terminated.
    decision = {.granted = false, .wait = kUnknownBackendWait};
  }
  channel_.send_reply(request.reply_to, {.node = deps_.nodes.self().node,
                                         .sequence = request.sequence,
                                         .granted = decision.granted,
                                         .wait = decision.wait,
                                         .known = known_limit(backend)});
}

void RateLimiter::receive(const PermitReply& reply) {
  coordinators_.note_answered(reply.node);
  const auto found = pending_requests_.find(reply.sequence);
  if (found == pending_requests_.end() ||
      found->second.request.known.backend != reply.known.backend) {
    return;
  }
  const gateway::BackendId backend = reply.known.backend;
  merge_report(reply.known, "coordinator");
  const bool unlimited = !limits_.limit_of(backend);
  const bool in_time = deps_.clock.now() - found->second.first_sent <= kPermitTimeout;
  const bool granted = unlimited || (reply.granted && in_time);
  ++(granted ? statistics_.permits_granted : statistics_.permits_denied);
  if (!granted) {
    block_sends(backend, std::clamp(reply.wait, kMinWait, kMaxWait));
  }
  complete(reply.sequence, granted);
}

void RateLimiter::receive(const LimitReport& report) {
  merge_report(report, "node");
}

void RateLimiter::merge_report(const LimitReport& report, std::string_view source) {
  // A limit of a back end that has terminated or is not yet known would never be removed.
  const bool known = deps_.fleet.find(report.backend) != nullptr;
  if (known && limits_.merge(report, deps_.clock.now())) {
    apply_change(report, source);
  }
}

void RateLimiter::note_answer(const RateAnswer& answer) {
  if (answer.statement.kind == gateway::RateStatement::Kind::kMalformed) {
    ++statistics_.limits_unreadable;
    deps_.logger.write({logging::Level::kWarning,
                        kComponent,
                        "malformed rate limit",
                        {{"backend", answer.backend.value()}, {"value", answer.statement.text}}});
    return;
  }
  if (deps_.fleet.find(answer.backend) == nullptr) {
    return;
  }
  const bool was_limited = limits_.limit_of(answer.backend).has_value();
  const auto report = limits_.note_answer(answer, deps_.clock.now());
  if (!report) {
    return;
  }
  ++statistics_.limit_changes;
  apply_change(*report, "answer");
  if (report->limited != was_limited) {
    channel_.broadcast(*report);
  } else if (const auto* coordinator = coordinators_.select(report->backend, deps_.clock.now())) {
    // All nodes already know that there is a limit; only the coordinator needs the rate.
    channel_.send(coordinator->peer_address, *report);
  }
}

void RateLimiter::apply_change(const LimitReport& report, std::string_view source) {
  const std::string_view message = report.limited ? "rate limit changed" : "rate limit ended";
  deps_.logger.write({logging::Level::kInfo,
                      kComponent,
                      std::string(message),
                      {{"backend", report.backend.value()},
                       {"source", std::string(source)},
                       {"thousandths_per_second", report.rate.thousandths},
                       {"version", report.version}}});
  const auto bucket = buckets_.find(report.backend);
  if (!report.limited) {
    blocked_until_.erase(report.backend);
    buckets_.erase(report.backend);
  } else if (bucket != buckets_.end()) {
    bucket->second.set_limit(report.rate, deps_.clock.now());
  }
}

LimitReport RateLimiter::known_limit(const gateway::BackendId& backend) const {
  const LimitReport* report = limits_.find(backend);
  return report != nullptr
             ? *report
             : LimitReport{.backend = backend, .limited = false, .rate = {}, .version = 0};
}

void RateLimiter::send_all(const std::function<void(const LimitReport&)>& send) const {
  limits_.for_each([&](const LimitReport& report) {
    if (report.limited) {
      send(report);
    }
  });
}

void RateLimiter::forget(const gateway::BackendId& backend) {
  limits_.forget(backend);
  coordinators_.forget(backend);
  buckets_.erase(backend);
  blocked_until_.erase(backend);
}

void RateLimiter::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"rate_limited_backends", "Back ends with a rate limit"},
             static_cast<double>(limits_.limited_count()));
  sink.gauge({"rate_coordinated_backends", "Rate-limited back ends that this node coordinates"},
             static_cast<double>(buckets_.size()));
}

}  // namespace ochrespring::rate_limit
