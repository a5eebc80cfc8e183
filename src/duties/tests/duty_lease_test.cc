// One holder at a time, whatever happens to nodes and to the store.
#include "duties/duty_lease.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "logging/logger.h"
#include "shared_store/tests/memory_store.h"
#include "simulation/suspendable_machine.h"

using namespace ochrespring;
using namespace ochrespring::duties;
using namespace std::chrono_literals;
using shared_store::testing::MemoryStore;
using shared_store::testing::StoreState;

namespace {

constexpr Duration kLease = 3s;

struct Act {
  MonotonicTime at;
  std::size_t machine;
  Fence fence;
};

/// Planted ones.
struct Defects {
  Duration margin{400ms};    ///< Below zero: a holder trusts its lease after its end.
  bool still_clock = false;  ///< Nodes go by a clock that stands still while they are suspended.
};

struct Candidate {
  Candidate(simulation::VirtualTime& time, StoreState& state, std::size_t number,
            std::uint64_t life, const Defects& defects, std::function<bool()> first)
      : machine(time),
        random(life),
        store(time, state, machine),
        lease({defects.still_clock ? machine.still_clock() : machine.clock(), machine, random,
               store, logger},
              {.holder_key = "d/holder",
               .history_key = "d/history",
               .offset_key = "d/offset",
               .node = NodeId("n" + std::to_string(number)),
               .life = life,
               .time_to_live = kLease,
               .margin = defects.margin},
              {.to_claim = std::move(first), .to_hold = [] { return true; }}) {
    lease.start();
  }

  simulation::SuspendableMachine machine;
  SeededRandom random;
  MemoryStore store;
  logging::NullLogger logger;
  DutyLease lease;
};

/// Machines that act as often as they may.
class Machines {
 public:
  explicit Machines(std::size_t count, Defects defects = {})
      : alive(count, true), defects_(defects) {
    for (std::size_t i = 0; i != count; ++i) {
      nodes.push_back(make(i));
    }
    act();
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  void kill(std::size_t machine) {
    retired_.push_back(std::move(nodes[machine]));
    retired_.back()->store.partitioned = true;
    alive[machine] = false;
  }
  void restart(std::size_t machine) {
    if (!alive[machine]) {
      alive[machine] = true;
      nodes[machine] = make(machine);
    }
  }
  std::optional<std::size_t> holder() const {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      if (alive[i] && nodes[i]->lease.fence()) {
        return i;
      }
    }
    return std::nullopt;
  }
  /// The store comes back from a copy; each node learns of it a while later, by a look.
  void set_back_to(const StoreState::Snapshot& copy) {
    state.restore(copy);
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      Candidate* node = nodes[i].get();
      if (!alive[i]) {
        continue;
      }
      node->machine.schedule_after(Duration(200ms) * (i + 1),
                                   [node] { node->lease.on_store_set_back(); });
    }
  }
  /// What the rules say of the acts seen: fences never fall and name one machine, and no machine
  /// acts on both sides of another's act within a lease.
  std::string broken() const {
    std::map<Fence, std::size_t> owners;
    for (std::size_t i = 0; i != acts.size(); ++i) {
      if (owners.try_emplace(acts[i].fence, acts[i].machine).first->second != acts[i].machine) {
        return "two machines shared a fence";
      }
      if (i != 0 && acts[i].fence < acts[i - 1].fence) {
        return "a fence fell";
      }
    }
    for (std::size_t i = 0; i != acts.size(); ++i) {
      bool other = false;
      for (std::size_t j = i + 1; j != acts.size() && acts[j].at - acts[i].at < kLease; ++j) {
        other = other || acts[j].machine != acts[i].machine;
        if (other && acts[j].machine == acts[i].machine) {
          return "a machine acted before and after another within a lease";
        }
      }
    }
    return "";
  }

  simulation::VirtualTime time;
  StoreState state{time};
  std::vector<std::unique_ptr<Candidate>> nodes;
  std::vector<bool> alive;
  std::vector<Act> acts;

