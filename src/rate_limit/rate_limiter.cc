#include "rate_limit/rate_limiter.h"

#include <algorithm>
#include <string>
#include <utility>

#include "metrics/counter_table.h"

namespace ochrespring::rate_limit {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "rate_limit";
/// After this time a request for a permit is sent again, in case a datagram was lost: a round trip
/// between zones takes some 10 ms.
constexpr Duration kAskAgain = milliseconds(50);
/// After this time the request goes elsewhere, and a grant is worth nothing: it is of a time in
/// which the coordinator's bucket has been filled again.
constexpr Duration kPermitTimeout = milliseconds(150);
/// How long a back end is left alone that no coordinator has answered for.
constexpr Duration kUnansweredPause = milliseconds(250);
/// Bounds on the wait that a coordinator tells.
constexpr Duration kLeastWait = milliseconds(10);
constexpr Duration kMostWait = std::chrono::seconds(10);

constexpr metrics::CounterRow<RateLimiterStatistics> kCounters[] = {
    {"rate_permits_granted", "Sends to rate-limited back ends that were allowed",
     &RateLimiterStatistics::permits_granted},
    {"rate_permits_denied", "Sends to rate-limited back ends that were not allowed",
     &RateLimiterStatistics::permits_denied},
    {"rate_permits_unanswered", "Sends not allowed since no coordinator answered",
     &RateLimiterStatistics::permits_unanswered},
    {"rate_permits_issued", "Sends of all nodes that this node has allowed as a coordinator",
     &RateLimiterStatistics::permits_issued},
    {"rate_limits_heard", "Changes of rate limits in answers of back ends",
     &RateLimiterStatistics::limits_heard},
    {"rate_limits_unreadable", "Answers whose rate limit could not be read",
     &RateLimiterStatistics::limits_unreadable},
};

}  // namespace

RateLimiter::RateLimiter(World world, Channel channel)
    : world_(world),
      channel_(std::move(channel)),
      coordinators_(world.nodes),
      next_sequence_(world.random.next()) {}

Duration RateLimiter::time_to_room(const gateway::BackendId& backend, MonotonicTime now) const {
  const auto closed = closed_until_.find(backend);
  return closed == closed_until_.end() ? Duration::zero()
                                       : std::max(Duration::zero(), closed->second - now);
}

gateway::ClaimResult RateLimiter::claim(const gateway::BackendId& backend, gateway::SendRank rank,
                                        std::function<void(bool granted)> done) {
  const auto limit = limits_.limit_of(backend);
  if (!limit) {
    return gateway::ClaimResult::kGranted;
  }
  const MonotonicTime now = world_.clock.now();
  const discovery::NodeRecord* coordinator = coordinators_.choose(backend, now);
  if (coordinator == nullptr) {
    const PermitDecision decision = issue(backend, world_.nodes.self().node, rank, *limit);
    ++(decision.granted ? statistics_.permits_granted : statistics_.permits_denied);
    if (!decision.granted) {
      close(backend, decision.wait);
    }
    return decision.granted ? gateway::ClaimResult::kGranted : gateway::ClaimResult::kDenied;
  }
  const std::uint64_t sequence = next_sequence_++;
  Claim& claim = claims_.try_emplace(sequence, world_.timers).first->second;
  claim.request = {.node = world_.nodes.self().node,
                   .reply_to = world_.nodes.self().peer_address,
                   .sequence = sequence,
                   .rank = rank,
                   .known = known(backend)};
  claim.coordinator = coordinator->node;
  claim.coordinator_address = coordinator->peer_address;
  claim.asked = now;
  claim.done = std::move(done);
  ask(sequence);
  return gateway::ClaimResult::kPending;
}

void RateLimiter::ask(std::uint64_t sequence) {
  Claim& claim = claims_.at(sequence);
  channel_.ask(claim.coordinator_address, claim.request);
  const Duration passed = world_.clock.now() - claim.asked;
  if (passed < kAskAgain) {
    claim.timer.arm(kAskAgain, [this, sequence] { ask(sequence); });
  } else {
    claim.timer.arm(std::max(kPermitTimeout - passed, Duration::zero()),
                    [this, sequence] { on_unanswered(sequence); });
  }
}

void RateLimiter::on_unanswered(std::uint64_t sequence) {
  const Claim& claim = claims_.at(sequence);
  ++statistics_.permits_unanswered;
  world_.logger.write({logging::Level::kWarning,
                       kComponent,
                       "no coordinator answers for a rate limit",
                       {{"backend", claim.request.known.backend.value()},
                        {"coordinator", claim.coordinator.value()}}});
  coordinators_.note_unanswered(claim.coordinator, world_.clock.now());
  close(claim.request.known.backend, kUnansweredPause);
  settle(sequence, false);
}

void RateLimiter::settle(std::uint64_t sequence, bool granted) {
  auto claim = claims_.extract(sequence);
  claim.mapped().timer.disarm();
  claim.mapped().done(granted);
}

void RateLimiter::close(const gateway::BackendId& backend, Duration span) {
  MonotonicTime& until = closed_until_[backend];
  until = std::max(until, world_.clock.now() + span);
}

