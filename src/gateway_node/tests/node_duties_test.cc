// Usage reports of many nodes: one node reports the counts of all, also when nodes are killed.
#include "gateway_node/node_duties.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "shared_store/tests/memory_store.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node;
using namespace std::chrono_literals;
using shared_store::testing::MemoryStore;
using shared_store::testing::StoreState;

namespace {

constexpr usage::WindowLength kWindows{5s};
const TenantName kTenant("t");

class DutyFleet;

/// Stores the usage reported by one node in the fleet, as the platform does.
class FakeUsageSink final : public usage::UsageSink {
 public:
  FakeUsageSink(DutyFleet& fleet, std::size_t node) : fleet_(fleet), node_(node) {}
  void report_usage(duties::Fence fence, const usage::WindowCounts& counts,
                    duties::DutyCallback done) override;

 private:
  DutyFleet& fleet_;
  std::size_t node_;
};

struct DutyNode {
  DutyNode(DutyFleet& fleet, std::size_t number, std::uint64_t incarnation);

  SeededRandom random;
  MemoryStore store;
  gateway::FleetState view;
  FakeUsageSink sink;
  NodeDuties duties;
};

/// Nodes whose usage reports reach the first `kRelays` nodes after 1 ms.
class DutyFleet {
 public:
  static constexpr std::size_t kRelays = 5;

  explicit DutyFleet(std::size_t count) : alive(count, true) {
    for (std::size_t i = 0; i != count; ++i) {
      nodes.push_back(std::make_unique<DutyNode>(*this, i, ++incarnations_));
      nodes.back()->duties.start();
    }
    mark_views_current();
  }

  void advance(Duration span) { time.run_until(time.now() + span); }
  void kill(std::size_t node) {
    retired_.push_back(std::move(nodes[node]));
    retired_.back()->store.partitioned = true;
    alive[node] = false;
  }
  void restart(std::size_t node) {
    nodes[node] = std::make_unique<DutyNode>(*this, node, ++incarnations_);
    nodes[node]->duties.start();
    alive[node] = true;
  }
  /// Counts one run at a node, now.
  void run(std::size_t node) {
    nodes[node]->duties.note_run(kTenant, 0ms);
    ++expected[kWindows.at(time.wall_now())];
  }
  void broadcast_usage(const usage::UsageReport& report) {
    time.schedule_after(1ms, [this, report] {
      for (std::size_t i = 0; i != kRelays; ++i) {
        if (alive[i]) {
          nodes[i]->duties.receive_usage(report);
        }
      }
    });
  }
  bool is_first_alive(std::size_t node) const {
    for (std::size_t i = 0; i != node; ++i) {
      if (alive[i]) {
        return false;
      }
    }
    return true;
  }

  simulation::VirtualTime time;
  StoreState state{time};
  logging::NullLogger logger;
  std::vector<std::unique_ptr<DutyNode>> nodes;
  std::vector<bool> alive;
  std::map<usage::WindowNumber, std::uint32_t> expected;
  std::map<usage::WindowNumber, usage::TenantCounts> reported;
  bool reports_differ = false;

 private:
  void mark_views_current() {
    for (std::size_t i = 0; i != nodes.size(); ++i) {
      if (alive[i]) {
        nodes[i]->view.note_current(time.now());
      }
    }
    time.schedule_after(500ms, [this] { mark_views_current(); });
  }

  std::uint64_t incarnations_ = 0;
  std::vector<std::unique_ptr<DutyNode>> retired_;  ///< Timers may still refer to them.
};

void FakeUsageSink::report_usage(duties::Fence /*fence*/, const usage::WindowCounts& counts,
                                 duties::DutyCallback done) {
  if (!fleet_.alive[node_]) {
    return;
  }
  const auto known = fleet_.reported.try_emplace(counts.window, counts.counts).first;
  fleet_.reports_differ = fleet_.reports_differ || known->second != counts.counts;
  fleet_.time.schedule_after(5ms, [done] { done(duties::DutyResult(outcome::success())); });
}

DutyNode::DutyNode(DutyFleet& fleet, std::size_t number, std::uint64_t incarnation)
    : random(incarnation),
      store(fleet.time, fleet.state, fleet.time),
      sink(fleet, number),
      duties({fleet.time, fleet.time, random, store, fleet.logger, view, &sink, nullptr},
             {.key_prefix = "duties/",
              .node = NodeId("n" + std::to_string(number)),
              .usage_windows = kWindows},
             {.eligibility = {.to_claim = [&fleet, number] { return fleet.is_first_alive(number); },
                              .to_hold = [number] { return number < DutyFleet::kRelays; }},
              .send_usage = [&fleet](const usage::UsageReport& report) {
                fleet.broadcast_usage(report);
              }}) {}

}  // namespace

TEST_CASE("the usage of two hundred nodes is reported in one sum, exact to the request") {
  DutyFleet fleet(200);
  for (int step = 0; step != 3000; ++step) {
    fleet.run(static_cast<std::size_t>(step) % 200);
    fleet.advance(10ms);
  }
  fleet.advance(8s);
  CHECK(fleet.reported.size() >= 6);
  for (const auto& [window, counts] : fleet.reported) {
    const auto expected = fleet.expected.find(window);
    if (expected != fleet.expected.end()) {
      CHECK(counts.at(kTenant) == expected->second);
    }
  }
}

TEST_CASE(
    "no usage window or count is lost when holders of the duty are killed one after another") {
  DutyFleet fleet(50);
  std::uint32_t reported = 0;
  std::uint32_t expected = 0;
  for (int step = 0; step != 4000; ++step) {
    const std::size_t node = 6 + static_cast<std::size_t>(step) % 44;
    fleet.run(node);
    fleet.advance(10ms);
    if (step == 700) {
      fleet.kill(0);
    } else if (step == 1500) {
      fleet.restart(0);
      fleet.kill(1);
    } else if (step == 2400) {
      fleet.kill(0);
    }
  }
  fleet.advance(8s);
  CHECK_FALSE(fleet.reports_differ);
  for (const auto& [window, runs] : fleet.expected) {
    expected += runs;
    REQUIRE(fleet.reported.contains(window));
    reported += fleet.reported.at(window).at(kTenant);
  }
  CHECK(reported == expected);
}

TEST_CASE("a planned stop reports the last counts") {
  DutyFleet fleet(10);
  fleet.advance(6s);
  for (int run = 0; run != 100; ++run) {
    fleet.run(7);
  }
  fleet.nodes[7]->duties.leave();
  fleet.advance(2ms);
  fleet.kill(7);
  fleet.advance(8s);
  CHECK(fleet.reported.at(usage::WindowNumber(1)).at(kTenant) == 100);
}
