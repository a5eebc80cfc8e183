// A cluster of ledger nodes under virtual time, for tests and for measuring: lossy network, kills,
// partitions, and a key-value service that can be down.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "ledger/ledger_node.h"
#include "simulation/virtual_time.h"

namespace ochrespring::ledger::simulated {

/// What the key-value service of a cluster holds.
struct OneKeyState {
  bool down = false;
  std::optional<external::KeyValueEntry> entry;
};

/// One process's client of the service: one key under compare-and-swap.
class OneKeyStore final : public external::KeyValueStore {
 public:
  OneKeyStore(TimerService& timers, RandomSource& random, OneKeyState& state)
      : timers_(timers), random_(random), state_(state) {}

  void get(const std::string& key,
           external::ExternalCallback<std::optional<external::KeyValueEntry>> done) override {
    later([this, key, done = std::move(done)] {
      if (state_.down) {
        done(fail(external::ExternalErrc::kNotSent, "down"));
      } else {
        done(state_.entry);
      }
    });
  }
  void compare_and_swap(const std::string& key, external::KeyVersion expected,
                        const std::string& value, std::optional<external::LeaseId> /*lease*/,
                        external::ExternalCallback<external::SwapOutcome> done) override {
    later([this, key, expected, value, done = std::move(done)] {
      const bool refused = state_.down;
      const external::KeyVersion current =
          state_.entry ? state_.entry->version : external::KeyVersion(0);
      const bool swapped = !refused && current == expected;
      if (swapped) {
        state_.entry = external::KeyValueEntry{key, value, current.next()};
      }
      const bool answer_lost = refused || random_.chance(kAnswerLoss);
      if (answer_lost) {
        done(fail(external::ExternalErrc::kUnknownEffect, "no answer"));
      } else {
        done(external::SwapOutcome{swapped, swapped ? current.next() : current, state_.entry});
      }
    });
  }
  void list(const std::string&,
            external::ExternalCallback<std::vector<external::KeyValueEntry>>) override {}
  void compare_and_delete(const std::string&, external::KeyVersion,
                          external::ExternalCallback<external::SwapOutcome>) override {}
  void grant_lease(Duration, external::ExternalCallback<external::LeaseId>) override {}
  void renew_lease(external::LeaseId, external::ExternalCallback<external::LeaseId>) override {}
  std::unique_ptr<external::Watch> watch(const std::string&, external::WatchObserver&) override {
    return nullptr;
  }

 private:
  static constexpr double kAnswerLoss = 0.1;

  void later(std::function<void()> call) {
    timers_.schedule_after(std::chrono::milliseconds(1 + random_.below(20)), std::move(call));
  }

  TimerService& timers_;
  RandomSource& random_;
  OneKeyState& state_;
};

struct NetworkFaults {
  double loss = 0.05;
  double duplication = 0.05;
  Duration largest_delay{std::chrono::milliseconds(20)};
};

/// Cluster of ledger nodes. Membership shows the truth after the call that changed it.
class LedgerCluster {
 public:
  LedgerCluster(std::uint64_t seed, std::size_t nodes, LedgerSettings settings)
      : random_(seed), settings_(settings) {
    for (std::size_t index = 0; index < nodes; ++index) {
      nodes_.push_back(std::make_unique<Node>(*this, index));
    }
    for (std::size_t index = 0; index < nodes; ++index) {
      start(index);
    }
  }

  NetworkFaults faults;
  std::set<std::pair<std::size_t, std::size_t>> cut;  ///< Directed links that drop everything.

  simulation::VirtualTime& time() { return time_; }
  OneKeyState& store() { return store_; }
  RandomSource& random() { return random_; }
  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t index) const { return nodes_[index]->ledger != nullptr; }
  LedgerNode& ledger(std::size_t index) { return *nodes_[index]->ledger; }

  void run_for(Duration span) { time_.run_until(time_.now() + span); }

  void kill(std::size_t index) {
    nodes_[index]->ledger.reset();
    nodes_[index]->store.reset();
    nodes_[index]->timers.reset();
    ++version_;
  }

  void start(std::size_t index) {
    Node& node = *nodes_[index];
    node.timers = std::make_unique<GuardedTimers>(time_);
    node.store = std::make_unique<OneKeyStore>(*node.timers, random_, store_);
    node.ledger = std::make_unique<LedgerNode>(settings_, node, node, *node.store, machines_, time_,
                                               *node.timers, random_);
    node.ledger->start();
    ++version_;
  }

 private:
  /// Timers that die with their process.
  class GuardedTimers final : public TimerService {
   public:
    explicit GuardedTimers(TimerService& base) : base_(base) {}
    TimerId schedule_after(Duration delay, std::function<void()> callback) override {
      return base_.schedule_after(delay,
                                  [alive = std::weak_ptr<bool>(alive_), run = std::move(callback)] {
                                    if (!alive.expired()) {
                                      run();
                                    }
                                  });
    }
    void cancel(TimerId timer) override { base_.cancel(timer); }

   private:
    TimerService& base_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  };

  class EveryMachine final : public external::MachineList {
   public:
    void list(external::ExternalCallback<std::vector<external::Machine>> done) override {
      done(fail(external::ExternalErrc::kNotSent, "no list in this test"));
    }
  };

  /// A node's view of the members and its transport.
  struct Node final : membership::MemberView, peer::Transport {
    Node(LedgerCluster& owner, std::size_t position) : cluster(owner), index(position) {
      member.node = NodeId("node-" + std::to_string(index));
      member.peer = Endpoint(std::to_string(index));
      member.zone = ZoneName("zone-" + std::to_string(index % kZones));
      member.region = RegionName("region");
    }
    const membership::Member& self() const override { return member; }
    std::vector<membership::Member> members() const override {
      std::vector<membership::Member> live;
      for (const auto& node : cluster.nodes_) {
        if (node->ledger || node.get() == this) {
          live.push_back(node->member);
        }
      }
      return live;
    }
    std::uint64_t version() const override { return cluster.version_; }
    void add_observer(membership::MembershipObserver&) override {}
    void remove_observer(membership::MembershipObserver&) override {}
    void send(const Endpoint& to, peer::Channel, std::string payload) override {
      cluster.deliver(index, std::stoul(to.value()), std::move(payload));
    }

    static constexpr std::size_t kZones = 3;
    LedgerCluster& cluster;
    std::size_t index;
    membership::Member member;
    std::unique_ptr<GuardedTimers> timers;
    std::unique_ptr<OneKeyStore> store;
    std::unique_ptr<LedgerNode> ledger;
  };

  void deliver(std::size_t from, std::size_t to, std::string payload) {
    const std::size_t copies = random_.chance(faults.duplication) ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
      if (cut.contains({from, to}) || random_.chance(faults.loss)) {
        continue;
      }
      const auto span = static_cast<std::uint64_t>(faults.largest_delay.count());
      const Duration delay(static_cast<Duration::rep>(random_.below(span + 1)));
      const Endpoint sender = nodes_[from]->member.peer;
      time_.schedule_after(delay, [this, to, sender, payload] {
        if (nodes_[to]->ledger) {
          nodes_[to]->ledger->on_message(sender, payload);
        }
      });
    }
  }

  simulation::VirtualTime time_;
  SeededRandom random_;
  OneKeyState store_;
  EveryMachine machines_;
  LedgerSettings settings_;
  std::uint64_t version_ = 1;
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace ochrespring::ledger::simulated
