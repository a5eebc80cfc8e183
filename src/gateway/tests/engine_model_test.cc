// What is learned of engines, and the choices that follow from it.
#include "gateway/engine_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <string>
#include <vector>

#include "gateway/backend_request.h"
#include "gateway/completion_loss.h"
#include "gateway/line_estimate.h"
#include "gateway/placement.h"
#include "gateway/quantile_estimate.h"
#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;

namespace {

constexpr TypicalPrompt kTypical{.tokens = 4'000, .time = 100ms, .gap = 100ms};

Backend make_engine(const std::string& id, EngineRole role) {
  Backend engine;
  engine.id = BackendId(id);
  engine.service = ServiceName("llm");
  engine.role = role;
  engine.slots = 16;
  return engine;
}

Duration to_duration(double milliseconds) {
  return std::chrono::duration_cast<Duration>(Milliseconds(milliseconds));
}

/// Two readers and three runners, one service, one prompt.
struct PlacementWorld {
  PlacementWorld() {
    for (const char* id : {"p1", "p2"}) {
      fleet.put(make_engine(id, EngineRole::kPrefill));
    }
    for (const char* id : {"d1", "d2", "d3"}) {
      fleet.put(make_engine(id, EngineRole::kDecode));
    }
    request.service = ServiceName("llm");
    request.prompt = &prompt;
  }

  PlacementPlan choose() {
    SeededRandom random(1);
    const Placement placement(fleet, loads, models, random, ZoneName(""));
    return placement.choose(request, now);
  }

  FleetState fleet;
  LoadTable loads;
  EngineModels models;
  Prompt prompt = parse_prompt("k1:6000,own:3000", "9000,10");
  PlacementRequest request;
  MonotonicTime now = MonotonicTime() + 10s;
};

}  // namespace

TEST_CASE("a line is learned from scattered samples, and a few wild ones do little") {
  rc::check([](std::uint32_t seed) {
    SeededRandom random(seed);
    LineEstimate line({.intercept = 1, .slope = 1, .typical_x = 100});
    for (int i = 0; i != 400; ++i) {
      const double x = 1'000 * random.unit();
      const double scatter = 0.8 + 0.4 * random.unit();
      line.note(x, (i % 40 == 39 ? 50 : scatter) * (20 + 0.3 * x));
    }
    RC_ASSERT(std::abs(line.slope() - 0.3) < 0.12);
    RC_ASSERT(line.at(500) > 130);
    RC_ASSERT(line.at(500) < 240);
  });
}

TEST_CASE("neither part of a learned line falls below zero") {
  LineEstimate line({.intercept = 5, .slope = 1, .typical_x = 10});
  for (int i = 0; i != 100; ++i) {
    line.note(i % 10, 10 - i % 10);
  }
  CHECK(line.slope() > 0);
  CHECK(line.intercept() >= 0);
}

TEST_CASE("a quantile is found whatever the scale of the samples") {
  for (const double scale : {0.01, 1.0, 1000.0}) {
    SeededRandom random(3);
    QuantileEstimate most({.share = 0.9, .start = scale});
    for (int i = 0; i != 3'000; ++i) {
      most.note(scale * random.unit());
    }
    CHECK(most.value() / scale > 0.75);
    CHECK(most.value() / scale < 1.0);
  }
}

TEST_CASE(
    "an engine's pace is learned for its role; one that is much slower is told apart and tried "
    "again") {
  EngineModel model({}, kTypical);
  const Backend reader = make_engine("p1", EngineRole::kPrefill);
  const Backend slow = make_engine("p2", EngineRole::kPrefill);
  MonotonicTime now{};
  SeededRandom random(5);
  for (int i = 0; i != 300; ++i) {
    now += 10ms;
    const double tokens = 1'000 + 8'000 * random.unit();
    const double taken = 5 + tokens / 300;
    model.note_reading(reader, tokens, to_duration(taken), now);
    if (i % 5 == 0) {
      model.note_reading(slow, tokens, to_duration(5 * taken), now);
    }
  }
  CHECK(model.reading_time(EngineRole::kPrefill, 3'000).count() ==
        doctest::Approx(10).epsilon(0.3));
  // Nothing was read at engines of the other role: its prior stands.
  CHECK(model.reading_time(EngineRole::kDecode, 4'000).count() == doctest::Approx(80));
  CHECK(model.slowness(reader.id, now) == 1);
  CHECK(model.slowness(slow.id, now) > 2);
  CHECK(model.slowness(slow.id, now + 30s) == 1);
}

TEST_CASE("pauses between events grow with what is read beside, up to the longest that was seen") {
  EngineModel model({}, kTypical);
  for (int i = 0; i != 300; ++i) {
    model.note_event_gap(20ms, false);
    model.note_event_gap(90ms, true);
  }
  CHECK(model.event_gap(0).count() == doctest::Approx(20).epsilon(0.1));
  CHECK(model.event_gap(500).count() == doctest::Approx(30).epsilon(0.1));
  CHECK(model.event_gap(1'000'000).count() == doctest::Approx(90).epsilon(0.1));
}

TEST_CASE("the later the more is lost; what is late already is not all the same") {
  const ServiceObjective objective{
      .until_late = 200ms, .until_lost = 2s, .target_latency = 200ms, .target_gap = 150ms};
  double before = 0;
  for (double time = 1; time < 4'000; time *= 1.3) {
    const double loss = expected_loss(Milliseconds(time), objective);
    CHECK(loss > before);
    before = loss;
  }
  CHECK(expected_gap_loss(50ms, objective) < 0.05);
  CHECK(expected_gap_loss(150ms, objective) > 0.5);
}

TEST_CASE(
    "engines are told first what takes next to nothing, then what can be in time, then the rest") {
  CHECK(engine_priority(0, true, 0.01) == engine_priority(5, false, 0.01));
  CHECK(engine_priority(0, true, 0.01) < engine_priority(0, true, 0.1));
  CHECK(engine_priority(0, true, 0.1) < engine_priority(0, true, 0.5));
  CHECK(engine_priority(0, true, 0.5) < engine_priority(1, true, 0.1));
  CHECK(engine_priority(2, true, 0.5) < engine_priority(0, false, 0.1));
  CHECK(engine_priority(0, false, 0.1) < engine_priority(1, false, 0.1));
  CHECK(engine_priority(9, false, 0.5) <= 9);
}

TEST_CASE("the choice is the same when all times are scaled together") {
  rc::check([](std::uint32_t seed) {
    std::vector<std::string> chosen;
    for (const double scale : {0.1, 1.0, 10.0}) {
      SeededRandom random(seed);
      PlacementWorld world;
      world.request.objective = {.until_late = to_duration(200 * scale),
                                 .until_lost = to_duration(2'000 * scale),
                                 .target_latency = to_duration(200 * scale),
                                 .target_gap = to_duration(150 * scale)};
      EngineModel& model = world.models.of(
          world.request.service, world.request.shape,
          {.tokens = 9'000, .time = to_duration(200 * scale), .gap = to_duration(150 * scale)});
      for (const char* id : {"p1", "p2", "d1", "d2", "d3"}) {
        const Backend& engine = *world.fleet.find(BackendId(id));
        const std::uint64_t queued = random.below(20'000);
        world.loads.begin(engine.id, {.tokens = queued, .long_stream = random.below(2) == 0});
        model.note_reading(engine, static_cast<double>(queued),
                           to_duration(scale * (5 + static_cast<double>(queued) / 200)), world.now);
      }
      model.note_hand_over(9'000, true, to_duration(3 * scale));
      const PlacementPlan plan = world.choose();
      chosen.push_back(plan.runner.backend->id.value() + "/" +
                       (plan.reader.backend == nullptr ? "" : plan.reader.backend->id.value()));
    }
    RC_ASSERT(chosen[0] == chosen[1]);
    RC_ASSERT(chosen[1] == chosen[2]);
  });
}

TEST_CASE("a prompt that cannot be in time behind many others lets those that can go first") {
  PlacementWorld world;
  world.request.may_read_apart = false;
  for (const char* id : {"d1", "d2", "d3"}) {
    for (int i = 0; i != 8; ++i) {
      world.loads.begin(BackendId(id), {.tokens = 9'000});
    }
  }
  CHECK_FALSE(world.choose().runner.urgent);
  SUBCASE("but not behind what is late itself") {
    PlacementWorld other;
    other.request.may_read_apart = false;
    for (const char* id : {"d1", "d2", "d3"}) {
      for (int i = 0; i != 8; ++i) {
        other.loads.begin(BackendId(id), {.tokens = 9'000, .urgent = false});
      }
    }
    CHECK(other.choose().runner.urgent);
    CHECK(other.choose().runner.tokens_ahead == 0);
  }
  SUBCASE("nor behind a few, whose time is not known well") {
    PlacementWorld other;
    other.request.may_read_apart = false;
    for (const char* id : {"d1", "d2", "d3"}) {
      other.loads.begin(BackendId(id), {.tokens = 90'000});
    }
    CHECK(other.choose().runner.urgent);
  }
}

TEST_CASE("prompts are read where no long stream would wait for them") {
  PlacementWorld world;
  world.prompt = parse_prompt("own:3000", "3000,10");
  world.request.may_read_apart = false;
  for (int i = 0; i != 3; ++i) {
    world.loads.begin(BackendId("d1"), {.long_stream = true});
    world.loads.begin(BackendId("d2"), {.long_stream = true});
    world.loads.begin(BackendId("d3"), {});
  }
  CHECK(world.choose().runner.backend->id.value() == "d3");
}
