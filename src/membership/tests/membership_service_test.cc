#include "membership/membership_service.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <string>

#include "simulation/in_memory_transport.h"

namespace ochrespring::membership {
namespace {

using namespace std::chrono_literals;
using simulation::InMemoryTransport;
using simulation::LinkQuality;

/// The platform's list of every node ever started.
class ListedMachines final : public external::MachineList {
 public:
  explicit ListedMachines(simulation::VirtualTime& time) : time_(time) {}
  void list(external::ExternalCallback<std::vector<external::Machine>> done) override {
    ++reads;
    time_.schedule_after(5ms, [this, done] { done(machines); });
  }
  std::vector<external::Machine> machines;
  int reads = 0;

 private:
  simulation::VirtualTime& time_;
};

/// Nodes in one process; node i stands in zone i % zones.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed, double loss = 0) : random_(seed), network_(time_, random_) {
    network_.set_link_policy([this, loss](const Endpoint& from, const Endpoint& to) {
      LinkQuality quality;
      quality.loss = loss;
      return cut && cut(from, to) ? std::nullopt : std::optional(quality);
    });
  }

  static Endpoint endpoint(int index) { return Endpoint("10.0.0.1:" + std::to_string(index)); }
  static NodeId name(int index) { return NodeId("node-" + std::to_string(index)); }

  void start(int index, MembershipSettings settings = {}, bool listed = false) {
    kill(index);
    Node& node = nodes_[index];
    Member self;
    self.node = name(index);
    self.incarnation = Incarnation(1);
    self.peer = endpoint(index);
    self.zone = ZoneName("zone-" + std::to_string(index % zones));
    self.region = RegionName("region");
    node.transport = network_.attach(self.peer);
    node.service = std::make_unique<MembershipService>(
        self, settings,
        MembershipDependencies{time_, time_, random_, *node.transport, logger_,
                               listed ? &machines : nullptr});
    node.transport->subscribe(peer::Channel::kMembership, *node.service);
    node.service->start();
  }
  void start_all(int count) {
    for (int i = 0; i < count; ++i) {
      MembershipSettings settings;
      settings.seeds = {endpoint(0), endpoint(1)};
      start(i, settings);
    }
  }
  void kill(int index) { nodes_.erase(index); }
  void run(Duration span) { time_.run_until(time_.now() + span); }
  MembershipService& at(int index) { return *nodes_.at(index).service; }
  std::map<int, MemberState> seen_by(int index) {
    std::map<int, MemberState> seen;
    for (const Member& member : at(index).members()) {
      seen[std::stoi(member.node.value().substr(5))] = member.state;
    }
    return seen;
  }
  /// Whether every running node knows exactly the running nodes, all alive.
  bool agreed() {
    std::map<int, MemberState> expected;
    for (const auto& [index, node] : nodes_) {
      expected[index] = MemberState::kAlive;
    }
    bool all = true;
    for (const auto& [index, node] : nodes_) {
      all = all && seen_by(index) == expected;
    }
    return all;
  }

  int zones = 3;
  std::function<bool(const Endpoint&, const Endpoint&)> cut;
  simulation::VirtualTime time_;
  ListedMachines machines{time_};

 private:
  struct Node {
    std::unique_ptr<InMemoryTransport> transport;
    std::unique_ptr<MembershipService> service;
  };
  SeededRandom random_;
  logging::NullLogger logger_;
  simulation::InMemoryNetwork network_;
  std::map<int, Node> nodes_;
};

}  // namespace

TEST_CASE("nodes find each other from seeds") {
  Fleet fleet(1);
  fleet.start_all(20);
  fleet.run(20s);
  CHECK(fleet.agreed());
  CHECK(fleet.at(7).joined());
}

TEST_CASE("a killed node is dropped everywhere; others are not") {
  Fleet fleet(2, 0.01);
  fleet.start_all(20);
  fleet.run(30s);
  fleet.kill(5);
  fleet.run(25s);
  CHECK(fleet.agreed());
}

TEST_CASE("a node unreachable from one member only stays alive") {
  Fleet fleet(3);
  fleet.start_all(6);
  fleet.run(20s);
  fleet.cut = [](const Endpoint& from, const Endpoint& to) {
    return from == Fleet::endpoint(2) && to == Fleet::endpoint(3);
  };
  fleet.run(60s);
  CHECK(fleet.agreed());
}

