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

struct Use {
  MonotonicTime at;
  std::size_t machine;
  Fence fence;
};

/// Injected ones.
struct Defects {
  Duration safety_margin{400ms};  ///< Below zero: a holder trusts its lease after its end.
  bool still_clock = false;  ///< Nodes go by a clock that stands still while they are suspended.
};

struct Candidate {
  Candidate(simulation::VirtualTime& time, StoreState& state, std::size_t number,
            std::uint64_t incarnation, const Defects& defects, std::function<bool()> first)
      : machine(time),
        random(incarnation),
        store(time, state, machine),
        lease({defects.still_clock ? machine.still_clock() : machine.clock(), machine, random,
               store, logger},
              {.holder_key = "d/holder",
               .history_key = "d/history",
               .offset_key = "d/offset",
               .node = NodeId("n" + std::to_string(number)),
               .incarnation = incarnation,
               .time_to_live = kLease,
               .safety_margin = defects.safety_margin},
              {.to_claim = std::move(first), .to_hold = [] { return true; }}) {
    lease.start();
  }

  simulation::SuspendableMachine machine;
  SeededRandom random;
  MemoryStore store;
  logging::NullLogger logger;
  DutyLease lease;
};

/// Fleet that act as often as they may.
class Fleet {
 public:
  explicit Fleet(std::size_t count, Defects defects = {}) : alive(count, true), defects_(defects) {
    for (std::size_t i = 0; i != count; ++i) {
      nodes.push_back(make(i));
    }
    record_uses();
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  void kill(std::size_t machine) {
    killed_.push_back(std::move(nodes[machine]));
    killed_.back()->store.cut = true;
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
  void roll_back_to(const StoreState::Copy& copy) {
    state.set_back_to(copy);
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      Candidate* node = nodes[i].get();
      if (!alive[i]) {
        continue;
      }
      node->machine.schedule_after(Duration(200ms) * (i + 1),
                                   [node] { node->lease.on_store_rolled_back(); });
    }
  }
  /// What the rules say of the uses seen: fences never fall and name one machine, and no machine
  /// uses on both sides of another's act within a lease.
  std::string violation() const {
    std::map<Fence, std::size_t> owners;
    for (std::size_t i = 0; i != uses.size(); ++i) {
      if (owners.try_emplace(uses[i].fence, uses[i].machine).first->second != uses[i].machine) {
        return "two machines shared a fence";
      }
      if (i != 0 && uses[i].fence < uses[i - 1].fence) {
        return "a fence fell";
      }
    }
    for (std::size_t i = 0; i != uses.size(); ++i) {
      bool other = false;
      for (std::size_t j = i + 1; j != uses.size() && uses[j].at - uses[i].at < kLease; ++j) {
        other = other || uses[j].machine != uses[i].machine;
        if (other && uses[j].machine == uses[i].machine) {
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
  std::vector<Use> uses;

 private:
  std::unique_ptr<Candidate> make(std::size_t machine) {
    return std::make_unique<Candidate>(
        time, state, machine, ++incarnations_, defects_, [this, machine] {
          // Whoever lives and comes first; all look at the same.
          for (std::size_t i = 0; i != machine; ++i) {
            if (alive[i] && !nodes[i]->store.cut && !nodes[i]->store.turned_away &&
                !nodes[i]->machine.suspended()) {
              return false;
            }
          }
          return true;
        });
  }
  void record_uses() {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      if (alive[i] && !nodes[i]->machine.suspended()) {
        if (const auto fence = nodes[i]->lease.fence()) {
          uses.push_back({time.now(), i, *fence});
        }
      }
    }
    time.schedule_after(50ms, [this] { record_uses(); });
  }

  Defects defects_;
  std::uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<Candidate>> killed_;  ///< Timers may still name them.
};

}  // namespace

TEST_CASE("the first choice takes the lease and keeps it; the others leave the store alone") {
  Fleet fleet(5);
  fleet.advance(2s);
  REQUIRE(fleet.holder() == 0);
  const std::uint64_t before = fleet.nodes[3]->store.calls;
  fleet.advance(60s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.nodes[3]->store.calls == before);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a killed holder is followed within its lease and a claim") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.kill(0);
  fleet.advance(kLease + 2500ms);
  CHECK(fleet.holder() == 1);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a planned stop hands over at once") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.nodes[0]->lease.stop();
  fleet.alive[0] = false;
  fleet.advance(700ms);
  CHECK(fleet.holder() == 1);
}

TEST_CASE("a suspended holder never uses on its old lease when it wakes") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.nodes[0]->machine.suspend(6s);
  fleet.advance(5900ms);
  REQUIRE(fleet.holder() == 1);
  fleet.advance(200ms);
  CHECK_FALSE(fleet.nodes[0]->lease.fence());
  fleet.advance(10s);
  CHECK(fleet.violation().empty());
}

TEST_CASE(
    "holders suspended in a series, each before the one before has woken, never act by turns") {
  Fleet fleet(6);
  fleet.advance(5s);
  for (int round = 0; round != 20; ++round) {
    if (const auto holder = fleet.holder()) {
      fleet.nodes[*holder]->machine.suspend(Duration(4s) + round % 5 * 900ms);
    }
    fleet.advance(3300ms);
    CHECK(fleet.violation().empty());
  }
}

TEST_CASE("the tests see a holder whose clock stands still while it is suspended") {
  Fleet fleet(3, {.still_clock = true});
  fleet.advance(5s);
  fleet.nodes[0]->machine.suspend(6s);
  fleet.advance(8s);
  CHECK_FALSE(fleet.violation().empty());
}

TEST_CASE("the tests see a holder that outlives its lease") {
  Fleet fleet(3, {.safety_margin = -10s});
  fleet.advance(5s);
  fleet.nodes[0]->store.cut = true;
  fleet.advance(8s);
  CHECK_FALSE(fleet.violation().empty());
}

TEST_CASE(
    "while the store is out nobody uses for longer than the lease, and the holder goes on after") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.state.down = true;
  fleet.advance(kLease);
  CHECK_FALSE(fleet.holder());
  // Leases wait in the meantime, as the store may have it.
  for (auto& [id, lease] : fleet.state.leases) {
    lease.ends += 60s;
  }
  fleet.advance(20s);
  fleet.state.down = false;
  fleet.advance(1s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a holder that the store turns away is followed by another") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.nodes[0]->store.turned_away = true;
  fleet.advance(kLease + 2500ms);
  CHECK(fleet.holder() == 1);
  fleet.nodes[0]->store.turned_away = false;
  fleet.advance(10s);
  CHECK(fleet.holder() == 1);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a claim whose answer was lost is found again, and not made twice") {
  Fleet fleet(1);
  fleet.nodes[0]->store.answers_lost = true;
  fleet.advance(10s);
  CHECK_FALSE(fleet.holder());
  fleet.nodes[0]->store.answers_lost = false;
  fleet.advance(8s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a node that held before its successor waits for a lease before it uses again") {
  Fleet fleet(2);
  fleet.advance(5s);
  fleet.kill(0);
  fleet.advance(6s);
  REQUIRE(fleet.holder() == 1);
  fleet.restart(0);
  fleet.nodes[1]->lease.stop();
  fleet.alive[1] = false;
  fleet.advance(2s);
  CHECK_FALSE(fleet.holder());
  fleet.advance(3s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.violation().empty());
}

TEST_CASE("an unfit holder gives the lease back after a while") {
  simulation::VirtualTime time;
  StoreState state(time);
  MemoryStore store(time, state, time);
  SeededRandom random(1);
  logging::NullLogger logger;
  bool fit = true;
  DutyLease lease({time, time, random, store, logger},
                  {.holder_key = "h",
                   .history_key = "i",
                   .offset_key = "o",
                   .node = NodeId("n"),
                   .incarnation = 1},
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
  Fleet fleet(3);
  const StoreState::Copy before = fleet.state.copy();
  fleet.advance(5s);
  REQUIRE(fleet.holder() == 0);
  const Fence last = *fleet.nodes[0]->lease.fence();
  // The holder is cut off as the store comes back without its lease: another is free to claim.
  fleet.nodes[0]->store.cut = true;
  fleet.roll_back_to(before);
  fleet.advance(20s);
  REQUIRE(fleet.holder() == 1);
  CHECK(*fleet.nodes[1]->lease.fence() > last);
  CHECK(fleet.violation().empty());
}

TEST_CASE("fences rise on when all nodes start anew after the store has come back older") {
  Fleet fleet(2);
  fleet.advance(5s);
  const StoreState::Copy copy = fleet.state.copy();
  for (int round = 0; round != 3; ++round) {
    fleet.kill(0);
    fleet.advance(6s);
    fleet.restart(0);
    fleet.kill(1);
    fleet.advance(6s);
    fleet.restart(1);
  }
  fleet.roll_back_to(copy);
  for (std::size_t i = 0; i != 2; ++i) {
    fleet.kill(i);
    fleet.restart(i);
  }
  fleet.advance(20s);
  REQUIRE(fleet.holder());
  CHECK(fleet.violation().empty());
}

TEST_CASE("whatever happens, holders follow each other with rising fences and never by turns") {
  CHECK(rc::check("kills, freezes, cuts, restarts, lost and late answers, a store set back", [] {
    constexpr std::size_t kNodes = 6;
    Fleet fleet(kNodes);
    StoreState::Copy copy = fleet.state.copy();
    for (int step = 0; step != 30; ++step) {
      // The holder is struck more often than the others.
      const std::size_t any = *rc::gen::inRange<std::size_t>(0, kNodes);
      fleet.restart(any);
      const std::size_t machine = *rc::gen::inRange(0, 2) == 0 ? fleet.holder().value_or(any) : any;
      Candidate& node = *fleet.nodes[fleet.alive[machine] ? machine : any];
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          if (fleet.alive[machine]) {
            fleet.kill(machine);
          }
          break;
        case 1:
          for (std::size_t i = 0; i != kNodes; ++i) {
            fleet.restart(i);
          }
          break;
        case 2:
          if (fleet.alive[machine]) {
            node.machine.suspend(*rc::gen::inRange(1, 9) * 1s);
          }
          break;
        case 3:
          node.store.cut = !node.store.cut;
          break;
        case 4:
          node.store.turned_away = !node.store.turned_away;
          break;
        case 5:
          node.store.answers_lost = !node.store.answers_lost;
          break;
        case 6:
          node.store.done_late = node.store.done_late == Duration::zero() ? 4s : Duration::zero();
          break;
        case 7:
          fleet.state.down = !fleet.state.down;
          break;
        case 8:
          copy = fleet.state.copy();
          break;
        default:
          fleet.roll_back_to(copy);
          break;
      }
      fleet.advance(*rc::gen::inRange(1, 40) * 100ms);
      RC_ASSERT(fleet.violation() == "");
    }
  }));
}
