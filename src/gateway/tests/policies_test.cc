// Tests for routing, load tracking, placement and other parts of the gateway that do no I/O.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cmath>

#include "base/hash.h"
#include "gateway/cache_sources.h"
#include "gateway/cache_survey.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/placement.h"
#include "gateway/prompt.h"
#include "gateway/retry_budget.h"
#include "gateway/route_table.h"
#include "gateway/share_picker.h"
#include "gateway/stream_timing.h"
#include "tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::gateway;
using namespace std::chrono_literals;

namespace {

Route make_route(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = RouteName(std::move(name));
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return route;
}

Backend make_engine(const std::string& id, EngineRole role) {
  Backend backend;
  backend.id = BackendId(id);
  backend.service = ServiceName("llm");
  backend.role = role;
  backend.slots = 8;
  return backend;
}

}  // namespace

TEST_CASE(
    "a route is found by the longest path prefix of its host, ignoring the port and letter case") {
  Configuration configuration;
  configuration.routes = {make_route("short", "a.example", "/x/"),
                          make_route("long", "a.example", "/x/y/"),
                          make_route("other", "b.example", "/")};
  const RouteTable table(configuration);
  REQUIRE(table.find("A.example:80", "/x/y/z") != nullptr);
  CHECK(table.find("A.example:80", "/x/y/z")->name.value() == "long");
  CHECK(table.find("a.example", "/x/z")->name.value() == "short");
  CHECK(table.find("a.example", "/y") == nullptr);
  CHECK(table.find("c.example", "/x/") == nullptr);
}

TEST_CASE("a configuration is applied only if its version is newer") {
  FleetState fleet;
  Configuration newer;
  newer.version = ConfigurationVersion(7);
  Configuration older;
  older.version = ConfigurationVersion(6);
  CHECK(fleet.apply(newer));
  CHECK_FALSE(fleet.apply(older));
  CHECK_FALSE(fleet.apply(newer));
  CHECK(fleet.routes()->configuration().version == ConfigurationVersion(7));
}

TEST_CASE("replacing the back ends removes and reports those that are not listed") {
  FleetState fleet;
  std::vector<std::string> removed;
  fleet.on_removed([&](const Backend& backend) { removed.push_back(backend.id.value()); });
  fleet.put(make_engine("a", EngineRole::kDecode));
  fleet.put(make_engine("b", EngineRole::kDecode));
  fleet.replace({make_engine("b", EngineRole::kDecode)});
  CHECK(removed == std::vector<std::string>{"a"});
  CHECK(fleet.find(BackendId("b")) != nullptr);
}

TEST_CASE("events are the same for any division of the stream into chunks") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& sizes) {
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 30\n\nrest";
    EventSplitter whole;
    whole.append(stream);
    EventSplitter pieces;
    std::vector<std::string> events;
    std::size_t at = 0;
    const auto drain = [&] {
      while (const auto event = pieces.next()) {
        events.push_back(event->bytes);
      }
    };
    for (const std::uint8_t size : sizes) {
      pieces.append(std::string_view(stream).substr(at, size % 9));
      at = std::min(stream.size(), at + size % 9);
      drain();
    }
    pieces.append(std::string_view(stream).substr(at));
    drain();
    std::size_t index = 0;
    while (const auto event = whole.next()) {
      RC_ASSERT(index < events.size());
      RC_ASSERT(events[index++] == event->bytes);
    }
    RC_ASSERT(index == events.size());
    RC_ASSERT(pieces.rest() == "rest");
  }));
}

TEST_CASE("the longest gap of a stream is between two events and excludes the wait for the first") {
  StreamTiming timing;
  CHECK_FALSE(timing.last_event());
  const MonotonicTime start{};
  timing.note_event(start + 900ms);
  CHECK(timing.longest_gap() == 0ms);
  timing.note_event(start + 950ms);
  timing.note_event(start + 1100ms);
  timing.note_event(start + 1110ms);
  CHECK(timing.events() == 4);
  CHECK(timing.longest_gap() == 150ms);
  CHECK(timing.last_event() == start + 1110ms);
}

TEST_CASE(
    "event ids are parsed with or without a space, and missing or malformed ids are detected") {
  EventSplitter splitter;
  splitter.append("id: 12\ndata: x\n\nid:7\n\ndata: y\n\nid: z\n\n");
  CHECK(splitter.next()->id == 12);
  CHECK(splitter.next()->id == 7);
  CHECK_FALSE(splitter.next()->id);
  CHECK_FALSE(splitter.next()->id);
}

