// Tests that counts are summed correctly whatever the order and loss of reports.
#include "usage/usage_tally.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

#include "simulation/virtual_time.h"
#include "usage/usage_meter.h"

using namespace ochrespring;
using namespace ochrespring::usage;
using namespace std::chrono_literals;

namespace {

constexpr WindowLength kWindows{5s};
const TenantName kTenant("t");

}  // namespace

TEST_CASE("a run is counted in the window in which it began") {
  simulation::VirtualTime time;
  const WallClockEstimate wall(time, time);
  UsageTally tally;
  UsageMeter meter(wall, time, {.node = NodeId("n"), .incarnation = 1, .windows = kWindows},
                   [&](const UsageReport& report) { tally.add(report); });
  meter.start();
  time.run_until(MonotonicTime(4900ms));
  meter.note_run(kTenant, 0ms);
  time.run_until(MonotonicTime(5050ms));
  meter.note_run(kTenant, 100ms);
  meter.note_run(kTenant, 10ms);
  time.run_until(MonotonicTime(6s));
  CHECK(tally.sum(WindowNumber(0)) == TenantCounts{{kTenant, 2}});
  CHECK(tally.sum(WindowNumber(1)) == TenantCounts{{kTenant, 1}});
}

TEST_CASE("windows are reported until their retention ends, and an idle node sends nothing") {
  simulation::VirtualTime time;
  const WallClockEstimate wall(time, time);
  std::size_t reports = 0;
  MonotonicTime last{};
  UsageMeter meter(wall, time, {.node = NodeId("n"), .incarnation = 1, .windows = kWindows},
                   [&](const UsageReport& report) {
                     ++reports;
                     last = time.now();
                     CHECK(report.windows.size() == 1);
                   });
  meter.start();
  meter.note_run(kTenant, 0ms);
  time.run_until(MonotonicTime(60s));
  CHECK(reports > 20);
  CHECK(last > MonotonicTime(14s));
  CHECK(last < MonotonicTime(18s));
}

TEST_CASE("sums are correct with lost, duplicated, late and reordered reports") {
  CHECK(rc::check("everything reported at least once is counted once", [] {
    UsageTally tally;
    TenantCounts truth;
    std::vector<UsageReport> sent;
    const int incarnations = *rc::gen::inRange(1, 6);
    for (int incarnation = 0; incarnation != incarnations; ++incarnation) {
      // Two incarnations of one node have separate counters.
      UsageReport report{NodeId("n" + std::to_string(incarnation / 2)),
                         static_cast<std::uint64_t>(incarnation),
                         {{WindowNumber(7), {}}}};
      const int steps = *rc::gen::inRange(1, 8);
      for (int step = 0; step != steps; ++step) {
        const TenantName tenant("t" + std::to_string(*rc::gen::inRange(0, 3)));
        ++report.windows[0].counts[tenant];
        ++truth[tenant];
        sent.push_back(report);
      }
      tally.add(report);
    }
    const int duplicates = *rc::gen::inRange(0, 30);
    for (int duplicate = 0; duplicate != duplicates; ++duplicate) {
      tally.add(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]);
    }
    RC_ASSERT(tally.sum(WindowNumber(7)) == truth);
  }));
}
