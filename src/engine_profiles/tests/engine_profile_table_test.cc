#include "engine_profiles/engine_profile_table.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "base/random.h"
#include "tests/engine_fleet.h"

using namespace ochrespring;
using namespace ochrespring::engine_profiles;
using namespace ochrespring::engine_profiles::testing;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kGaps = 8;

/// An engine profile table and a clock.
struct Fixture {
  gateway::FleetState fleet;
  logging::NullLogger logger;
  EngineProfileTable table{fleet, logger};
  SeededRandom random{1};
  MonotonicTime now{seconds(1000)};

  explicit Fixture(int engines) : fleet(make_fleet(engines)) {}

  void observe_gaps(int engine, Duration token) {
    table.note_gaps(
        {.engine = engine_id(engine), .gaps = kGaps, .took = token * kTokensPerEvent * kGaps}, now);
  }
  gateway::EngineProfile profile(int engine) {
    const auto found = table.find(*fleet.find(engine_id(engine)), now);
    REQUIRE(found);
    return *found;
  }
  double relative_token_time(int engine) {
    return to_seconds(profile(engine).output_token) / to_seconds(kOutputTokenTime);
  }
};

}  // namespace

TEST_CASE("lookups return no profile before the first measurement") {
  Fixture fixture(4);
  fixture.table.note_pace(engine_id(0), 250, fixture.now);
  CHECK_FALSE(fixture.table.find(*fixture.fleet.find(engine_id(0)), fixture.now));
  CHECK_FALSE(fixture.table.usual(kChat, fixture.now));
  CHECK(fixture.table.share_slower_than(ServiceName("other"), 1.5, fixture.now) == 0);
}

TEST_CASE("slow engines are detected despite slowdowns and concurrent prefills") {
  Fixture fixture(12);
  for (int round = 0; round != 60; ++round) {
    for (int engine = 0; engine != 12; ++engine) {
      const double speed = engine % 3 == 0 ? 0.55 / 1.2 : 1;
      const double slowdown = fixture.random.chance(0.15) ? 2.5 : 1;
      const double prefill_slowdown = fixture.random.chance(0.3) ? 1.2 : 1;
      fixture.observe_gaps(
          engine, from_seconds(to_seconds(kOutputTokenTime) / speed * slowdown * prefill_slowdown));
    }
    fixture.now += milliseconds(700);
  }
  for (int engine = 0; engine != 12; ++engine) {
    CAPTURE(engine);
    CHECK(fixture.relative_token_time(engine) ==
          doctest::Approx(engine % 3 == 0 ? 2.18 : 1).epsilon(0.15));
  }
  CHECK(to_seconds(fixture.table.usual(kChat, fixture.now)->output_token) ==
        doctest::Approx(to_seconds(kOutputTokenTime)).epsilon(0.1));
}

TEST_CASE("identical engines get similar estimates, even if they are used unevenly") {
  Fixture fixture(32);
  double fastest = 10;
  double slowest = 0;
  for (int round = 0; round != 200; ++round) {
    // Some engines get one sample in 20 rounds, others one in each round.
    for (int engine = 0; engine != 32; ++engine) {
      if (round % (1 + engine % 20) == 0) {
        const double slowdown = fixture.random.chance(0.15) ? 2.5 : 1;
        const double jitter = 0.85 + 0.3 * fixture.random.unit();
        fixture.observe_gaps(engine,
                             from_seconds(to_seconds(kOutputTokenTime) * slowdown * jitter));
      }
    }
    fixture.now += milliseconds(500);
    if (round > 40) {
      for (int engine = 0; engine != 32; ++engine) {
        fastest = std::min(fastest, fixture.relative_token_time(engine));
        slowest = std::max(slowest, fixture.relative_token_time(engine));
      }
    }
  }
  const double median = to_seconds(fixture.table.usual(kChat, fixture.now)->output_token) /
                        to_seconds(kOutputTokenTime);
  CHECK(slowest / median < 1.2);
  CHECK(median / fastest < 1.2);
}

TEST_CASE("a temporary slowdown report does not make an engine look faster afterwards") {
  Fixture fixture(3);
  for (int round = 0; round != 40; ++round) {
    // The slowdown ends right after its report; dividing by it would give 0.4 of the true time.
    fixture.table.note_pace(engine_id(0), round % 6 == 0 ? 250 : 100, fixture.now);
    fixture.now += milliseconds(400);
    fixture.observe_gaps(0, kOutputTokenTime);
    fixture.observe_gaps(1, kOutputTokenTime);
    fixture.now += milliseconds(400);
  }
  CHECK(fixture.relative_token_time(0) == doctest::Approx(1).epsilon(0.05));
  CHECK(fixture.table.statistics().skipped == 7);
}