TEST_CASE("a prompt is parsed into its parts, shared key, own tokens and output estimate") {
  const Prompt prompt = parse_prompt("5c1e:800, 91bd:410,e440:250", "1460,80");
  CHECK(prompt.parts.size() == 3);
  CHECK(prompt.shared_prefix_id() == "91bd");
  CHECK(prompt.shared_tokens() == 1210);
  CHECK(prompt.own_tokens() == 250);
  CHECK(prompt.output_tokens == 80);
  CHECK(parse_prompt("", "").shared_prefix_id().empty());
  CHECK(parse_prompt("a:5", "").tokens == 5);
  CHECK(parse_prompt("a:5", "5,80").expected_output_tokens == 80);
  CHECK(parse_prompt("a:5", "5,80", "30").expected_output_tokens == 30);
  CHECK(parse_prompt("a:5", "5,80", "900").expected_output_tokens == 80);
  CHECK(parse_prompt("a:5", "5,80", "many").expected_output_tokens == 80);
}

TEST_CASE("all nodes together stay within the retry budget in every window, also across restarts") {
  CHECK(rc::check([](std::vector<std::pair<std::uint8_t, std::uint8_t>> steps) {
    constexpr std::uint32_t kNodes = 3;
    const RetryBudgetSettings settings{0.2, 9, 10s};
    std::vector<RetryBudget> nodes(kNodes, RetryBudget(settings));
    const ServiceName service("s");
    std::vector<MonotonicTime> requests;
    std::vector<MonotonicTime> retries;
    MonotonicTime now{};
    for (const auto& [wait, choice] : steps) {
      now += std::chrono::milliseconds(wait * 10);
      RetryBudget& node = nodes[choice % kNodes];
      if (choice % 8 == 7) {
        node = RetryBudget(settings, now);
      }
      node.note_request(service, now);
      requests.push_back(now);
      for (int i = 0; i != 4; ++i) {
        if (node.open(service, kNodes, now)) {
          node.settle(service, 1, now);
          retries.push_back(now);
        }
      }
      const auto inside = [&](MonotonicTime at) { return at >= now - settings.window; };
      const auto recent = std::count_if(requests.begin(), requests.end(), inside);
      const auto again = std::count_if(retries.begin(), retries.end(), inside);
      RC_ASSERT(static_cast<double>(again) <=
                settings.ratio * static_cast<double>(recent) + settings.slack);
    }
  }));
}

TEST_CASE("the shares of services follow their weights closely") {
  SeededRandom random(3);
  SharePicker picker(random);
  Route route = make_route("r", "h", "/");
  route.shares = {{ServiceName("a"), 90}, {ServiceName("b"), 10}};
  int to_b = 0;
  for (int i = 0; i != 300; ++i) {
    to_b += picker.pick(route) == ServiceName("b") ? 1 : 0;
  }
  CHECK(std::abs(to_b - 30) <= 2);
}

TEST_CASE("a back end that reports a slow pace is avoided until the report is old") {
  CHECK(parse_load("1,0,8")->pace_percent == 100);
  CHECK(parse_load("1,0,8,250")->pace_percent == 250);
  CHECK(parse_load("1,0,8,x")->pace_percent == 100);
  FleetState fleet;
  for (const char* id : {"a", "b"}) {
    fleet.put(make_engine(id, EngineRole::kNone));
  }
  PlacementRequest request;
  request.service = ServiceName("llm");
  SeededRandom random(1);
  LoadTable loads;
  const MonotonicTime now = MonotonicTime() + 10s;
  loads.find_or_create(BackendId("a")).note_report(*parse_load("0,0,8,300"), now);
  const Placement placement(fleet, loads, random, ZoneName("a"));
  for (int i = 0; i != 20; ++i) {
    CHECK(placement.choose(request, now).runner.backend->id == BackendId("b"));
  }
  int to_a = 0;
  for (int i = 0; i != 40; ++i) {
    to_a += placement.choose(request, now + 5s).runner.backend->id == BackendId("a") ? 1 : 0;
  }
  CHECK(to_a > 5);
}

