// Tests when reports are sent and resent.
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

struct AnnouncerFixture {
  void note_termination(const gateway::RequestFingerprint& request) {
    ledger.note_termination(request, ServiceName("s"),
                            {.backend = gateway::BackendId("i"), .observer = NodeId("n")},
                            time.now());
    announcer.note_change(request);
  }
  /// Returns the times at which reports on the request were sent.
  std::vector<Duration> sent_at(const gateway::RequestFingerprint& request) const {
    std::vector<Duration> times;
    for (const auto& [at, batch] : sent) {
      for (const CrashReport& report : batch.reports) {
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
  CrashAnnouncer announcer{time, time, ledger, {}, [this](const CrashReportBatch& batch) {
                             sent.emplace_back(time.now(), batch);
                           }};
};

}  // namespace

// Guards against a resend delay longer than the callers' retry interval: a lost report was resent
// only after 0.7 s, and the caller's retry after 0.4 s terminated another back end.
TEST_CASE(
    "a change is sent at once, resent before most callers retry, and resent once more later") {
  AnnouncerFixture fixture;
  fixture.time.run_until(MonotonicTime(1s));
  fixture.note_termination(kFirst);
  fixture.time.run_until(MonotonicTime(1050ms));
  fixture.note_termination(kSecond);
  fixture.time.run_until(MonotonicTime(4s));
  CHECK(fixture.sent_at(kFirst) == std::vector<Duration>{1003ms, 1100ms, 2400ms});
  CHECK(fixture.sent_at(kSecond) == std::vector<Duration>{1053ms, 1150ms, 2450ms});
}

TEST_CASE("another change of a request restarts its resends") {
  AnnouncerFixture fixture;
  fixture.time.run_until(MonotonicTime(1s));
  fixture.note_termination(kFirst);
  fixture.time.run_until(MonotonicTime(1500ms));
  fixture.announcer.note_change(kFirst);
  fixture.time.run_until(MonotonicTime(5s));
  CHECK(fixture.sent_at(kFirst) == std::vector<Duration>{1003ms, 1100ms, 1503ms, 1600ms, 2900ms});
}
