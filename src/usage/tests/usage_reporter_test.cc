// Each window is reported once, whoever holds the duties and whatever answers are lost.
#include "usage/usage_reporter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shared_store/tests/memory_store.h"

using namespace ochrespring;
using namespace ochrespring::usage;
using namespace std::chrono_literals;
using duties::DutyErrc;
using shared_store::testing::MemoryStore;
using shared_store::testing::StoreState;

namespace {

constexpr WindowLength kWindows{5s};
const TenantName kTenant("t");

/// Takes reports as the platform does, and sees what is wrong with them.
class PlayedSink final : public UsageSink {
 public:
  explicit PlayedSink(simulation::VirtualTime& time) : time_(time) {}

  void report_usage(duties::Fence fence, const WindowCounts& counts,
                    duties::DutyCallback done) override {
    ++calls;
    if (down) {
      time_.schedule_after(5ms,
                           [done] { done(duties::DutyResult(fail(DutyErrc::kNotDone, "down"))); });
      return;
    }
    time_.schedule_after(5ms, [this, fence, counts, done] {
      const bool old = fence < highest_;
      highest_ = std::max(highest_, fence);
      if (!old) {
        const auto known = told.try_emplace(counts.window, counts.counts).first;
        differed = differed || known->second != counts.counts;
        told_at.try_emplace(counts.window, time_.now());
      }
      if (answers_lost) {
        time_.schedule_after(
            1s, [done] { done(duties::DutyResult(fail(DutyErrc::kUnknownEffect, "silent"))); });
      } else if (old) {
        done(duties::DutyResult(fail(DutyErrc::kRefused, "fence")));
      } else {
        done(duties::DutyResult(outcome::success()));
      }
    });
  }

  std::map<WindowNumber, TenantCounts> told;
  std::map<WindowNumber, MonotonicTime> told_at;
  bool differed = false;
  bool down = false;
  bool answers_lost = false;
  std::uint64_t calls = 0;

 private:
  simulation::VirtualTime& time_;
  duties::Fence highest_;
};

struct Reporter {
  Reporter(simulation::VirtualTime& time, StoreState& state, PlayedSink& sink, std::string name,
           std::uint64_t life, std::function<bool()> first)
      : random(life),
        store(time, state, time),
        wall(time, time),
        lease({time, time, random, store, logger},
              {.holder_key = "holder",
               .history_key = "history",
               .offset_key = "offset",
               .node = NodeId(std::move(name)),
               .life = life},
              {.to_claim = std::move(first), .to_hold = [] { return true; }}),
        reporter({time, store, logger, wall, lease, tally, sink},
                 {.key_prefix = "usage/", .windows = kWindows}) {
    lease.on_gained([this] { reporter.on_gained(); });
    lease.start();
    reporter.start();
  }

  SeededRandom random;
  MemoryStore store;
  logging::NullLogger logger;
  WallClockEstimate wall;
  UsageTally tally;
  duties::DutyLease lease;
  UsageReporter reporter;
};

/// Two nodes that may report, and one that counts a run every 10 ms.
class ReporterFixture {
 public:
  ReporterFixture() {
    for (int i = 0; i != 2; ++i) {
      nodes.push_back(make(i));
    }
    count();
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  void kill(std::size_t node) {
    nodes[node]->store.partitioned = true;
    alive[node] = false;
  }
  void restart(std::size_t node) {
    if (!alive[node]) {
      retired_.push_back(std::move(nodes[node]));
      alive[node] = true;
      nodes[node] = make(static_cast<int>(node));
    }
  }

  simulation::VirtualTime time;
  StoreState state{time};
  PlayedSink sink{time};
  std::vector<std::unique_ptr<Reporter>> nodes;
  std::vector<bool> alive{true, true};

 private:
  std::unique_ptr<Reporter> make(int node) {
    return std::make_unique<Reporter>(time, state, sink, "n" + std::to_string(node), ++lives_,
                                      [this, node] { return node == 0 || !alive[0]; });
  }
  void count() {
    const WindowNumber window = kWindows.at(time.wall_now());
    ++runs_[window][kTenant];
    UsageReport report{NodeId("c"), 1, {}};
    for (const auto& [number, counts] : runs_) {
      if (number.value() + 3 > window.value()) {
        report.windows.push_back({number, counts});
      }
    }
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      if (alive[i] && nodes[i]) {
        nodes[i]->tally.take(report);
      }
    }
    time.schedule_after(10ms, [this] { count(); });
  }