TEST_CASE("a restarted node supersedes its former life") {
  Fleet fleet(4);
  fleet.start_all(6);
  fleet.run(20s);
  fleet.kill(3);
  fleet.run(30s);
  REQUIRE_FALSE(fleet.seen_by(0).contains(3));
  MembershipSettings settings;
  settings.seeds = {Fleet::endpoint(0)};
  fleet.start(3, settings);
  fleet.run(10s);
  CHECK(fleet.agreed());
  CHECK(fleet.at(3).self().incarnation > Incarnation(1));
}

TEST_CASE("a planned leave is seen as leaving, a departure as gone at once") {
  Fleet fleet(5);
  fleet.start_all(6);
  fleet.run(20s);
  fleet.at(4).leave();
  fleet.run(3s);
  CHECK(fleet.seen_by(1).at(4) == MemberState::kLeaving);
  fleet.at(4).depart();
  fleet.kill(4);
  fleet.run(2s);
  CHECK(fleet.agreed());
}

TEST_CASE("a leaving node that dies silently is dropped") {
  Fleet fleet(6);
  fleet.start_all(6);
  fleet.run(20s);
  fleet.at(4).leave();
  fleet.run(3s);
  fleet.kill(4);
  fleet.run(40s);
  CHECK(fleet.agreed());
}

TEST_CASE("the two sides of a healed partition find each other again") {
  Fleet fleet(7);
  fleet.start_all(12);
  fleet.run(20s);
  fleet.cut = [](const Endpoint& from, const Endpoint& to) {
    const auto side = [](const Endpoint& endpoint) { return endpoint.value().size() % 2; };
    return side(from) != side(to);
  };
  fleet.run(60s);
  REQUIRE(fleet.seen_by(1).size() == 10);
  fleet.cut = nullptr;
  fleet.run(60s);
  CHECK(fleet.agreed());
}

TEST_CASE("a fleet replaced one by one keeps its membership without seeds") {
  Fleet fleet(8);
  const auto list = [&](int index) {
    external::Machine machine;
    machine.name = Fleet::name(index).value();
    machine.peer_endpoint = Fleet::endpoint(index);
    fleet.machines.machines.push_back(machine);
  };
  for (int i = 0; i < 6; ++i) {
    list(i);
    fleet.start(i, {}, true);
  }
  fleet.run(20s);
  REQUIRE(fleet.agreed());
  for (int i = 0; i < 6; ++i) {
    fleet.kill(i);
    fleet.machines.machines.erase(fleet.machines.machines.begin());
    list(6 + i);
    fleet.start(6 + i, {}, true);
    fleet.run(25s);
  }
  CHECK(fleet.agreed());
}

TEST_CASE("all nodes restarted at once come back, with few reads of the machine list") {
  Fleet fleet(9);
  for (int i = 0; i < 12; ++i) {
    external::Machine machine;
    machine.name = Fleet::name(i).value();
    machine.peer_endpoint = Fleet::endpoint(i);
    fleet.machines.machines.push_back(machine);
    fleet.start(i, {}, true);
  }
  fleet.run(30s);
  for (int i = 0; i < 12; ++i) {
    fleet.start(i, {}, true);
  }
  fleet.run(30s);
  CHECK(fleet.agreed());
  const int before = fleet.machines.reads;
  fleet.run(100s);
  CHECK(fleet.machines.reads - before < 30);
}

TEST_CASE("random kills, restarts and loss end in agreement") {
  const bool holds = rc::check([] {
    Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), 0.02);
    fleet.start_all(8);
    fleet.run(15s);
    MembershipSettings settings;
    settings.seeds = {Fleet::endpoint(0), Fleet::endpoint(1)};
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
    for (const int step : steps) {
      const int index = 2 + step % 6;
      if (step < 8) {
        fleet.kill(index);
      } else {
        fleet.start(index, settings);
      }
      fleet.run(700ms);
    }
    fleet.run(60s);
    RC_ASSERT(fleet.agreed());
  });
  CHECK(holds);
}

}  // namespace ochrespring::membership
