// Tests that placement avoids engines where later events of a stream would be late although the
// first one is on time: engines that are slow, disturbed, or prefill prompts beside their streams.
#include "gateway/gap_forecast.h"

#include <doctest/doctest.h>

#include <chrono>

#include "gateway/placement.h"
#include "tests/fake_profiles.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;
using gateway::testing::FakeProfiles;

namespace {

const ServiceName kService("llm");

EngineProfile make_profile(Duration output_token, Duration prompt_token,
                           std::uint32_t long_streams = 0) {
  return {.output_token = output_token, .prompt_token = prompt_token, .long_streams = long_streams};
}

/// A typical engine takes 40 ms per event, and 50 ms to prefill 10,000 tokens beside its streams.
const EngineProfile kTypical = make_profile(533us, 2500ns);
const EngineProfile kSlow = make_profile(1200us, 5600ns);

StreamRequirements long_stream() {
  return {.target_gap = 150ms,
          .min_target_gap = 150ms,
          .time_left = 15s,
          .tokens_per_event = 75,
          .expected_events = 72,
          .max_events = 170};
}

StreamRequirements short_stream() {
  StreamRequirements needs = long_stream();
  needs.expected_events = 2;
  needs.max_events = 6;
  needs.time_left = 2s;
  return needs;
}

struct PlacementFixture {
  PlacementFixture() {
    profiles.median = kTypical;
    profiles.disturbed_share = 0.15;
    profiles.disturbed_factor = 2.5;
  }
  GapForecast forecast(const EngineProfile& profile, const ReportedPace& pace = {}) const {
    return {profiles, {.service = kService, .profile = profile, .pace = pace}, 75, {}};
  }
  void put(const std::string& id, const EngineProfile& profile) {
    Backend engine;
    engine.id = BackendId(id);
    engine.service = kService;
    engine.role = EngineRole::kDecode;
    engine.slots = 6;
    fleet.put(engine);
    profiles.own_profiles[engine.id] = profile;
  }
  std::string choose(const StreamRequirements& needs, std::uint64_t tokens) {
    const Prompt prompt = parse_prompt("own:" + std::to_string(tokens), "");
    const Placement placement(fleet, loads, random, ZoneName("z"), &profiles);
    PlacementRequest request;
    request.service = kService;
    request.prompt = &prompt;
    request.stream = needs;
    return placement.choose(request, {}).runner.backend->id.value();
  }

  FakeProfiles profiles;
  FleetState fleet;
  LoadTable loads;
  SeededRandom random{7};
};

}  // namespace

TEST_CASE(
    "long streams are predicted late on a slow engine with occasional disturbances, not on a "
    "typical one") {
  const PlacementFixture fixture;
  CHECK(fixture.forecast(kTypical).late_stream_probability(long_stream(), 0) == 0);
  CHECK(fixture.forecast(kSlow).late_stream_probability(long_stream(), 0) > 0.9);
  CHECK(fixture.forecast(kSlow).late_stream_probability(short_stream(), 0) < 0.3);
}