  std::uint64_t lives_ = 0;
  std::map<WindowNumber, TenantCounts> runs_;
  std::vector<std::unique_ptr<Reporter>> retired_;
};

}  // namespace

TEST_CASE("each window is reported once, whole and in time") {
  ReporterFixture world;
  world.advance(62s);
  REQUIRE(world.sink.told.size() >= 11);
  CHECK(world.sink.calls == world.sink.told.size());
  for (const auto& [window, counts] : world.sink.told) {
    CHECK(counts.at(kTenant) == 500);
    CHECK(world.sink.told_at.at(window) -
              MonotonicTime(kWindows.end_of(window).time_since_epoch()) <
          2s);
  }
}

TEST_CASE("a report without an answer is repeated as it was") {
  ReporterFixture world;
  world.sink.answers_lost = true;
  world.advance(9s);
  world.sink.answers_lost = false;
  world.advance(20s);
  CHECK_FALSE(world.sink.differed);
  CHECK(world.sink.told.size() >= 4);
}

TEST_CASE("a successor tells what its predecessor wrote down, though it has counted otherwise") {
  ReporterFixture world;
  world.sink.down = true;
  world.advance(6500ms);
  REQUIRE(world.state.items.contains("usage/0"));
  // More comes in late: it must not change what was written down.
  world.nodes[1]->tally.take({NodeId("late"), 1, {{WindowNumber(0), {{kTenant, 77}}}}});
  world.kill(0);
  world.advance(5s);
  world.sink.down = false;
  world.advance(2s);
  REQUIRE(world.sink.told.contains(WindowNumber(0)));
  CHECK(world.sink.told.at(WindowNumber(0)).at(kTenant) == 500);
}

TEST_CASE("what the platform would not take in time is dropped, and told in the metrics") {
  ReporterFixture world;
  world.sink.down = true;
  world.advance(30s);
  world.sink.down = false;
  world.advance(10s);
  CHECK_FALSE(world.sink.told.contains(WindowNumber(0)));
  CHECK(world.nodes[0]->reporter.statistics().missed >= 2);
  CHECK(world.state.items.size() < 14);
}

TEST_CASE("never two reports of a window that differ, whatever fails") {
  CHECK(rc::check("kills, restarts, an outage of the store, lost answers on both sides", [] {
    ReporterFixture world;
    for (int step = 0; step != 25; ++step) {
      const std::size_t node = *rc::gen::inRange<std::size_t>(0, 2);
      MemoryStore& store = world.nodes[node]->store;
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          world.kill(node);
          break;
        case 1:
          world.restart(node);
          break;
        case 2:
          world.sink.down = !world.sink.down;
          break;
        case 3:
          world.sink.answers_lost = !world.sink.answers_lost;
          break;
        case 4:
          world.state.down = !world.state.down;
          break;
        case 5:
          store.drops_answers = !store.drops_answers;
          break;
        default:
          store.execution_delay = store.execution_delay == Duration::zero() ? 3s : Duration::zero();
          break;
      }
      world.advance(*rc::gen::inRange(1, 50) * 100ms);
      RC_ASSERT_FALSE(world.sink.differed);
    }
  }));
}

// A window was reported twice with other counts, in a fleet whose store had been set back: what had
// been written down before it was told was lost, and the next holder wrote what it had heard
// itself.
TEST_CASE("what was told stays as it was when the store comes back without it") {
  ReporterFixture world;
  world.advance(9s);
  const StoreState::Snapshot copy = world.state.snapshot();
  const std::size_t told = world.sink.told.size();
  while (world.sink.told.size() == told) {
    world.advance(50ms);
  }
  const WindowNumber last = world.sink.told.rbegin()->first;
  // Another node heard of more runs of that window.
  world.nodes[1]->tally.take({NodeId("late"), 9, {{last, {{kTenant, 5}}}}});
  world.state.restore(copy);
  for (const auto& node : world.nodes) {
    node->lease.on_store_set_back();
    node->reporter.on_store_set_back();
  }
  world.alive[0] = false;
  world.nodes[0]->lease.stop();
  world.advance(12s);
  CHECK(world.nodes[1]->lease.times_gained() == 1);
  CHECK_FALSE(world.sink.differed);
}