TEST_CASE("a constant reported pace is factored out of an engine's samples") {
  Fixture fixture(3);
  for (int round = 0; round != 40; ++round) {
    fixture.table.note_pace(engine_id(0), 182, fixture.now);
    fixture.observe_gaps(0, from_seconds(1.82 * to_seconds(kOutputTokenTime)));
    fixture.observe_gaps(1, kOutputTokenTime);
    fixture.now += milliseconds(1000);
  }
  CHECK(fixture.relative_token_time(0) == doctest::Approx(1).epsilon(0.05));
}

TEST_CASE("an engine without recent samples has the median speed of its service") {
  Fixture fixture(6);
  for (int round = 0; round != 20; ++round) {
    fixture.observe_gaps(0, 2 * kOutputTokenTime);
    fixture.observe_gaps(1, kOutputTokenTime);
    fixture.observe_gaps(2, kOutputTokenTime);
    fixture.now += milliseconds(100);
  }
  CHECK(fixture.relative_token_time(0) > 1.7);
  CHECK(fixture.relative_token_time(4) == doctest::Approx(1).epsilon(0.02));
  fixture.now += seconds(60);
  CHECK(fixture.relative_token_time(0) == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("prefill times are normalized to a prefill engine, whichever engine was measured") {
  Fixture fixture(4);
  const Duration token = microseconds(2);
  for (int round = 0; round != 10; ++round) {
    fixture.observe_gaps(0, kOutputTokenTime);
    fixture.table.note_prefill({.engine = engine_id(3), .took = token * 10'000, .tokens = 10'000},
                               fixture.now);
    fixture.table.note_prefill({.engine = engine_id(0),
                                .took = 2 * token * 30'000 + kOutputTokenTime * kTokensPerEvent,
                                .tokens = 30'000,
                                .includes_first_event = true},
                               fixture.now);
    fixture.now += milliseconds(100);
  }
  CHECK(to_seconds(fixture.profile(3).prompt_token) == doctest::Approx(2e-6).epsilon(0.02));
  CHECK(to_seconds(fixture.profile(0).prompt_token) == doctest::Approx(2e-6).epsilon(0.02));
  // These observations do not allow an estimate of the speed.
  const auto skipped = fixture.table.statistics().skipped;
  fixture.table.note_prefill({.engine = engine_id(3), .took = token * 100, .tokens = 100},
                             fixture.now);
  fixture.table.note_prefill(
      {.engine = engine_id(3), .took = token, .tokens = 10'000, .tokens_ahead = 9'000},
      fixture.now);
  CHECK(fixture.table.statistics().skipped == skipped + 2);
}

TEST_CASE("the share of slow time follows the reports and decays without them") {
  Fixture fixture(4);
  for (int i = 0; i != 400; ++i) {
    fixture.table.note_pace(engine_id(i % 4), i % 5 == 0 ? 250 : 100, fixture.now);
    fixture.now += milliseconds(50);
  }
  CHECK(fixture.table.share_slower_than(kChat, 1.5, fixture.now) ==
        doctest::Approx(0.2).epsilon(0.1));
  CHECK(fixture.table.share_slower_than(kChat, 3, fixture.now) == doctest::Approx(0));
  CHECK(fixture.table.share_slower_than(kChat, 1.5, fixture.now + seconds(120)) < 0.02);
}

TEST_CASE("long streams are counted and removed with a terminated engine") {
  Fixture fixture(2);
  fixture.observe_gaps(0, kOutputTokenTime);
  fixture.table.begin_long_stream(engine_id(0), fixture.now);
  fixture.table.begin_long_stream(engine_id(0), fixture.now);
  fixture.table.end_long_stream(engine_id(0), fixture.now);
  CHECK(fixture.profile(0).long_streams == 1);
  fixture.fleet.remove(engine_id(0));
  fixture.table.forget(engine_id(0));
  fixture.table.end_long_stream(engine_id(0), fixture.now);
  fixture.observe_gaps(0, kOutputTokenTime);
  CHECK(fixture.table.size() == 0);
}

TEST_CASE("implausible values are rejected") {
  Fixture fixture(5);
  for (const int engine : {0, 2, 4}) {
    fixture.observe_gaps(engine, kOutputTokenTime);
  }
  fixture.now += seconds(1);
  fixture.observe_gaps(0, kOutputTokenTime);
  fixture.observe_gaps(1, Duration::zero());
  fixture.observe_gaps(1, -kOutputTokenTime);
  fixture.observe_gaps(1, 101 * kOutputTokenTime);
  fixture.table.note_pace(engine_id(1), 0, fixture.now);
  CHECK(fixture.table.statistics().rejected == 4);
  CHECK(fixture.relative_token_time(1) == doctest::Approx(1).epsilon(0.01));
}