 private:
  std::unique_ptr<Candidate> make(std::size_t machine) {
    return std::make_unique<Candidate>(time, state, machine, ++lives_, defects_, [this, machine] {
      // Whoever lives and comes first; all look at the same.
      for (std::size_t i = 0; i != machine; ++i) {
        if (alive[i] && !nodes[i]->store.partitioned && !nodes[i]->store.refuses_calls &&
            !nodes[i]->machine.suspended()) {
          return false;
        }
      }
      return true;
    });
  }
  void act() {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      if (alive[i] && !nodes[i]->machine.suspended()) {
        if (const auto fence = nodes[i]->lease.fence()) {
          acts.push_back({time.now(), i, *fence});
        }
      }
    }
    time.schedule_after(50ms, [this] { act(); });
  }

  Defects defects_;
  std::uint64_t lives_ = 0;
  std::vector<std::unique_ptr<Candidate>> retired_;  ///< Timers may still name them.
};

}  // namespace

TEST_CASE("the first choice takes the lease and keeps it; the others leave the store alone") {
  Machines world(5);
  world.advance(2s);
  REQUIRE(world.holder() == 0);
  const std::uint64_t before = world.nodes[3]->store.calls;
  world.advance(60s);
  CHECK(world.holder() == 0);
  CHECK(world.nodes[3]->store.calls == before);
  CHECK(world.broken().empty());
}

TEST_CASE("a killed holder is followed within its lease and a claim") {
  Machines world(3);
  world.advance(5s);
  world.kill(0);
  world.advance(kLease + 2500ms);
  CHECK(world.holder() == 1);
  CHECK(world.broken().empty());
}

TEST_CASE("a planned stop hands over at once") {
  Machines world(3);
  world.advance(5s);
  world.nodes[0]->lease.stop();
  world.alive[0] = false;
  world.advance(700ms);
  CHECK(world.holder() == 1);
}

TEST_CASE("a suspended holder never acts on its old lease when it wakes") {
  Machines world(3);
  world.advance(5s);
  world.nodes[0]->machine.suspend(6s);
  world.advance(5900ms);
  REQUIRE(world.holder() == 1);
  world.advance(200ms);
  CHECK_FALSE(world.nodes[0]->lease.fence());
  world.advance(10s);
  CHECK(world.broken().empty());
}

TEST_CASE(
    "holders suspended in a series, each before the one before has woken, never act by turns") {
  Machines world(6);
  world.advance(5s);
  for (int round = 0; round != 20; ++round) {
    if (const auto holder = world.holder()) {
      world.nodes[*holder]->machine.suspend(Duration(4s) + round % 5 * 900ms);
    }
    world.advance(3300ms);
    CHECK(world.broken().empty());
  }
}

TEST_CASE("the tests see a holder whose clock stands still while it is suspended") {
  Machines world(3, {.still_clock = true});
  world.advance(5s);
  world.nodes[0]->machine.suspend(6s);
  world.advance(8s);
  CHECK_FALSE(world.broken().empty());
}

TEST_CASE("the tests see a holder that outlives its lease") {
  Machines world(3, {.margin = -10s});
  world.advance(5s);
  world.nodes[0]->store.partitioned = true;
  world.advance(8s);
  CHECK_FALSE(world.broken().empty());
}

TEST_CASE(
    "while the store is out nobody acts for longer than the lease, and the holder goes on after") {
  Machines world(3);
  world.advance(5s);
  world.state.down = true;
  world.advance(kLease);
  CHECK_FALSE(world.holder());
  // Leases wait in the meantime, as the store may have it.
  for (auto& [id, lease] : world.state.leases) {
    lease.ends += 60s;
  }
  world.advance(20s);
  world.state.down = false;
  world.advance(1s);
  CHECK(world.holder() == 0);
  CHECK(world.broken().empty());
}

TEST_CASE("a holder that the store turns away is followed by another") {
  Machines world(3);
  world.advance(5s);
  world.nodes[0]->store.refuses_calls = true;
  world.advance(kLease + 2500ms);
  CHECK(world.holder() == 1);
  world.nodes[0]->store.refuses_calls = false;
  world.advance(10s);
  CHECK(world.holder() == 1);
  CHECK(world.broken().empty());
}

TEST_CASE("a claim whose answer was lost is found again, and not made twice") {
  Machines world(1);
  world.nodes[0]->store.drops_answers = true;
  world.advance(10s);
  CHECK_FALSE(world.holder());
  world.nodes[0]->store.drops_answers = false;
  world.advance(8s);
  CHECK(world.holder() == 0);
  CHECK(world.broken().empty());
}

