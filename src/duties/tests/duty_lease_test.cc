// Tests that at most one node holds the duties during node and store failures.
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

/// Injected faults that the checker must detect.
struct Defects {
  Duration safety_margin{400ms};  ///< Negative: a holder relies on its lease after it expired.
  bool still_clock = false;       ///< Nodes use a clock that stops while they are suspended.
};

struct Candidate {
  Candidate(simulation::VirtualTime& time, StoreState& state, std::size_t number,
            std::uint64_t incarnation, const Defects& defects, std::function<bool()> may_claim)
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
              {.to_claim = std::move(may_claim), .to_hold = [] { return true; }}) {
    lease.start();
  }

  simulation::SuspendableMachine machine;
  SeededRandom random;
  MemoryStore store;
  logging::NullLogger logger;
  DutyLease lease;
};

/// Several nodes on one store; each uses its fence whenever it has one.
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
    killed_.back()->store.partitioned = true;
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
  /// Restores the store from a copy; each node is notified some time later.
  void roll_back_to(const StoreState::Snapshot& copy) {
    state.restore(copy);
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      Candidate* node = nodes[i].get();
      if (!alive[i]) {
        continue;
      }
      node->machine.schedule_after(Duration(200ms) * (i + 1),
                                   [node] { node->lease.on_store_rolled_back(); });
    }
  }
  /// Checks the recorded uses: fences never decrease, each belongs to one machine, and no machine
  /// uses its fence both before and after another machine within one lease. Returns the first
  /// violation, or an empty string.
  std::string violation() const {
    std::map<Fence, std::size_t> owners;
    for (std::size_t i = 0; i != uses.size(); ++i) {
      if (owners.try_emplace(uses[i].fence, uses[i].machine).first->second != uses[i].machine) {
        return "two machines shared a fence";
      }
      if (i != 0 && uses[i].fence < uses[i - 1].fence) {
        return "a fence decreased";
      }
    }
    for (std::size_t i = 0; i != uses.size(); ++i) {
      bool other = false;
      for (std::size_t j = i + 1; j != uses.size() && uses[j].at - uses[i].at < kLease; ++j) {
        other = other || uses[j].machine != uses[i].machine;
        if (other && uses[j].machine == uses[i].machine) {
          return "a machine used its fence before and after another within a lease";
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
          // The first node that is up and can reach the store is eligible.
          for (std::size_t i = 0; i != machine; ++i) {
            if (alive[i] && !nodes[i]->store.partitioned && !nodes[i]->store.refuses_calls &&
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
  /// Kept alive because scheduled timers may still refer to them.
  std::vector<std::unique_ptr<Candidate>> killed_;
};

}  // namespace

TEST_CASE("the eligible node acquires and keeps the lease; the others make no store calls") {
  Fleet fleet(5);
  fleet.advance(2s);
  REQUIRE(fleet.holder() == 0);
  const std::uint64_t before = fleet.nodes[3]->store.calls;
  fleet.advance(60s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.nodes[3]->store.calls == before);
  CHECK(fleet.violation().empty());
}

TEST_CASE(
    "after the holder is killed, another node takes over within a lease and a claim interval") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.kill(0);
  fleet.advance(kLease + 2500ms);
  CHECK(fleet.holder() == 1);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a planned stop hands the lease over immediately") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.nodes[0]->lease.stop();
  fleet.alive[0] = false;
  fleet.advance(700ms);
  CHECK(fleet.holder() == 1);
}

TEST_CASE("a suspended holder does not use its expired lease after it resumes") {
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
    "successive holders suspended before the previous one resumes never alternate within a lease") {
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

TEST_CASE("the checker detects a holder whose clock stops while it is suspended") {
  Fleet fleet(3, {.still_clock = true});
  fleet.advance(5s);
  fleet.nodes[0]->machine.suspend(6s);
  fleet.advance(8s);
  CHECK_FALSE(fleet.violation().empty());
}

TEST_CASE("the checker detects a holder that uses its fence after the lease expired") {
  Fleet fleet(3, {.safety_margin = -10s});
  fleet.advance(5s);
  fleet.nodes[0]->store.partitioned = true;
  fleet.advance(8s);
  CHECK_FALSE(fleet.violation().empty());
}

TEST_CASE(
    "the holder has no fence after a store outage of one lease, and regains it when the store "
    "returns") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.state.down = true;
  fleet.advance(kLease);
  CHECK_FALSE(fleet.holder());
  // The store may extend its leases during the outage.
  for (auto& [id, lease] : fleet.state.leases) {
    lease.ends += 60s;
  }
  fleet.advance(20s);
  fleet.state.down = false;
  fleet.advance(1s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.violation().empty());
}

TEST_CASE("another node takes over when the store refuses the calls of the holder") {
  Fleet fleet(3);
  fleet.advance(5s);
  fleet.nodes[0]->store.refuses_calls = true;
  fleet.advance(kLease + 2500ms);
  CHECK(fleet.holder() == 1);
  fleet.nodes[0]->store.refuses_calls = false;
  fleet.advance(10s);
  CHECK(fleet.holder() == 1);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a committed claim whose answer was lost is detected and not repeated") {
  Fleet fleet(1);
  fleet.nodes[0]->store.drops_answers = true;
  fleet.advance(10s);
  CHECK_FALSE(fleet.holder());
  fleet.nodes[0]->store.drops_answers = false;
  fleet.advance(8s);
  CHECK(fleet.holder() == 0);
  CHECK(fleet.violation().empty());
}

TEST_CASE("a node that held the duties before the previous holder waits for a full lease") {
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

TEST_CASE("a holder that stays ineligible releases the lease after the grace period") {
  simulation::VirtualTime time;
  StoreState state(time);
  MemoryStore store(time, state, time);
  SeededRandom random(1);
  logging::NullLogger logger;
  bool eligible = true;
  DutyLease lease({time, time, random, store, logger},
                  {.holder_key = "h",
                   .history_key = "i",
                   .offset_key = "o",
                   .node = NodeId("n"),
                   .incarnation = 1},
                  {.to_claim = [&] { return eligible; }, .to_hold = [&] { return eligible; }});
  lease.start();
  time.run_until(time.now() + 3s);
  REQUIRE(lease.fence());
  eligible = false;
  time.run_until(time.now() + 4s);
  CHECK(lease.fence());
  time.run_until(time.now() + 4s);
  CHECK_FALSE(lease.fence());
  CHECK_FALSE(state.items.contains("h"));
}

TEST_CASE("after a rollback that drops the holder, another node takes over under a higher fence") {
  Fleet fleet(3);
  const StoreState::Snapshot before = fleet.state.snapshot();
  fleet.advance(5s);
  REQUIRE(fleet.holder() == 0);
  const Fence last = *fleet.nodes[0]->lease.fence();
  // The holder is partitioned while the store is restored without its lease, so another node is
  // free to claim.
  fleet.nodes[0]->store.partitioned = true;
  fleet.roll_back_to(before);
  fleet.advance(20s);
  REQUIRE(fleet.holder() == 1);
  CHECK(*fleet.nodes[1]->lease.fence() > last);
  CHECK(fleet.violation().empty());
}

TEST_CASE("fences keep increasing when all nodes restart after the store was rolled back") {
  Fleet fleet(2);
  fleet.advance(5s);
  const StoreState::Snapshot copy = fleet.state.snapshot();
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

TEST_CASE("under random faults, fences increase and holders never alternate within a lease") {
  CHECK(rc::check(
      "kills, suspensions, partitions, restarts, lost and late answers, store rollbacks", [] {
        constexpr std::size_t kNodes = 6;
        Fleet fleet(kNodes);
        StoreState::Snapshot copy = fleet.state.snapshot();
        for (int step = 0; step != 30; ++step) {
          // Faults hit the holder more often than other nodes.
          const std::size_t any = *rc::gen::inRange<std::size_t>(0, kNodes);
          fleet.restart(any);
          const std::size_t machine =
              *rc::gen::inRange(0, 2) == 0 ? fleet.holder().value_or(any) : any;
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
              fleet.state.down = !fleet.state.down;
              break;
            case 8:
              copy = fleet.state.snapshot();
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