TEST_CASE("load reports are parsed and lose weight over time, own requests do not") {
  CHECK_FALSE(parse_load("3,x,8"));
  CHECK_FALSE(parse_load(""));
  const auto report = parse_load("10, 4, 8");
  REQUIRE(report);
  BackendLoad load;
  load.begin(100);
  const MonotonicTime start{};
  load.note_report(*report, start);
  CHECK(load.reported_others(start) == doctest::Approx(13));
  CHECK(load.reported_others(start + 10s) == doctest::Approx(0).epsilon(0.01));
  CHECK(load.in_flight() == 1);
  load.note_prefilled(100);
  load.end(AttemptOutcome::kSucceeded, start);
  CHECK(load.in_flight() == 0);
  CHECK(load.pending_prefill_tokens() == 0);
}

TEST_CASE("an unreachable back end is ejected for longer each time and becomes available again") {
  BackendLoad load;
  MonotonicTime now{};
  load.begin(0);
  load.end(AttemptOutcome::kUnreachable, now);
  CHECK(load.ejected(now + 900ms));
  CHECK_FALSE(load.ejected(now + 1100ms));
  now += 2s;
  load.begin(0);
  load.end(AttemptOutcome::kUnreachable, now);
  CHECK(load.ejected(now + 1900ms));
}

