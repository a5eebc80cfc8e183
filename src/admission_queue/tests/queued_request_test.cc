// Requests of a gateway whose back ends are full: what their callers get, and what back ends are
// sent.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "admission_queue/admission_queue.h"
#include "gateway/tests/gateway_fixture.h"

using namespace ochrespring;
using namespace ochrespring::admission_queue;
using namespace ochrespring::gateway;
using namespace ochrespring::gateway::testing;
using namespace std::chrono_literals;

namespace {

/// Slots of the back end `b`, and requests that may wait there.
constexpr std::size_t kRoom = 8 + 4;

struct QueueingWorld : GatewayFixture {
  AdmissionQueue queue{{time, time, random, logger, [] { return 1U; }},
                       {.requests = 100, .bytes = 1'000'000}};
  Gateway queueing{environment_with_queue(), [](auto done) { done(true); }};

  Environment environment_with_queue() {
    Environment made = environment();
    made.replicates_resumable = true;
    made.queue = &queue;
    return made;
  }
  std::shared_ptr<PlayedCaller> ask(const std::string& path, const std::string& body = "body") {
    auto caller = std::make_shared<PlayedCaller>();
    queueing.handle({"POST", path, "", {{"host", "h"}, {"x-request-id", "r"}}, body}, caller);
    return caller;
  }
  /// Requests that take all the room of `b`.
  void fill() {
    add_backend("b", "relay");
    for (std::size_t i = 0; i != kRoom; ++i) {
      ask("/once/" + std::to_string(i));
    }
    REQUIRE(sends() == kRoom);
  }
  void end_one(std::size_t which) {
    transport.started.at(which)->answer(200, {signature()}, "done");
  }
};

}  // namespace

TEST_CASE("a request waits only while all back ends are full, and is sent when one has room") {
  QueueingWorld world;
  world.fill();
  CHECK(world.queue.waiting() == 0);
  const auto caller = world.ask("/once/queued");
  CHECK(world.sends() == kRoom);
  CHECK(world.queueing.held().queued == 1);
  CHECK(world.queueing.held().at_back_ends == kRoom);
  world.advance(60ms);
  CHECK(world.sends() == kRoom);
  world.end_one(0);
  world.advance(1ms);
  CHECK(world.sends() == kRoom + 1);
  CHECK(world.queue.waiting() == 0);
  world.end_one(kRoom);
  CHECK(caller->body == "done");
  CHECK(world.queue.statistics().actual_wait.count() == 1);
}

TEST_CASE("a place that another node has freed is found without an attempt of this node's own") {
  QueueingWorld world;
  world.add_backend("b", "relay");
  world.loads.find_or_create(BackendId("b"))
      .note_report({.running = 40, .waiting = 0, .slots = 8}, world.time.now());
  world.ask("/once/queued");
  REQUIRE(world.queue.waiting() == 1);
  world.loads.find_or_create(BackendId("b"))
      .note_report({.running = 2, .waiting = 0, .slots = 8}, world.time.now());
  world.advance(60ms);
  CHECK(world.sends() == 1);
}

