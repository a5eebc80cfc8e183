// Tests how far back a node's ledger is complete after reports of other nodes.
#include "quarantine/ledger_horizon.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>

using namespace ochrespring;
using namespace ochrespring::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRequiredAge = 600s;

MonotonicTime at(Duration since_start) {
  return MonotonicTime(since_start);
}

}  // namespace

TEST_CASE("a node that starts alone is complete once earlier terminations have expired") {
  const LedgerHorizon horizon(at(50s), kRequiredAge);
  CHECK_FALSE(horizon.is_complete(at(50s)));
  CHECK_FALSE(horizon.is_complete(at(649s)));
  CHECK(horizon.is_complete(at(650s)));
}

TEST_CASE("the ledger of a fleet that has never run is complete") {
  LedgerHorizon horizon(at(50s), kRequiredAge);
  horizon.mark_complete(at(50s));
  CHECK(horizon.is_complete(at(50s)));
  CHECK(horizon.report(0, at(50s)).age == kRequiredAge);
}

TEST_CASE("another node's horizon is adopted once the ledger holds as many requests") {
  LedgerHorizon horizon(at(50s), kRequiredAge);
  horizon.receive({.age = kRequiredAge, .requests = 3}, at(51s));
  horizon.apply_pending_report(2);
  CHECK_FALSE(horizon.is_complete(at(51s)));
  CHECK(horizon.has_pending_report());
  horizon.apply_pending_report(3);
  CHECK(horizon.is_complete(at(51s)));
  CHECK_FALSE(horizon.has_pending_report());
}

TEST_CASE("nodes that have all just started do not make each other complete") {
  LedgerHorizon horizon(at(50s), kRequiredAge);
  horizon.receive({.age = 2s, .requests = 0}, at(51s));
  horizon.apply_pending_report(0);
  CHECK_FALSE(horizon.is_complete(at(51s)));
  CHECK(horizon.report(0, at(51s)).age == 2s);
}

TEST_CASE("a pending report that cannot be adopted does not block a later one") {
  LedgerHorizon horizon(at(50s), kRequiredAge);
  horizon.receive({.age = kRequiredAge, .requests = 9}, at(51s));
  horizon.receive({.age = 1s, .requests = 0}, at(52s));
  horizon.receive({.age = kRequiredAge, .requests = 1}, at(53s));
  horizon.apply_pending_report(1);
  CHECK(horizon.is_complete(at(53s)));
}

TEST_CASE("the horizon never moves forward, and never farther back than reported") {
  CHECK(rc::check([](const std::vector<std::pair<std::int32_t, std::uint8_t>>& reports) {
    LedgerHorizon horizon(at(1000s), kRequiredAge);
    Duration farthest = 0s;
    Duration known = 0s;
    for (const auto& [age, requests] : reports) {
      horizon.receive({.age = 1s * age, .requests = requests}, at(1000s));
      horizon.apply_pending_report(4);
      if (requests <= 4) {
        farthest = std::max(farthest, std::min<Duration>(1s * age, kRequiredAge));
      }
      const Duration now = horizon.report(0, at(1000s)).age;
      RC_ASSERT(now >= known);
      RC_ASSERT(now <= farthest);
      known = now;
    }
  }));
}
