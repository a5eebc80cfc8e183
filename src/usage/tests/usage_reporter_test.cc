// Tests that each window is reported once, across holder changes and lost answers.
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

/// Accepts reports like the platform, and detects conflicting ones.
class FakeSink final : public UsageSink {
 public:
  explicit FakeSink(simulation::VirtualTime& time) : time_(time) {}

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
        const auto known = reported.try_emplace(counts.window, counts.counts).first;
        conflicting = conflicting || known->second != counts.counts;
        reported_at.try_emplace(counts.window, time_.now());
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

  std::map<WindowNumber, TenantCounts> reported;
  std::map<WindowNumber, MonotonicTime> reported_at;
  bool conflicting = false;
  bool down = false;
  bool answers_lost = false;
  std::uint64_t calls = 0;

 private:
  simulation::VirtualTime& time_;
  duties::Fence highest_;
};

struct Reporter {
  Reporter(simulation::VirtualTime& time, StoreState& state, FakeSink& sink, std::string name,
           std::uint64_t incarnation, std::function<bool()> first)
      : random(incarnation),
        store(time, state, time),
        wall(time, time),
        lease({time, time, random, store, logger},
              {.holder_key = "holder",
               .history_key = "history",
               .offset_key = "offset",
               .node = NodeId(std::move(name)),
               .incarnation = incarnation},
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

/// Two nodes that may report, and one counter that adds a run every 10 ms.
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
      replaced_.push_back(std::move(nodes[node]));
      alive[node] = true;
      nodes[node] = make(static_cast<int>(node));
    }
  }

  simulation::VirtualTime time;
  StoreState state{time};
  FakeSink sink{time};
  std::vector<std::unique_ptr<Reporter>> nodes;
  std::vector<bool> alive{true, true};

 private:
  std::unique_ptr<Reporter> make(int node) {
    return std::make_unique<Reporter>(time, state, sink, "n" + std::to_string(node),
                                      ++incarnations_,
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
        nodes[i]->tally.add(report);
      }
    }
    time.schedule_after(10ms, [this] { count(); });
  }

  std::uint64_t incarnations_ = 0;
  std::map<WindowNumber, TenantCounts> runs_;
  std::vector<std::unique_ptr<Reporter>> replaced_;
};

}  // namespace

TEST_CASE("each window is reported once, completely and before its deadline") {
  ReporterFixture fixture;
  fixture.advance(62s);
  REQUIRE(fixture.sink.reported.size() >= 11);
  CHECK(fixture.sink.calls == fixture.sink.reported.size());
  for (const auto& [window, counts] : fixture.sink.reported) {
    CHECK(counts.at(kTenant) == 500);
    CHECK(fixture.sink.reported_at.at(window) -
              MonotonicTime(kWindows.end_of(window).time_since_epoch()) <
          2s);
  }
}

TEST_CASE("a report without an answer is retried unchanged") {
  ReporterFixture fixture;
  fixture.sink.answers_lost = true;
  fixture.advance(9s);
  fixture.sink.answers_lost = false;
  fixture.advance(20s);
  CHECK_FALSE(fixture.sink.conflicting);
  CHECK(fixture.sink.reported.size() >= 4);
}

TEST_CASE("a successor reports the sum stored by its predecessor, even if its own count differs") {
  ReporterFixture fixture;
  fixture.sink.down = true;
  fixture.advance(6500ms);
  REQUIRE(fixture.state.items.contains("usage/0"));
  // Late counts must not change the stored sum.
  fixture.nodes[1]->tally.add({NodeId("late"), 1, {{WindowNumber(0), {{kTenant, 77}}}}});
  fixture.kill(0);
  fixture.advance(5s);
  fixture.sink.down = false;
  fixture.advance(2s);
  REQUIRE(fixture.sink.reported.contains(WindowNumber(0)));
  CHECK(fixture.sink.reported.at(WindowNumber(0)).at(kTenant) == 500);
}

TEST_CASE("windows not accepted before their deadline are dropped and counted as missed") {
  ReporterFixture fixture;
  fixture.sink.down = true;
  fixture.advance(30s);
  fixture.sink.down = false;
  fixture.advance(10s);
  CHECK_FALSE(fixture.sink.reported.contains(WindowNumber(0)));
  CHECK(fixture.nodes[0]->reporter.statistics().missed >= 2);
  CHECK(fixture.state.items.size() < 14);
}

TEST_CASE("under random faults, no two reports of a window conflict") {
  CHECK(rc::check("kills, restarts, store outages, lost answers on both sides", [] {
    ReporterFixture fixture;
    for (int step = 0; step != 25; ++step) {
      const std::size_t node = *rc::gen::inRange<std::size_t>(0, 2);
      MemoryStore& store = fixture.nodes[node]->store;
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          fixture.kill(node);
          break;
        case 1:
          fixture.restart(node);
          break;
        case 2:
          fixture.sink.down = !fixture.sink.down;
          break;
        case 3:
          fixture.sink.answers_lost = !fixture.sink.answers_lost;
          break;
        case 4:
          fixture.state.down = !fixture.state.down;
          break;
        case 5:
          store.drops_answers = !store.drops_answers;
          break;
        default:
          store.execution_delay = store.execution_delay == Duration::zero() ? 3s : Duration::zero();
          break;
      }
      fixture.advance(*rc::gen::inRange(1, 50) * 100ms);
      RC_ASSERT_FALSE(fixture.sink.conflicting);
    }
  }));
}

// A store rollback removes the stored sum of a window that was already reported. The next holder
// would then store its own, different sum and report the window twice with different counts.
TEST_CASE("a reported sum stays the same after a store rollback that removes it") {
  ReporterFixture fixture;
  fixture.advance(9s);
  const StoreState::Snapshot copy = fixture.state.snapshot();
  const std::size_t reported = fixture.sink.reported.size();
  while (fixture.sink.reported.size() == reported) {
    fixture.advance(50ms);
  }
  const WindowNumber last = fixture.sink.reported.rbegin()->first;
  // Another node has received more runs for that window.
  fixture.nodes[1]->tally.add({NodeId("late"), 9, {{last, {{kTenant, 5}}}}});
  fixture.state.restore(copy);
  for (const auto& node : fixture.nodes) {
    node->lease.on_store_rolled_back();
    node->reporter.on_store_rolled_back();
  }
  fixture.alive[0] = false;
  fixture.nodes[0]->lease.stop();
  fixture.advance(12s);
  CHECK(fixture.nodes[1]->lease.times_gained() == 1);
  CHECK_FALSE(fixture.sink.conflicting);
}