TEST_CASE("queues of many nodes do not wake at one time for one free place") {
  struct Waiter final : QueueWaiter {
    explicit Waiter(const Clock& its_clock) : clock(its_clock) {}
    QueueTurn take_turn() override {
      turn = turn.value_or(clock.now());
      return QueueTurn::kNoRoom;
    }
    void on_rejected(const QueueRejection& /*rejection*/) override {}
    const RequestFingerprint& queue_fingerprint() override { return fingerprint; }
    const Clock& clock;
    RequestFingerprint fingerprint;
    std::optional<MonotonicTime> turn;
  };
  QueueingWorld world;
  constexpr std::uint32_t kNodes = 40;
  std::vector<std::unique_ptr<Waiter>> waiters;
  std::vector<std::unique_ptr<AdmissionQueue>> queues;
  std::vector<std::unique_ptr<QueuePlace>> places;
  for (std::uint32_t i = 0; i != kNodes; ++i) {
    queues.push_back(std::make_unique<AdmissionQueue>(
        AdmissionQueue::Surroundings{world.time, world.time, world.random, world.logger,
                                     [] { return kNodes; }},
        QueueLimits{.requests = 10}));
    waiters.push_back(std::make_unique<Waiter>(world.time));
    QueueRequest request;
    request.deadline = world.time.now() + 2s;
    places.push_back(queues.back()->join(request, *waiters.back()).place);
    REQUIRE(places.back());
  }
  world.advance(100ms);
  std::map<std::int64_t, int> woken;
  for (const auto& waiter : waiters) {
    REQUIRE(waiter->turn);
    ++woken[std::chrono::duration_cast<std::chrono::milliseconds>(waiter->turn->time_since_epoch())
                .count()];
  }
  for (const auto& [millisecond, count] : woken) {
    CHECK(count <= 6);
  }
}

TEST_CASE("a caller that leaves frees its place at once and nothing is sent for it") {
  QueueingWorld world;
  world.fill();
  const auto caller = world.ask("/once/queued");
  caller->leave();
  CHECK(world.queue.waiting() == 0);
  CHECK(world.queueing.held().total() == kRoom);
  world.end_one(0);
  world.advance(100ms);
  CHECK(world.sends() == kRoom);
}

TEST_CASE("no request is held past its deadline, and one that was never sent ends as not run") {
  QueueingWorld world;
  world.fill();
  const auto caller = world.ask("/once/queued");
  world.advance(1990ms);
  CHECK(caller->head.status == 503);
  CHECK(caller->body.find("overloaded") != std::string::npos);
  CHECK_FALSE(caller->header("retry-after").empty());
  CHECK(world.queue.statistics().rejected_expired == 1);
  CHECK(world.sends() == kRoom);
}

TEST_CASE(
    "a request that cannot be served in time is rejected at once, and not where there is room") {
  QueueingWorld world;
  world.fill();
  for (int i = 0; i != 50; ++i) {
    world.ask("/once/q" + std::to_string(i));
  }
  for (std::size_t i = 0; i != 4; ++i) {
    world.advance(200ms);
    world.end_one(i);
  }
  world.advance(1ms);
  // The others are late by now; new ones go before them as long as they can be on time.
  CHECK(world.ask("/once/first")->head.status == 0);
  CHECK(world.ask("/once/second")->head.status == 0);
  const auto late = world.ask("/once/late");
  CHECK(late->head.status == 503);
  CHECK(world.queue.statistics().rejected_too_late == 1);
  // Told to come back, and told the same time when it comes sooner.
  const double told = std::stod(late->header("retry-after"));
  world.advance(100ms);
  const double again = std::stod(world.ask("/once/late")->header("retry-after"));
  CHECK(again == doctest::Approx(told - 0.1).epsilon(0.02));
  world.add_backend("c", "relay");
  const auto in_time = world.ask("/once/in-time");
  CHECK(in_time->head.status == 0);
  world.advance(500ms);
  CHECK(world.queue.waiting() < 45);
}

TEST_CASE("a planned stop rejects those that wait, and serves others as long as there is room") {
  QueueingWorld world;
  world.fill();
  const auto waiting = world.ask("/once/waiting");
  world.queue.stop();
  CHECK(waiting->head.status == 503);
  CHECK(waiting->body.find("stopping") != std::string::npos);
  CHECK(world.queue.waiting() == 0);
  CHECK(world.ask("/once/late")->head.status == 503);
  world.end_one(0);
  world.ask("/once/served");
  CHECK(world.sends() == kRoom + 1);
}