TEST_CASE("a node that held before its successor waits for a lease before it acts again") {
  Machines world(2);
  world.advance(5s);
  world.kill(0);
  world.advance(6s);
  REQUIRE(world.holder() == 1);
  world.restart(0);
  world.nodes[1]->lease.stop();
  world.alive[1] = false;
  world.advance(2s);
  CHECK_FALSE(world.holder());
  world.advance(3s);
  CHECK(world.holder() == 0);
  CHECK(world.broken().empty());
}

TEST_CASE("an unfit holder gives the lease back after a while") {
  simulation::VirtualTime time;
  StoreState state(time);
  MemoryStore store(time, state, time);
  SeededRandom random(1);
  logging::NullLogger logger;
  bool fit = true;
  DutyLease lease(
      {time, time, random, store, logger},
      {.holder_key = "h", .history_key = "i", .offset_key = "o", .node = NodeId("n"), .life = 1},
      {.to_claim = [&] { return fit; }, .to_hold = [&] { return fit; }});
  lease.start();
  time.run_until(time.now() + 3s);
  REQUIRE(lease.fence());
  fit = false;
  time.run_until(time.now() + 4s);
  CHECK(lease.fence());
  time.run_until(time.now() + 4s);
  CHECK_FALSE(lease.fence());
  CHECK_FALSE(state.items.contains("h"));
}

TEST_CASE("a holder that the store has forgotten is followed under a higher fence, not by turns") {
  Machines world(3);
  const StoreState::Snapshot before = world.state.snapshot();
  world.advance(5s);
  REQUIRE(world.holder() == 0);
  const Fence last = *world.nodes[0]->lease.fence();
  // The holder is cut off as the store comes back without its lease: another is free to claim.
  world.nodes[0]->store.partitioned = true;
  world.set_back_to(before);
  world.advance(20s);
  REQUIRE(world.holder() == 1);
  CHECK(*world.nodes[1]->lease.fence() > last);
  CHECK(world.broken().empty());
}

TEST_CASE("fences rise on when all nodes start anew after the store has come back older") {
  Machines world(2);
  world.advance(5s);
  const StoreState::Snapshot copy = world.state.snapshot();
  for (int round = 0; round != 3; ++round) {
    world.kill(0);
    world.advance(6s);
    world.restart(0);
    world.kill(1);
    world.advance(6s);
    world.restart(1);
  }
  world.set_back_to(copy);
  for (std::size_t i = 0; i != 2; ++i) {
    world.kill(i);
    world.restart(i);
  }
  world.advance(20s);
  REQUIRE(world.holder());
  CHECK(world.broken().empty());
}

TEST_CASE("whatever happens, holders follow each other with rising fences and never by turns") {
  CHECK(rc::check("kills, freezes, cuts, restarts, lost and late answers, a store set back", [] {
    constexpr std::size_t kMachines = 6;
    Machines world(kMachines);
    StoreState::Snapshot copy = world.state.snapshot();
    for (int step = 0; step != 30; ++step) {
      // The holder is struck more often than the others.
      const std::size_t any = *rc::gen::inRange<std::size_t>(0, kMachines);
      world.restart(any);
      const std::size_t machine = *rc::gen::inRange(0, 2) == 0 ? world.holder().value_or(any) : any;
      Candidate& node = *world.nodes[world.alive[machine] ? machine : any];
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          if (world.alive[machine]) {
            world.kill(machine);
          }
          break;
        case 1:
          for (std::size_t i = 0; i != kMachines; ++i) {
            world.restart(i);
          }
          break;
        case 2:
          if (world.alive[machine]) {
            node.machine.suspend(*rc::gen::inRange(1, 9) * 1s);
          }
          break;
        case 3:
          node.store.partitioned = !node.store.partitioned;
          break;
        case 4:
          node.store.refuses_calls = !node.store.refuses_calls;
          break;
        case 5:
          node.store.drops_answers = !node.store.drops_answers;
          break;
        case 6:
          node.store.execution_delay =
              node.store.execution_delay == Duration::zero() ? 4s : Duration::zero();
          break;
        case 7:
          world.state.down = !world.state.down;
          break;
        case 8:
          copy = world.state.snapshot();
          break;
        default:
          world.set_back_to(copy);
          break;
      }
      world.advance(*rc::gen::inRange(1, 40) * 100ms);
      RC_ASSERT(world.broken() == "");
    }
  }));
}
