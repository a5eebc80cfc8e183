// A few authorities under virtual time: network with delay, loss and partitions, processes that are
// killed, restarted and paused, clocks that drift, and a key-value service with faults.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "authority/authority.h"
#include "base/random.h"
#include "simulation/virtual_time.h"

namespace ochrespring::authority::testing {

/// The key-value service in memory.
class TestStore final : public external::KeyValueStore {
 public:
  TestStore(simulation::VirtualTime& time, RandomSource& random) : time_(time), random_(random) {}

  bool down = false;
  double lose_answer = 0;  ///< Share of swaps that take effect while their answer is lost.
  std::uint64_t calls = 0;

  void get(const std::string& key,
           external::ExternalCallback<std::optional<external::KeyValueEntry>> done) override;
  void compare_and_swap(const std::string& key, external::KeyVersion expected,
                        const std::string& value, std::optional<external::LeaseId> lease,
                        external::ExternalCallback<external::SwapOutcome> done) override;
  void list(const std::string& /*prefix*/,
            external::ExternalCallback<std::vector<external::KeyValueEntry>> /*done*/) override {}
  void compare_and_delete(const std::string& /*key*/, external::KeyVersion /*expected*/,
                          external::ExternalCallback<external::SwapOutcome> /*done*/) override {}
  void grant_lease(Duration /*time_to_live*/,
                   external::ExternalCallback<external::LeaseId> /*done*/) override {}
  void renew_lease(external::LeaseId /*lease*/,
                   external::ExternalCallback<external::LeaseId> /*done*/) override {}
  std::unique_ptr<external::Watch> watch(const std::string& /*prefix*/,
                                         external::WatchObserver& /*observer*/) override {
    return nullptr;
  }

 private:
  simulation::VirtualTime& time_;
  RandomSource& random_;
  std::map<std::string, external::KeyValueEntry> entries_;
};

class Cluster;

/// One node's machine: its clock, timers, member table and, while it runs, its authority.
class TestNode final : public Clock, public TimerService, public membership::MemberView {
 public:
  TestNode(Cluster& cluster, membership::Member self, double clock_rate);

  MonotonicTime now() const override;
  WallTime wall_now() const override { return WallTime(now().time_since_epoch()); }
  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;
  const membership::Member& self() const override { return self_; }
  std::vector<membership::Member> members() const override;
  std::uint64_t version() const override { return 0; }
  void add_observer(membership::MembershipObserver& observer) override { observer_ = &observer; }
  void remove_observer(membership::MembershipObserver& /*observer*/) override {
    observer_ = nullptr;
  }

  void start();
  void kill();
  void pause() { paused_ = true; }
  void wake();
  bool running() const { return authority != nullptr; }
  bool paused() const { return paused_; }
  /// Runs now, or when the process wakes.
  void run_when_awake(std::function<void()> work);
  void members_changed();

  std::unique_ptr<Authority> authority;

 private:
  Cluster& cluster_;
  membership::Member self_;
  double clock_rate_;
  bool paused_ = false;
  std::uint64_t life_ = 0;
  std::vector<std::function<void()>> waiting_;
  membership::MembershipObserver* observer_ = nullptr;
  std::unique_ptr<peer::Transport> transport_;
};

/// The fleet's document and machines, and what a reader of all processes' memory would see.
class Cluster {
 public:
  /// `zones` names the zone of each node.
  Cluster(std::uint64_t seed, const std::vector<std::string>& zones,
          const AuthoritySettings& authority_settings = {}, std::uint32_t shards = 2);

  void run_for(Duration span);
  void configure(std::uint32_t shard_count);
  void kill(std::size_t index);
  void restart(std::size_t index);
  /// Nodes that hold the shard now by their own clocks.
  std::vector<std::size_t> holders(const ShardKey& key) const;
  bool every_shard_held() const;
  std::size_t shard_count() const { return document.policy.shards; }

  simulation::VirtualTime time;
  SeededRandom random;
  TestStore store;
  AuthoritySettings settings;
  fleet::FleetDocument document;
  std::vector<std::unique_ptr<TestNode>> nodes;
  double loss = 0;
  std::set<std::pair<std::size_t, std::size_t>> cut;  ///< Messages from first to second are lost.
  /// Called after every event.
  std::function<void()> check;

  void deliver(const Endpoint& from, const Endpoint& to, const std::string& payload);
  std::size_t index_of(const Endpoint& endpoint) const;
};

}  // namespace ochrespring::authority::testing
