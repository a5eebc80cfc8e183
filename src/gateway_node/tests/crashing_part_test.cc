// Prompt parts that crash every engine that starts to run a request that shares them.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "gateway_node/tests/crash_fleet.h"
#include "gateway_node/tests/prompt_traffic.h"

using namespace ochrespring;
using namespace ochrespring::gateway_node::testing;
using namespace std::chrono_literals;

namespace {

/// Requests with a part allowed later than CrashFleet::kSettlingTime after its fifth crash.
constexpr std::size_t kMaxLateSends = 3;
/// Time after the fifth crash from which sound requests are served as before.
constexpr Duration kRecoveryTime = 6s;
constexpr std::uint32_t kMinSent = 20;

constexpr Duration kQuiet = 5s;  ///< Before the first crashing request.
constexpr Duration kSpan = 40s;

CrashingPart make_part(const std::string& id, PartPlace place, double share = 0.15) {
  return {.id = id, .share = share, .begin = kQuiet, .end = kSpan, .place = place};
}

/// Checks that sound requests of each first part begin at least half as often as in the quiet time,
/// unless too few were sent to tell.
void check_sound_requests(const PromptTraffic& traffic, Duration from, Duration to) {
  for (std::size_t i = 0; i != PromptTraffic::kFirstParts; ++i) {
    const std::string first = PromptTraffic::first_part(i);
    const BegunRequests before = traffic.sound(first, 0s, kQuiet);
    const BegunRequests after = traffic.sound(first, from, to);
    REQUIRE(before.sent >= kMinSent);
    if (after.sent < kMinSent) {
      continue;
    }
    CAPTURE(first);
    CAPTURE(before.share());
    CAPTURE(after.share());
    CHECK(after.share() >= before.share() / 2);
  }
}

void check_part(CrashFleet& fleet, const PromptTraffic& traffic, const std::string& part) {
  CAPTURE(part);
  MESSAGE("crashes of " << part << ": " << fleet.part_crashes[part].size() << ", late sends "
                        << fleet.count_late_part_sends(part));
  REQUIRE(fleet.part_crashes[part].size() >= 3);
  CHECK(fleet.count_late_part_sends(part) <= kMaxLateSends);
  check_sound_requests(traffic, traffic.last_counted_crash(part) + kRecoveryTime, kSpan);
}

}  // namespace

// Guards against a part that crashes one engine after the other, since no request with it comes
// twice.
TEST_CASE("a prompt part that crashes engines is stopped whatever else its requests hold") {
  for (const PartPlace place :
       {PartPlace::kFirst, PartPlace::kSecond, PartPlace::kThird, PartPlace::kAlone}) {
    CAPTURE(static_cast<int>(place));
    CrashFleet fleet({});
    const PromptTraffic traffic(fleet, 40, kSpan, {make_part("bad", place)});
    fleet.advance(kSpan + 5s);
    check_part(fleet, traffic, "bad");
  }
}

// Guards against crashes that are attributed to one part although another caused them.
TEST_CASE("several parts that crash engines are stopped at once, and anew") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 110U}) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed});
    const PromptTraffic traffic(fleet, 60, kSpan,
                                {make_part("bad-1", PartPlace::kSecond, 0.1),
                                 make_part("bad-2", PartPlace::kFirst, 0.05),
                                 make_part("bad-3", PartPlace::kThird, 0.05),
                                 {.id = "bad-4", .share = 0.1, .begin = 20s, .end = kSpan}});
    fleet.advance(kSpan + 5s);
    for (const char* part : {"bad-1", "bad-2", "bad-3", "bad-4"}) {
      check_part(fleet, traffic, part);
    }
  }
}

// Guards against sound parts that are held back for crashes of another part, of a request, or of
// no request.
TEST_CASE("sound requests are served while engines also crash for other reasons") {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed});
    fleet.crashing_bodies = {"guilty"};
    const PromptTraffic traffic(fleet, 60, kSpan, {make_part("bad", PartPlace::kThird, 0.1)});
    fleet.time.schedule_after(kQuiet,
                              [&] { fleet.send_repeatedly("/resumable/x", "guilty", 500ms, 30s); });
    for (int crash = 0; crash != 20; ++crash) {
      fleet.time.schedule_after(kQuiet + crash * 1700ms, [&fleet] {
        auto& server = *fleet.servers[fleet.random.below(fleet.servers.size())];
        if (server.alive) {
          fleet.crash(server);
        }
      });
    }
    fleet.advance(kSpan + 5s);
    check_part(fleet, traffic, "bad");
  }
}