PermitDecision RateLimiter::issue(const gateway::BackendId& backend, const NodeId& node,
                                  gateway::SendRank rank, gateway::RequestRate limit) {
  const MonotonicTime now = world_.clock.now();
  PermitBucket& bucket = buckets_.try_emplace(backend, limit, now).first->second;
  bucket.set_limit(limit, now);
  const PermitDecision decision = bucket.ask(node, rank, now);
  statistics_.permits_issued += decision.granted ? 1 : 0;
  return decision;
}

void RateLimiter::take(const PermitRequest& request) {
  const gateway::BackendId& backend = request.known.backend;
  adopt(request.known, "node");
  PermitDecision decision{.granted = true, .wait = {}};
  if (const auto limit = limits_.limit_of(backend)) {
    decision = issue(backend, request.node, request.rank, *limit);
  } else if (world_.fleet.find(backend) == nullptr) {
    // This node has not heard of the back end yet, or not of its limit's end.
    decision = {.granted = false, .wait = kUnansweredPause};
  }
  channel_.reply(request.reply_to, {.node = world_.nodes.self().node,
                                    .sequence = request.sequence,
                                    .granted = decision.granted,
                                    .wait = decision.wait,
                                    .known = known(backend)});
}

void RateLimiter::take(const PermitReply& reply) {
  coordinators_.note_answered(reply.node);
  const auto found = claims_.find(reply.sequence);
  if (found == claims_.end() || found->second.request.known.backend != reply.known.backend) {
    return;
  }
  const gateway::BackendId backend = reply.known.backend;
  adopt(reply.known, "coordinator");
  const bool unlimited = !limits_.limit_of(backend);
  const bool in_time = world_.clock.now() - found->second.asked <= kPermitTimeout;
  const bool granted = unlimited || (reply.granted && in_time);
  ++(granted ? statistics_.permits_granted : statistics_.permits_denied);
  if (!granted) {
    close(backend, std::clamp(reply.wait, kLeastWait, kMostWait));
  }
  settle(reply.sequence, granted);
}

void RateLimiter::take(const LimitNews& news) {
  adopt(news, "node");
}

void RateLimiter::adopt(const LimitNews& news, std::string_view source) {
  // A back end that has gone already, or was not seen yet, would never be forgotten again.
  const bool known = world_.fleet.find(news.backend) != nullptr;
  if (known && limits_.take(news, world_.clock.now())) {
    follow(news, source);
  }
}

void RateLimiter::note_answer(const RateAnswer& answer) {
  if (answer.statement.kind == gateway::RateStatement::Kind::kMalformed) {
    ++statistics_.limits_unreadable;
    world_.logger.write({logging::Level::kWarning,
                         kComponent,
                         "rate limit cannot be read",
                         {{"backend", answer.backend.value()}, {"value", answer.statement.text}}});
    return;
  }
  if (world_.fleet.find(answer.backend) == nullptr) {
    return;
  }
  const bool was_limited = limits_.limit_of(answer.backend).has_value();
  const auto news = limits_.note_answer(answer, world_.clock.now());
  if (!news) {
    return;
  }
  ++statistics_.limits_heard;
  follow(*news, "answer");
  if (news->limited != was_limited) {
    channel_.tell_all(*news);
  } else if (const auto* coordinator = coordinators_.choose(news->backend, world_.clock.now())) {
    // All know already that there is a limit; the rate itself matters to one.
    channel_.tell(coordinator->peer_address, *news);
  }
}

void RateLimiter::follow(const LimitNews& news, std::string_view source) {
  const std::string_view message = news.limited ? "rate limit heard" : "rate limit ended";
  world_.logger.write({logging::Level::kInfo,
                       kComponent,
                       std::string(message),
                       {{"backend", news.backend.value()},
                        {"source", std::string(source)},
                        {"thousandths_per_second", news.rate.thousandths},
                        {"version", news.version}}});
  const auto bucket = buckets_.find(news.backend);
  if (!news.limited) {
    closed_until_.erase(news.backend);
    buckets_.erase(news.backend);
  } else if (bucket != buckets_.end()) {
    bucket->second.set_limit(news.rate, world_.clock.now());
  }
}

LimitNews RateLimiter::known(const gateway::BackendId& backend) const {
  const LimitNews* news = limits_.find(backend);
  return news != nullptr
             ? *news
             : LimitNews{.backend = backend, .limited = false, .rate = {}, .version = 0};
}

void RateLimiter::tell_all(const std::function<void(const LimitNews&)>& send) const {
  limits_.for_each([&](const LimitNews& news) {
    if (news.limited) {
      send(news);
    }
  });
}

void RateLimiter::forget(const gateway::BackendId& backend) {
  limits_.forget(backend);
  coordinators_.forget(backend);
  buckets_.erase(backend);
  closed_until_.erase(backend);
}

void RateLimiter::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"rate_limited_backends", "Back ends that name a rate limit"},
             static_cast<double>(limits_.limited_count()));
  sink.gauge({"rate_coordinated_backends", "Rate-limited back ends that this node coordinates"},
             static_cast<double>(buckets_.size()));
}

}  // namespace ochrespring::rate_limit
