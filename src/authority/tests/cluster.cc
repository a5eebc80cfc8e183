#include "authority/tests/cluster.h"

#include <algorithm>
#include <utility>

namespace ochrespring::authority::testing {

namespace {

using external::ExternalErrc;
using external::KeyValueEntry;
using external::KeyVersion;

constexpr Duration kStoreDelay = std::chrono::milliseconds(3);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(1);
constexpr double kDuplicates = 0.02;
constexpr double kDriftRange = 0.008;
logging::NullLogger null_logger;

class TestTransport final : public peer::Transport {
 public:
  TestTransport(Cluster& cluster, Endpoint self) : cluster_(cluster), self_(std::move(self)) {}
  void send(const Endpoint& to, peer::Channel /*channel*/, std::string payload) override {
    cluster_.deliver(self_, to, payload);
  }

 private:
  Cluster& cluster_;
  Endpoint self_;
};

}  // namespace

void TestStore::get(const std::string& key,
                    external::ExternalCallback<std::optional<KeyValueEntry>> done) {
  ++calls;
  time_.schedule_after(kStoreDelay, [this, key, done = std::move(done)] {
    if (down) {
      done(fail(ExternalErrc::kUnknownEffect, "down"));
      return;
    }
    const auto found = entries_.find(key);
    done(found == entries_.end() ? std::nullopt : std::optional(found->second));
  });
}

void TestStore::compare_and_swap(const std::string& key, KeyVersion expected,
                                 const std::string& value,
                                 std::optional<external::LeaseId> /*lease*/,
                                 external::ExternalCallback<external::SwapOutcome> done) {
  ++calls;
  time_.schedule_after(kStoreDelay, [this, key, expected, value, done = std::move(done)] {
    if (down) {
      done(fail(ExternalErrc::kUnknownEffect, "down"));
      return;
    }
    KeyValueEntry& entry = entries_[key];
    entry.key = key;
    if (entry.version != expected) {
      done(external::SwapOutcome{false, entry.version, entry});
      return;
    }
    entry.value = value;
    entry.version = entry.version.next();
    if (random_.chance(lose_answer)) {
      done(fail(ExternalErrc::kUnknownEffect, "answer lost"));
      return;
    }
    done(external::SwapOutcome{true, entry.version, std::nullopt});
  });
}

TestNode::TestNode(Cluster& cluster, membership::Member self, double clock_rate)
    : cluster_(cluster),
      self_(std::move(self)),
      clock_rate_(clock_rate),
      transport_(std::make_unique<TestTransport>(cluster, self_.peer)) {}

MonotonicTime TestNode::now() const {
  const auto elapsed = static_cast<double>(cluster_.time.now().time_since_epoch().count());
  return MonotonicTime(Duration(static_cast<Duration::rep>(elapsed * clock_rate_)));
}

TimerId TestNode::schedule_after(Duration delay, std::function<void()> callback) {
  return cluster_.time.schedule_after(delay, [this, life = life_, run = std::move(callback)] {
    if (life == life_) {
      run_when_awake(run);
    }
  });
}

void TestNode::cancel(TimerId timer) {
  cluster_.time.cancel(timer);
}

std::vector<membership::Member> TestNode::members() const {
  std::vector<membership::Member> members;
  for (const auto& node : cluster_.nodes) {
    membership::Member member = node->self_;
    member.state =
        node->running() ? membership::MemberState::kAlive : membership::MemberState::kDead;
    members.push_back(member);
  }
  return members;
}

void TestNode::start() {
  authority = std::make_unique<Authority>(
      AuthorityDependencies{*this, *this, cluster_.random, *transport_, *this, cluster_.store,
                            null_logger, statechart::ChartLibrary::built_in().lease_holder},
      cluster_.settings);
  authority->configure(cluster_.document);
}

void TestNode::kill() {
  authority.reset();
  ++life_;
  waiting_.clear();
  paused_ = false;
}

void TestNode::wake() {
  paused_ = false;
  for (const auto& work : std::exchange(waiting_, {})) {
    work();
  }
}

void TestNode::run_when_awake(std::function<void()> work) {
  if (paused_) {
    waiting_.push_back(std::move(work));
  } else if (running()) {
    work();
  }
}

void TestNode::members_changed() {
  if (observer_ != nullptr) {
    observer_->on_member_changed(self_);
  }
}

Cluster::Cluster(std::uint64_t seed, const std::vector<std::string>& zones,
                 const AuthoritySettings& authority_settings, std::uint32_t shards)
    : random(seed), store(time, random), settings(authority_settings) {
  document.revision = Revision(1);
  document.policy.shards = shards;
  for (std::size_t index = 0; index < zones.size(); ++index) {
    membership::Member member;
    member.node = NodeId("node-" + std::to_string(index));
    member.peer = Endpoint(std::to_string(index));
    member.zone = ZoneName(zones[index]);
    const double rate = 1.0 + kDriftRange * (2 * random.unit() - 1);
    nodes.push_back(std::make_unique<TestNode>(*this, member, rate));
    fleet::Engine engine;
    engine.zone = member.zone;
    document.engines.push_back(engine);
  }
  for (const auto& node : nodes) {
    node->start();
  }
}

void Cluster::run_for(Duration span) {
  const MonotonicTime end = time.now() + span;
  bool finished = false;
  time.schedule_after(span, [&finished] { finished = true; });
  while (!finished && time.step()) {
    if (check) {
      check();
    }
  }
  time.run_until(end);
}

void Cluster::configure(std::uint32_t shard_count) {
  document.revision = document.revision.next();
  document.policy.shards = shard_count;
  for (const auto& node : nodes) {
    // Reaches each node at another time.
    const Duration delay = Duration(static_cast<Duration::rep>(random.below(3'000'000'000)));
    time.schedule_after(delay, [&node, copy = document] {
      node->run_when_awake([&node, copy] { node->authority->configure(copy); });
    });
  }
}

void Cluster::kill(std::size_t index) {
  nodes[index]->kill();
  for (const auto& node : nodes) {
    node->members_changed();
  }
}

void Cluster::restart(std::size_t index) {
  nodes[index]->kill();
  nodes[index]->start();
  for (const auto& node : nodes) {
    node->members_changed();
  }
}

std::vector<std::size_t> Cluster::holders(const ShardKey& key) const {
  std::vector<std::size_t> result;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (nodes[index]->running() && nodes[index]->authority->held(key)) {
      result.push_back(index);
    }
  }
  return result;
}

bool Cluster::every_shard_held() const {
  for (const fleet::Engine& engine : document.engines) {
    for (std::uint32_t shard = 0; shard < document.policy.shards; ++shard) {
      if (holders({engine.zone, ShardId(shard)}).empty()) {
        return false;
      }
    }
  }
  return true;
}

void Cluster::deliver(const Endpoint& from, const Endpoint& to, const std::string& payload) {
  const std::size_t source = index_of(from);
  const std::size_t target = index_of(to);
  if (cut.contains({source, target}) || random.chance(loss)) {
    return;
  }
  const int copies = random.chance(kDuplicates) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay = random.jitter(kNetworkDelay, 1.0) * (random.chance(0.01) ? 1000 : 1);
    time.schedule_after(delay, [this, from, target, payload] {
      TestNode& node = *nodes[target];
      node.run_when_awake([&node, from, payload] { node.authority->on_message(from, payload); });
    });
  }
}

std::size_t Cluster::index_of(const Endpoint& endpoint) const {
  return static_cast<std::size_t>(std::stoul(endpoint.value()));
}

}  // namespace ochrespring::authority::testing