// Guards against sound parts that are held back because all engines crashed before one answered.
TEST_CASE(
    "sound parts are served as without a quarantine while all engines crash again and again") {
  const auto count_begun = [](bool quarantine_enabled) {
    CrashFleet fleet({.quarantine_enabled = quarantine_enabled});
    const PromptTraffic traffic(fleet, 60, kSpan, {});
    for (int wave = 0; wave != 6; ++wave) {
      fleet.time.schedule_after(kQuiet + wave * 4s, [&fleet] {
        for (const auto& server : fleet.servers) {
          if (server->alive) {
            fleet.crash(*server);
          }
        }
      });
    }
    fleet.advance(kSpan + 5s);
    CHECK(traffic.sound(32s, kSpan).share() > 0.9);
    return traffic.sound(kQuiet, kSpan);
  };
  const BegunRequests without = count_begun(false);
  const BegunRequests with = count_begun(true);
  MESSAGE("begun " << with.share() << ", without the quarantine " << without.share());
  CHECK(with.share() >= without.share() * 0.95);
}

// Guards against old answers that clear a part for good, and against holding all parts that ran
// beside it.
TEST_CASE("a popular part that begins to crash engines is stopped, and the others are served") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U}) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed});
    const PromptTraffic traffic(fleet, 60, kSpan, {});
    const std::string part = PromptTraffic::first_part(0);
    fleet.time.schedule_after(10s, [&] { fleet.crashing_parts.insert(part); });
    fleet.advance(kSpan + 5s);
    MESSAGE("crashes " << fleet.part_crashes[part].size() << ", late sends "
                       << fleet.count_late_part_sends(part));
    CHECK(fleet.count_late_part_sends(part) <= kMaxLateSends);
    const Duration settled = traffic.last_counted_crash(part) + kRecoveryTime;
    for (std::size_t i = 1; i != PromptTraffic::kFirstParts; ++i) {
      const std::string first = PromptTraffic::first_part(i);
      CHECK(traffic.sound(first, settled, kSpan).share() >=
            traffic.sound(first, 0s, kQuiet).share() / 2);
    }
  }
}

// Guards against a crashing part that is sent on by nodes that were killed, or while the store is
// out.
TEST_CASE("crashing parts are stopped while nodes are killed and the store is out") {
  for (std::uint64_t seed = 1; seed != 9; ++seed) {
    CAPTURE(seed);
    CrashFleet fleet({.loss = 0.02, .seed = seed});
    const PromptTraffic traffic(fleet, 60, kSpan, {make_part("bad", PartPlace::kSecond, 0.1)});
    const bool outage = seed % 2 == 0;
    if (outage) {
      fleet.time.schedule_after(4s, [&fleet] { fleet.state.down = true; });
      fleet.time.schedule_after(16s, [&fleet] { fleet.state.down = false; });
    }
    for (int kill = 0; kill != 8; ++kill) {
      fleet.time.schedule_after(kQuiet + 300ms + kill * 2500ms, [&fleet] {
        fleet.restart(fleet.random.below(fleet.nodes.size()));
      });
    }
    fleet.advance(kSpan + 5s);
    check_part(fleet, traffic, "bad");
  }
}

// Guards against crashes that are forgotten with the nodes that knew of them.
TEST_CASE("a fleet killed as a whole after the second crash of a part stops it") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 103U, 104U, 109U, 125U, 133U}) {
    CAPTURE(seed);
    CrashFleet fleet({.seed = seed});
    const PromptTraffic traffic(fleet, 60, kSpan, {make_part("bad", PartPlace::kSecond, 0.03)});
    while (fleet.part_crashes["bad"].size() < 2) {
      fleet.advance(10ms);
    }
    for (std::size_t i = 0; i != fleet.nodes.size(); ++i) {
      fleet.restart(i);
    }
    fleet.advance(kSpan);
    check_part(fleet, traffic, "bad");
  }
}

// Guards against news of parts that relays do not pass on.
TEST_CASE("twenty nodes with relays stop a part that crashes engines") {
  CrashFleet fleet(
      {.nodes = 20, .prefill_engines = 6, .decode_engines = 12, .relay_from_nodes = 10});
  const PromptTraffic traffic(fleet, 100, kSpan, {make_part("bad", PartPlace::kSecond)});
  fleet.advance(kSpan + 5s);
  check_part(fleet, traffic, "bad");
}

// Guards against a part that stays quarantined although engines can run it again.
TEST_CASE("a part that no longer crashes engines is served again after a trial") {
  CrashFleet fleet({});
  const PromptTraffic traffic(fleet, 20, 700s,
                              {{.id = "bad", .share = 0.15, .begin = kQuiet, .end = 700s}});
  fleet.advance(25s);
  REQUIRE(fleet.nodes_with_quarantined_parts({"bad"}) == fleet.nodes.size());
  fleet.crashing_parts.clear();
  fleet.advance(quarantine::CrashLedgerOptions().part_trial_delays.back() + 10s);
  CHECK(fleet.nodes_with_quarantined_parts({}) == fleet.nodes.size());
}
