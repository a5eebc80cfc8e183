// Compares three methods of sharing a back end's rate limit between nodes on the same arrivals.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/random.h"
#include "rate_limit/permit_bucket.h"

using namespace ochrespring;
using namespace ochrespring::rate_limit;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBackends = 3;
/// Message delay from one node to another, and by way of relays.
constexpr Duration kDirectDelay = 3ms;
constexpr Duration kRelayDelay = 20ms;
/// Fleets of at least this size broadcast by way of relays.
constexpr std::size_t kMinNodesWithRelays = 48;

struct Load {
  std::size_t nodes = 6;
  double limit = 2;         ///< Of each back end, requests per second.
  double request_rate = 0;  ///< Of all callers.
  double skew = 0;          ///< Share of the requests that arrive at the first node.
  Duration span = 60s;
};

/// A method of sharing: decides whether a node may send one request to a back end now.
class Sharing {
 public:
  virtual ~Sharing() = default;
  virtual bool send(std::size_t node, std::size_t backend, MonotonicTime now) = 0;
  std::uint64_t messages = 0;
};

/// The coordinator of a back end grants permits.
class Permits final : public Sharing {
 public:
  explicit Permits(const Load& load) {
    const auto rate = static_cast<std::uint64_t>(load.limit * 1000);
    buckets_.assign(kBackends, PermitBucket({rate}, MonotonicTime()));
  }
  bool send(std::size_t node, std::size_t backend, MonotonicTime now) override {
    MonotonicTime& blocked_until = blocked_until_[{node, backend}];
    if (now < blocked_until) {
      return false;
    }
    messages += 2;
    const PermitDecision decision =
        buckets_[backend].request_permit(NodeId("n" + std::to_string(node)), 1, now + kDirectDelay);
    blocked_until = decision.granted ? blocked_until : now + 2 * kDirectDelay + decision.wait;
    return decision.granted;
  }

 private:
  std::vector<PermitBucket> buckets_;
  std::map<std::pair<std::size_t, std::size_t>, MonotonicTime> blocked_until_;
};

/// As many nodes as the limit allows requests per second share it evenly, selected by rendezvous
/// hash.
class FewSenders final : public Sharing {
 public:
  explicit FewSenders(const Load& load) {
    const std::size_t senders =
        std::clamp<std::size_t>(static_cast<std::size_t>(load.limit), 1, load.nodes);
    const double share = load.limit / static_cast<double>(senders);
    for (std::size_t backend = 0; backend != kBackends; ++backend) {
      std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
      for (std::size_t node = 0; node != load.nodes; ++node) {
        ranked.emplace_back(
            rendezvous_weight("s" + std::to_string(backend), "n" + std::to_string(node)), node);
      }
      std::sort(ranked.rbegin(), ranked.rend());
      for (std::size_t i = 0; i != senders; ++i) {
        buckets_.emplace(std::pair(ranked[i].second, backend),
                         PermitBucket({static_cast<std::uint64_t>(share * 1000)}, MonotonicTime()));
      }
    }
  }
  bool send(std::size_t node, std::size_t backend, MonotonicTime now) override {
    const auto bucket = buckets_.find({node, backend});
    return bucket != buckets_.end() && bucket->second.request_permit(NodeId("n"), 1, now).granted;
  }

 private:
  std::map<std::pair<std::size_t, std::size_t>, PermitBucket> buckets_;
};

