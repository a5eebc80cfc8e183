// When what is known of a request is told, and told again.
#include "quarantine/crash_announcer.h"

#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "simulation/virtual_time.h"

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr gateway::RequestFingerprint kFirst{1, 2};
constexpr gateway::RequestFingerprint kSecond{3, 4};

struct AnnouncerWorld {
  void note_end(const gateway::RequestFingerprint& request) {
    ledger.note_end(request, ServiceName("s"),
                    {.server = gateway::BackendId("i"), .seen_by = NodeId("n")}, time.now());
    announcer.note_change(request);
  }
  /// When a request was told.
  std::vector<Duration> told(const gateway::RequestFingerprint& request) const {
    std::vector<Duration> times;
    for (const auto& [at, news] : sent) {
      for (const CrashReport& report : news.reports) {
        if (report.request == request) {
          times.push_back(at.time_since_epoch());
        }
      }
    }
    return times;
  }

  simulation::VirtualTime time;
  CrashLedger ledger;
  std::vector<std::pair<MonotonicTime, CrashReportBatch>> sent;
  CrashAnnouncer announcer{time, time, ledger, {}, [this](const CrashReportBatch& news) {
                             sent.emplace_back(time.now(), news);
                           }};
};

}  // namespace

// The news of an end was lost and told again after 0.7 s only: its caller's next try, 0.4 s later,
// ended one more server.
TEST_CASE("a change is told at once, again before most callers come back, and once more later") {
  AnnouncerWorld world;
  world.time.run_until(MonotonicTime(1s));
  world.note_end(kFirst);
  world.time.run_until(MonotonicTime(1050ms));
  world.note_end(kSecond);
  world.time.run_until(MonotonicTime(4s));
  CHECK(world.told(kFirst) == std::vector<Duration>{1003ms, 1100ms, 2400ms});
  CHECK(world.told(kSecond) == std::vector<Duration>{1053ms, 1150ms, 2450ms});
}

TEST_CASE("a change of what is still to be told again begins anew") {
  AnnouncerWorld world;
  world.time.run_until(MonotonicTime(1s));
  world.note_end(kFirst);
  world.time.run_until(MonotonicTime(1500ms));
  world.announcer.note_change(kFirst);
  world.time.run_until(MonotonicTime(5s));
  CHECK(world.told(kFirst) == std::vector<Duration>{1003ms, 1100ms, 1503ms, 1600ms, 2900ms});
}