TEST_CASE("a queued request goes on under the configuration that it was admitted under") {
  QueueingWorld world;
  world.fill();
  const auto caller = world.ask("/once/queued");
  Configuration without = GatewayFixture::make_configuration(2);
  std::erase_if(without.routes, [](const Route& route) { return route.path_prefix == "/once/"; });
  world.fleet.apply(std::move(without));
  world.end_one(0);
  world.advance(1ms);
  REQUIRE(world.sends() == kRoom + 1);
  world.end_one(kRoom);
  CHECK(caller->body == "done");
}

TEST_CASE("a connection that fails costs a request neither its place nor its answer") {
  QueueingWorld world;
  world.add_backend("c", "relay");
  for (std::size_t i = 0; i != kRoom; ++i) {
    world.loads.begin(BackendId("c"), 0);
  }
  world.fill();
  world.ask("/once/first");
  world.ask("/once/second");
  world.end_one(0);
  world.advance(1ms);
  REQUIRE(world.last().request.path == "/once/first");
  world.last().fail(http::HttpErrc::kConnect, false);
  CHECK(world.last().request.path == "/once/first");
  CHECK(world.last().open);
  CHECK(world.queue.waiting() == 1);
}

TEST_CASE("a stream that breaks while all engines are full goes on before those that wait") {
  QueueingWorld world;
  world.add_backend("d", "llm", EngineRole::kDecode);
  world.add_backend("e", "llm", EngineRole::kDecode);
  std::vector<std::shared_ptr<PlayedCaller>> callers;
  for (std::size_t i = 0; i != 16; ++i) {
    callers.push_back(world.ask("/resumable/" + std::to_string(i)));
  }
  REQUIRE(world.sends() == 16);
  const auto waiting = world.ask("/resumable/waiting");
  REQUIRE(world.queue.waiting() == 1);
  PlayedExchange& broken = *world.transport.started.at(0);
  broken.observer->on_head({200, {world.signature(), {"content-type", "text/event-stream"}}});
  broken.observer->on_body("id: 1\ndata: x\n\n");
  broken.fail(http::HttpErrc::kTruncated, true);
  CHECK(world.queue.waiting() == 2);
  for (std::size_t i = 1; i != 16; ++i) {
    world.transport.started.at(i)->answer(200, {world.signature()}, "id: 1\ndata: x\n\n");
  }
  world.advance(1ms);
  REQUIRE(world.sends() >= 17);
  CHECK(world.transport.started.at(16)->request.path == "/resumable/0");
  CHECK_FALSE(callers.front()->ended());
}

namespace {

/// Two engines that replicate runs, and one stream that has begun.
struct ReplicatingWorld : QueueingWorld {
  ReplicatingWorld() {
    Configuration configuration = make_configuration(2);
    configuration.services[1].engine->backs_up_streams = true;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    add_backend("d", "llm", EngineRole::kDecode);
    add_backend("e", "llm", EngineRole::kDecode);
  }
  std::shared_ptr<PlayedCaller> begin_stream(Gateway& entry) {
    auto caller = std::make_shared<PlayedCaller>();
    entry.handle({"POST",
                  "/resumable/x",
                  "",
                  {{"host", "h"},
                   {"x-request-id", "r"},
                   {names.prompt_parts, "aa:100"},
                   {names.token_counts, "200,6000"}},
                  "body"},
                 caller);
    REQUIRE_FALSE(last().header(names.cache_backup).empty());
    last().observer->on_head({200, {signature()}});
    last().observer->on_body("id: 1\ndata: x\n\n");
    return caller;
  }
};

}  // namespace