/// Each node counts the sends that all nodes have broadcast in the last 4 s.
class BroadcastSends final : public Sharing {
 public:
  explicit BroadcastSends(const Load& load)
      : load_(load),
        lag_(load.nodes < kMinNodesWithRelays ? kDirectDelay : kRelayDelay),
        sends_(kBackends) {}
  bool send(std::size_t node, std::size_t backend, MonotonicTime now) override {
    constexpr Duration kWindow = 4s;
    std::deque<Send>& sends = sends_[backend];
    while (!sends.empty() && now - sends.front().at > kWindow) {
      sends.pop_front();
    }
    const auto known = std::count_if(sends.begin(), sends.end(), [&](const Send& sent) {
      return sent.node == node || sent.at + lag_ <= now;
    });
    if (static_cast<double>(known + 1) > load_.limit * to_seconds(kWindow)) {
      return false;
    }
    sends.push_back({now, node});
    messages += load_.nodes < kMinNodesWithRelays ? load_.nodes - 1 : 2 * load_.nodes;
    return true;
  }

 private:
  struct Send {
    MonotonicTime at;
    std::size_t node = 0;
  };

  const Load& load_;
  Duration lag_;
  std::vector<std::deque<Send>> sends_;
};

struct Outcome {
  std::size_t max_sends = 0;  ///< In 4 s, at any back end.
  double utilization = 0;     ///< Share of the limits.
  double messages = 0;        ///< Per second and node.
};

Outcome simulate(const Load& load, Sharing& sharing) {
  SeededRandom random(11);
  std::vector<std::vector<MonotonicTime>> sent(kBackends);
  const MonotonicTime end = MonotonicTime() + load.span;
  MonotonicTime now = MonotonicTime() + from_seconds(random.exponential(1 / load.request_rate));
  while (now < end) {
    const std::size_t node = random.chance(load.skew) ? 0 : random.below(load.nodes);
    const std::size_t first = random.below(kBackends);
    for (std::size_t i = 0; i != kBackends; ++i) {
      const std::size_t backend = (first + i) % kBackends;
      if (sharing.send(node, backend, now)) {
        sent[backend].push_back(now);
        break;
      }
    }
    now += from_seconds(random.exponential(1 / load.request_rate));
  }
  Outcome outcome;
  for (const std::vector<MonotonicTime>& times : sent) {
    std::size_t oldest = 0;
    for (std::size_t newest = 0; newest != times.size(); ++newest) {
      while (times[newest] - times[oldest] > 4s) {
        ++oldest;
      }
      outcome.max_sends = std::max(outcome.max_sends, newest - oldest + 1);
    }
    outcome.utilization += static_cast<double>(times.size()) /
                           (load.limit * to_seconds(load.span) * static_cast<double>(kBackends));
  }
  outcome.messages = static_cast<double>(sharing.messages) /
                     (to_seconds(load.span) * static_cast<double>(load.nodes));
  return outcome;
}

template <class Method>
Outcome simulate(const Load& load) {
  Method method(load);
  return simulate(load, method);
}

}  // namespace

TEST_CASE(
    "with permits, 4 s contain at most 6 times the limit plus 5 sends, and at least 80% of the "
    "limits is used") {
  for (const std::size_t nodes : {6U, 20U, 100U, 340U}) {
    for (const double limit : {0.7, 1.3, 8.0}) {
      for (const double skew : {0.0, 0.9}) {
        const Load load{.nodes = nodes,
                        .limit = limit,
                        .request_rate = 3 * limit * static_cast<double>(kBackends),
                        .skew = skew};
        const Outcome permits = simulate<Permits>(load);
        const Outcome few_senders = simulate<FewSenders>(load);
        const Outcome broadcast = simulate<BroadcastSends>(load);
        MESSAGE("nodes "
                << nodes << ", limit " << limit << ", skew " << skew
                << ": maximum sends in 4 s, utilization, messages per node and second: permits "
                << permits.max_sends << ", " << permits.utilization << ", " << permits.messages
                << "; few senders " << few_senders.max_sends << ", " << few_senders.utilization
                << ", " << few_senders.messages << "; broadcast sends " << broadcast.max_sends
                << ", " << broadcast.utilization << ", " << broadcast.messages);
        CHECK(static_cast<double>(permits.max_sends) <= 6 * limit + 5);
        CHECK(permits.utilization >= 0.8);
      }
    }
  }
}