TEST_CASE(
    "prefill work makes the next gap late, and less of it suffices while the engine is disturbed") {
  const PlacementFixture fixture;
  const ReportedPace disturbed{.factor = 2.5, .weight = 1};
  const ReportedPace usual{.factor = 1, .weight = 1};
  CHECK(fixture.forecast(kTypical, usual).late_gap_probability(150ms, 10'000) == 0);
  CHECK(fixture.forecast(kTypical, usual).late_gap_probability(150ms, 30'000) == 1);
  CHECK(fixture.forecast(kTypical, disturbed).late_gap_probability(150ms, 0) == 0);
  CHECK(fixture.forecast(kTypical, disturbed).late_gap_probability(150ms, 10'000) == 1);
  // Without a current pace report the long-term share applies.
  CHECK(fixture.forecast(kTypical).late_gap_probability(150ms, 10'000) == doctest::Approx(0.15));
}

TEST_CASE("the probability of a missed deadline depends on the expected events and the time left") {
  const PlacementFixture fixture;
  CHECK(fixture.forecast(kTypical).missed_deadline_probability(long_stream()) == 0);
  StreamRequirements longest = long_stream();
  longest.expected_events = 170;
  CHECK(fixture.forecast(kSlow).missed_deadline_probability(longest) > 0.4);
  longest.time_left = -1s;
  CHECK(fixture.forecast(kSlow).missed_deadline_probability(longest) == doctest::Approx(1));
}

TEST_CASE("long streams go to engines that keep their target gap, short streams to any") {
  PlacementFixture fixture;
  fixture.put("slow", kSlow);
  fixture.put("usual", kTypical);
  fixture.loads.begin(BackendId("usual"), 4'000);
  CHECK(fixture.choose(long_stream(), 200) == "usual");
  CHECK(fixture.choose(short_stream(), 200) == "slow");
}

TEST_CASE("short streams leave scarce slots to long streams if few engines suit these") {
  PlacementFixture fixture;
  fixture.put("slow", kSlow);
  fixture.put("usual", kTypical);
  CHECK(fixture.choose(short_stream(), 200) == "usual");
  for (std::uint32_t i = 0; i != 4; ++i) {
    fixture.loads.begin(BackendId("usual"), 0);
  }
  CHECK(fixture.choose(short_stream(), 200) == "slow");
  CHECK(fixture.choose(long_stream(), 200) == "usual");
  fixture.profiles.own_profiles[BackendId("slow")] = kTypical;
  for (std::uint32_t i = 0; i != 5; ++i) {
    fixture.loads.begin(BackendId("slow"), 0);
  }
  CHECK(fixture.choose(short_stream(), 200) == "usual");
}

TEST_CASE("a long prompt goes to an engine where its prefill makes no stream late") {
  PlacementFixture fixture;
  fixture.put("streams", make_profile(kTypical.output_token, kTypical.prompt_token, 3));
  fixture.put("busy", kTypical);
  BackendLoad& streams = fixture.loads.find_or_create(BackendId("streams"));
  streams.note_report({.running = 3, .slots = 6, .pace_percent = 250}, {});
  for (std::uint32_t i = 0; i != 3; ++i) {
    fixture.loads.begin(BackendId("busy"), 3'000);
  }
  CHECK(fixture.choose(short_stream(), 9'000) == "busy");
  streams.note_report({.running = 3, .slots = 6}, {});
  CHECK(fixture.choose(short_stream(), 9'000) == "streams");
}

TEST_CASE("an engine whose slots are all occupied by long streams is not chosen") {
  PlacementFixture fixture;
  fixture.put("full", make_profile(kTypical.output_token, kTypical.prompt_token, 6));
  fixture.put("prefilling", kTypical);
  for (std::uint32_t i = 0; i != 6; ++i) {
    fixture.loads.begin(BackendId("full"), 0);
  }
  fixture.loads.begin(BackendId("prefilling"), 8'000);
  CHECK(fixture.choose(short_stream(), 200) == "prefilling");
}

TEST_CASE("without profiles, or with generous target gaps, only tokens decide the placement") {
  PlacementFixture fixture;
  fixture.put("a", kSlow);
  fixture.put("b", kTypical);
  fixture.loads.begin(BackendId("b"), 0);
  StreamRequirements easy = long_stream();
  easy.target_gap = 10s;
  easy.min_target_gap = 10s;
  easy.time_left = 100s;
  CHECK(fixture.choose(long_stream(), 200) == "b");
  CHECK(fixture.choose(easy, 200) == "a");
  fixture.profiles.own_profiles.clear();
  CHECK(fixture.choose(easy, 200) == "a");
  fixture.profiles.median.reset();
  CHECK(fixture.choose(long_stream(), 200) == "a");
}