TEST_CASE("all nodes agree on the home of a shared part and avoid it when it is overloaded") {
  FleetState fleet;
  for (const char* id : {"a", "b", "c", "d"}) {
    fleet.put(make_engine(id, EngineRole::kDecode));
  }
  const Prompt prompt = parse_prompt("k1:9000,own:500", "9500,10");
  PlacementRequest request;
  request.service = ServiceName("llm");
  request.prompt = &prompt;
  std::set<std::string> homes;
  for (std::uint64_t seed = 0; seed != 20; ++seed) {
    SeededRandom random(seed);
    const LoadTable loads;
    const Placement placement(fleet, loads, random, ZoneName("z" + std::to_string(seed)));
    homes.insert(placement.choose(request, {}).runner.backend->id.value());
  }
  REQUIRE(homes.size() == 1);
  SeededRandom random(1);
  LoadTable loads;
  loads.find_or_create(BackendId(*homes.begin())).begin(100'000);
  const Placement placement(fleet, loads, random, ZoneName("z"));
  CHECK(placement.choose(request, {}).runner.backend->id.value() != *homes.begin());
}

TEST_CASE("a starting node queries each engine once for its cached parts and records them") {
  simulation::VirtualTime time;
  FleetState fleet;
  LoadTable loads;
  gateway::testing::FakeEngineCalls engines;
  std::vector<http::ClientRequest> asked;
  CacheSurvey survey(time, engines, fleet, loads,
                     [&](const BackendId&, http::ClientRequest request, const auto& done) {
                       const bool second = request.endpoint.value() == "b:1";
                       asked.push_back(std::move(request));
                       done(second ? "k1" : "");
                     });
  survey.begin(NodeId("n1"), {NodeId("n1")});
  CHECK(asked.empty());
  for (const char* id : {"a", "b", "c"}) {
    Backend engine = make_engine(id, EngineRole::kDecode);
    engine.address = Endpoint(std::string(id) + ":1");
    fleet.put(engine);
  }
  Backend ordinary = make_engine("o", EngineRole::kNone);
  fleet.put(ordinary);
  survey.begin(NodeId("n1"), {NodeId("n1")});
  survey.begin(NodeId("n1"), {NodeId("n1")});
  CHECK(asked.size() == 3);
  for (const http::ClientRequest& request : asked) {
    CHECK(request.close_ends_answer);
  }
  CHECK(loads.find_or_create(BackendId("b")).holds(stable_hash("k1"), time.now()));
  CHECK_FALSE(loads.find_or_create(BackendId("a")).holds(stable_hash("k1"), time.now()));
}

TEST_CASE("a shared part is fetched from an engine that certainly has it cached") {
  FleetState fleet;
  for (const char* id : {"near", "far", "target"}) {
    Backend engine = make_engine(id, EngineRole::kDecode);
    engine.zone = ZoneName(id == std::string("far") ? "other" : "own");
    fleet.put(engine);
  }
  const Backend& target = *fleet.find(BackendId("target"));
  const Prompt prompt = parse_prompt("k1:9000,own:500", "9500,10");
  const ServiceName service("llm");
  const MonotonicTime start{};
  LoadTable loads;
  loads.note_prompt(BackendId("near"), prompt, start);
  SUBCASE("a part whose prefill may still run is not fetched") {
    CHECK(CacheSources(fleet, loads, service, prompt, start + 100ms).best_for(target) == nullptr);
  }
  SUBCASE("an engine in the same zone is preferred even if another engine used the part later") {
    loads.note_prompt(BackendId("far"), prompt, start + 100ms);
    const CacheSources sources(fleet, loads, service, prompt, start + 2s);
    REQUIRE(sources.best_for(target) != nullptr);
    CHECK(sources.best_for(target)->id.value() == "near");
    CHECK(sources.tokens_for(target) == 9000);
  }
  SUBCASE("an engine does not fetch from itself") {
    const CacheSources sources(fleet, loads, service, prompt, start + 2s);
    CHECK(sources.best_for(*fleet.find(BackendId("near"))) == nullptr);
    CHECK(sources.tokens_for(*fleet.find(BackendId("near"))) == 0);
  }
  SUBCASE("a part is not fetched from an unresponsive engine or long after its last use") {
    CHECK(CacheSources(fleet, loads, service, prompt, start + 121s).best_for(target) == nullptr);
    // Earlier if enough other parts have been prefilled there that it may have been evicted.
    for (std::uint64_t other = 0; other != 11; ++other) {
      for (const char* engine : {"near", "far"}) {
        loads.note_cached(BackendId(engine), other, start + 2s);
      }
    }
    CHECK(CacheSources(fleet, loads, service, prompt, start + 60s).best_for(target) == nullptr);
    loads.note_unresponsive(BackendId("near"), start + 2s);
    CHECK(CacheSources(fleet, loads, service, prompt, start + 2s).best_for(target) == nullptr);
  }
}

TEST_CASE("a prompt whose home is busy goes to another engine, which fetches the shared part") {
  FleetState fleet;
  for (const char* id : {"a", "b"}) {
    fleet.put(make_engine(id, EngineRole::kDecode));
  }
  const Prompt prompt = parse_prompt("k1:9000,own:500", "9500,10");
  PlacementRequest request;
  request.service = ServiceName("llm");
  request.prompt = &prompt;
  SeededRandom random(1);
  LoadTable loads;
  loads.note_prompt(BackendId("a"), prompt, {});
  loads.find_or_create(BackendId("a")).begin(20'000);
  const Placement placement(fleet, loads, random, ZoneName("z"));
  const PlacementPlan plan = placement.choose(request, MonotonicTime() + 2s);
  REQUIRE(plan.runner.backend != nullptr);
  CHECK(plan.runner.backend->id.value() == "b");
  REQUIRE(plan.runner.fetch_source != nullptr);
  CHECK(plan.runner.fetch_source->id.value() == "a");
  CHECK(plan.runner.prefill_tokens == 500);
}

TEST_CASE("among equal engines, one with an open connection is chosen") {
  FleetState fleet;
  for (const char* id : {"a", "b", "c", "d"}) {
    fleet.put(make_engine(id, EngineRole::kDecode));
  }
  const Prompt prompt = parse_prompt("own:1000", "1000,10");
  PlacementRequest request;
  request.service = ServiceName("llm");
  request.prompt = &prompt;
  request.connected = [](const Backend& backend) { return backend.id.value() == "c"; };
  SeededRandom random(1);
  LoadTable loads;
  const Placement placement(fleet, loads, random, ZoneName("z"));
  CHECK(placement.choose(request, {}).runner.backend->id.value() == "c");
  loads.find_or_create(BackendId("c")).begin(5'000);
  CHECK(placement.choose(request, {}).runner.backend->id.value() != "c");
}

TEST_CASE("a prompt runs in the zone of the engine that prefilled it") {
  FleetState fleet;
  for (const char* id : {"p", "d-near", "d-far"}) {
    Backend engine = make_engine(id, *id == 'p' ? EngineRole::kPrefill : EngineRole::kDecode);
    engine.zone = ZoneName(id == std::string("d-far") ? "other" : "own");
    fleet.put(engine);
  }
  const Prompt prompt = parse_prompt("k1:9000,own:9000", "18000,10");
  PlacementRequest request;
  request.service = ServiceName("llm");
  request.prompt = &prompt;
  LoadTable loads;
  loads.find_or_create(BackendId("d-near")).begin(0);
  for (std::uint64_t seed = 0; seed != 20; ++seed) {
    SeededRandom random(seed);
    const Placement placement(fleet, loads, random, ZoneName("other"));
    const PlacementPlan plan = placement.choose(request, {});
    REQUIRE(plan.prefill.backend != nullptr);
    CHECK(plan.runner.backend->id.value() == "d-near");
  }
}

TEST_CASE("nodes that start together query each engine once and announce its cached parts") {
  simulation::VirtualTime time;
  FleetState fleet;
  for (int i = 0; i != 40; ++i) {
    fleet.put(make_engine("e" + std::to_string(i), EngineRole::kDecode));
  }
  gateway::testing::FakeEngineCalls engines;
  const std::vector<NodeId> nodes{NodeId("n1"), NodeId("n2"), NodeId("n3")};
  std::size_t asked = 0;
  std::size_t announced = 0;
  for (const NodeId& node : nodes) {
    LoadTable loads;
    loads.on_parts_cached([&](const BackendId&, const std::vector<std::uint64_t>& keys) {
      announced += keys.size();
    });
    std::size_t asked_by_node = 0;
    CacheSurvey survey(time, engines, fleet, loads,
                       [&](const BackendId&, const http::ClientRequest&, const auto& done) {
                         ++asked_by_node;
                         done("k1");
                       });
    survey.begin(node, nodes);
    CHECK(asked_by_node > 0);
    asked += asked_by_node;
  }
  CHECK(asked == 40);
  CHECK(announced == 40);
}

TEST_CASE("a back end that fails for other nodes is avoided, and used again later") {
  FleetState fleet;
  for (const char* id : {"a", "b"}) {
    fleet.put(make_engine(id, EngineRole::kDecode));
  }
  const Prompt prompt = parse_prompt("own:1000", "1000,10");
  PlacementRequest request;
  request.service = ServiceName("llm");
  request.prompt = &prompt;
  SeededRandom random(1);
  LoadTable loads;
  const MonotonicTime now = MonotonicTime() + 10s;
  for (int i = 0; i != 200; ++i) {
    loads.find_or_create(BackendId("a")).note_peer_outcomes(2, 2, now);
  }
  loads.find_or_create(BackendId("b")).begin(5'000);
  const Placement placement(fleet, loads, random, ZoneName("z"));
  CHECK(placement.choose(request, now).runner.backend->id.value() == "b");
  CHECK(loads.find_or_create(BackendId("a")).failure_share(now) > 0.8);
  CHECK(loads.find_or_create(BackendId("a")).failure_share(now + 15s) < 0.2);
}

TEST_CASE("a cold back end is not chosen while a warm one is equally idle") {
  FleetState fleet;
  for (const char* id : {"a", "b"}) {
    Backend backend = make_engine(id, EngineRole::kNone);
    backend.cold = id == std::string("a");
    fleet.put(backend);
  }
  SeededRandom random(1);
  LoadTable loads;
  const Placement placement(fleet, loads, random, ZoneName("z"));
  PlacementRequest request;
  request.service = ServiceName("llm");
  CHECK(placement.choose(request, {}).runner.backend->id.value() == "b");
}

TEST_CASE(
    "another node's report of an unresponsive back end counts unless the back end has just "
    "answered this node") {
  const MonotonicTime now = MonotonicTime() + 10s;
  BackendLoad unknown;
  unknown.note_peer_unresponsive(now);
  CHECK(unknown.ejected(now + 900ms));
  CHECK_FALSE(unknown.ejected(now + 1100ms));
  BackendLoad answering;
  answering.begin(0);
  answering.end(AttemptOutcome::kSucceeded, now - 100ms);
  answering.note_peer_unresponsive(now);
  CHECK_FALSE(answering.ejected(now + 100ms));
}

TEST_CASE("attempts that end at a forgotten back end do not add it again") {
  LoadTable loads;
  const BackendId id("e");
  loads.begin(id, 10);
  loads.forget(id);
  loads.note_report(id, {1, 1, 1}, {});
  loads.note_prefilled(id, 10);
  loads.note_unresponsive(id, {});
  loads.end(id, AttemptOutcome::kSucceeded, {});
  CHECK(loads.find(id) == nullptr);
}

TEST_CASE("prompt parts that are no longer assumed to be cached are pruned") {
  BackendLoad load;
  MonotonicTime now{};
  for (std::uint64_t key = 0; key != 100'000; ++key) {
    now += 10ms;
    load.note_cached(key, now);
  }
  CHECK(load.holds(99'999, now));
  CHECK(load.cached_parts() < 5'000);
}