// The copy would be dropped by its engine while the stream waits, or the queue be bypassed by a run
// that it never let through.
TEST_CASE_FIXTURE(ReplicatingWorld, "a continuation does not queue, but a repeat after it does") {
  const auto caller = begin_stream(queueing);
  for (std::size_t i = 0; i != 8; ++i) {
    loads.begin(BackendId("d"), 0);
    loads.begin(BackendId("e"), 0);
  }
  ask("/resumable/waiting");
  REQUIRE(queue.waiting() == 1);
  const std::string backup = last().header(names.cache_backup);
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  CHECK(last().request.endpoint.value() == backup);
  CHECK(queue.waiting() == 1);
  fleet.remove(BackendId(backup.substr(0, backup.find(':'))));
  add_backend("f", "llm", EngineRole::kDecode);
  for (std::size_t i = 0; i != 8; ++i) {
    loads.begin(BackendId("f"), 0);
  }
  last().fail(http::HttpErrc::kConnect, false);
  CHECK(sends() == 2);
  CHECK(queue.waiting() == 2);
  CHECK_FALSE(caller->ended());
  caller->leave();
  CHECK(queue.waiting() == 1);
}

// The queue would predict too short waits from refusals that cost an engine nothing.
TEST_CASE_FIXTURE(ReplicatingWorld, "an engine without the copy has completed nothing") {
  struct RecordingQueue final : RequestQueue {
    bool enabled() const override { return false; }
    bool has_waiting(const ServiceName& /*service*/) const override { return false; }
    std::size_t waiting() const override { return 0; }
    JoinResult join(QueueRequest /*request*/, QueueWaiter& /*waiter*/) override { return {}; }
    void note_attempt_ended(const ServiceName& /*service*/, bool completed) override {
      completions.push_back(completed);
    }
    std::vector<bool> completions;
  } recording;
  Environment made = environment();
  made.replicates_resumable = true;
  made.queue = &recording;
  Gateway recorded{made, [](auto done) { done(true); }};
  const auto caller = begin_stream(recorded);
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  last().answer(503, {{names.not_run, "1"}}, "");
  CHECK(recording.completions == std::vector<bool>{true, false});
}

TEST_CASE("requests wait for servers that have all gone only as long as they can") {
  QueueingWorld world;
  world.fill();
  const auto waiting = world.ask("/once/queued");
  world.fleet.remove(BackendId("b"));
  world.advance(500ms);
  CHECK_FALSE(waiting->ended());
  world.advance(1490ms);
  CHECK(waiting->head.status == 503);
  // There is nothing to wait for from the beginning.
  CHECK(world.ask("/once/new")->body.find("no-backend") != std::string::npos);
}

TEST_CASE("an engine has room while what it reads ends before the target of the next first event") {
  struct Profiles final : EngineProfiles {
    std::optional<EngineProfile> find(const Backend& /*engine*/,
                                      MonotonicTime /*now*/) const override {
      return EngineProfile{.output_token = 1ms, .prompt_token = prompt_token};
    }
    std::optional<EngineProfile> usual(const ServiceName& /*service*/,
                                       MonotonicTime /*now*/) const override {
      return std::nullopt;
    }
    double share_slower_than(const ServiceName& /*service*/, double /*factor*/,
                             MonotonicTime /*now*/) const override {
      return 0;
    }
    Duration prompt_token = 10us;
  } profiles;
  QueueingWorld world;
  world.add_backend("d", "llm", EngineRole::kDecode);
  const Prompt prompt = parse_prompt("own:1000", "1000,10");
  PlacementRequest wanted;
  wanted.service = ServiceName("llm");
  wanted.prompt = &prompt;
  const MonotonicTime now = world.time.now();
  const auto has_room = [&] {
    return world.placement.has_room(
        {.request = wanted, .target_latency = 100ms, .profiles = &profiles},
        world.placement.choose(wanted, now), now);
  };
  // An engine that also decodes takes 20 ms for 1,000 tokens.
  world.loads.begin(BackendId("d"), 3'900);
  CHECK(has_room());
  world.loads.begin(BackendId("d"), 200);
  CHECK_FALSE(has_room());
  profiles.prompt_token = Duration::zero();
  CHECK(has_room());
  profiles.prompt_token = 1ms;
  CHECK_FALSE(has_room());
  // A prompt that misses its target by itself is not kept from an idle engine.
  world.loads.note_prefilled(BackendId("d"), 4'100);
  CHECK(has_room());
}
