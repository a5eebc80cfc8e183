// Requests of a gateway whose back ends are full: answers to callers and requests to back ends.
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

/// Slots of the back end `b` plus the requests that may wait there.
constexpr std::size_t kCapacity = 8 + 4;

struct QueueingFixture : GatewayFixture {
  AdmissionQueue queue{{time, time, random, logger, [] { return 1U; }},
                       {.requests = 100, .bytes = 1'000'000}};
  Gateway gateway_with_queue{environment_with_queue(), [](auto done) { done(true); }};

  Environment environment_with_queue() {
    Environment result = environment();
    result.replicate_retryable_streams = true;
    result.queue = &queue;
    return result;
  }
  std::shared_ptr<FakeCaller> send_request(const std::string& path,
                                           const std::string& body = "body") {
    auto caller = std::make_shared<FakeCaller>();
    gateway_with_queue.handle({"POST", path, "", {{"host", "h"}, {"x-request-id", "r"}}, body},
                              caller);
    return caller;
  }
  /// Sends requests that use all slots and waiting places of `b`.
  void fill() {
    add_backend("b", "relay");
    for (std::size_t i = 0; i != kCapacity; ++i) {
      send_request("/once/" + std::to_string(i));
    }
    REQUIRE(sends() == kCapacity);
  }
  void complete(std::size_t which) {
    transport.started.at(which)->answer(200, {signature()}, "done");
  }
};

}  // namespace

TEST_CASE("a request waits only while all back ends are full and is sent when one has room") {
  QueueingFixture fixture;
  fixture.fill();
  CHECK(fixture.queue.waiting() == 0);
  const auto caller = fixture.send_request("/once/queued");
  CHECK(fixture.sends() == kCapacity);
  CHECK(fixture.gateway_with_queue.held().queued == 1);
  CHECK(fixture.gateway_with_queue.held().awaiting_backend == kCapacity);
  fixture.advance(60ms);
  CHECK(fixture.sends() == kCapacity);
  fixture.complete(0);
  fixture.advance(1ms);
  CHECK(fixture.sends() == kCapacity + 1);
  CHECK(fixture.queue.waiting() == 0);
  fixture.complete(kCapacity);
  CHECK(caller->body == "done");
  CHECK(fixture.queue.statistics().actual_wait.count() == 1);
}

TEST_CASE("a slot freed by another node's request is used without an attempt of this node ending") {
  QueueingFixture fixture;
  fixture.add_backend("b", "relay");
  fixture.loads.find_or_create(BackendId("b"))
      .note_report({.running = 40, .waiting = 0, .slots = 8}, fixture.time.now());
  fixture.send_request("/once/queued");
  REQUIRE(fixture.queue.waiting() == 1);
  fixture.loads.find_or_create(BackendId("b"))
      .note_report({.running = 2, .waiting = 0, .slots = 8}, fixture.time.now());
  fixture.advance(60ms);
  CHECK(fixture.sends() == 1);
}

TEST_CASE("the queues of many nodes are not dispatched at the same time") {
  struct Waiter final : QueueWaiter {
    explicit Waiter(const Clock& its_clock) : clock(its_clock) {}
    DispatchResult try_dispatch() override {
      turn = turn.value_or(clock.now());
      return DispatchResult::kNoRoom;
    }
    void on_rejected(const QueueRejection& /*rejection*/) override {}
    const RequestFingerprint& queue_fingerprint() override { return fingerprint; }
    const Clock& clock;
    RequestFingerprint fingerprint;
    std::optional<MonotonicTime> turn;
  };
  QueueingFixture fixture;
  constexpr std::uint32_t kNodes = 40;
  std::vector<std::unique_ptr<Waiter>> waiters;
  std::vector<std::unique_ptr<AdmissionQueue>> queues;
  std::vector<std::unique_ptr<QueuePlace>> places;
  for (std::uint32_t i = 0; i != kNodes; ++i) {
    queues.push_back(std::make_unique<AdmissionQueue>(
        AdmissionQueue::Dependencies{fixture.time, fixture.time, fixture.random, fixture.logger,
                                     [] { return kNodes; }},
        QueueLimits{.requests = 10}));
    waiters.push_back(std::make_unique<Waiter>(fixture.time));
    QueueRequest request;
    request.deadline = fixture.time.now() + 2s;
    places.push_back(queues.back()->join(request, *waiters.back()).place);
    REQUIRE(places.back());
  }
  fixture.advance(100ms);
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

TEST_CASE("a disconnected caller's request leaves the queue at once and is not sent") {
  QueueingFixture fixture;
  fixture.fill();
  const auto caller = fixture.send_request("/once/queued");
  caller->disconnect();
  CHECK(fixture.queue.waiting() == 0);
  CHECK(fixture.gateway_with_queue.held().total() == kCapacity);
  fixture.complete(0);
  fixture.advance(100ms);
  CHECK(fixture.sends() == kCapacity);
}

TEST_CASE("a queued request is answered with 503 shortly before its deadline") {
  QueueingFixture fixture;
  fixture.fill();
  const auto caller = fixture.send_request("/once/queued");
  fixture.advance(1990ms);
  CHECK(caller->head.status == 503);
  CHECK(caller->body.find("overloaded") != std::string::npos);
  CHECK_FALSE(caller->header("retry-after").empty());
  CHECK(fixture.queue.statistics().rejected_expired == 1);
  CHECK(fixture.sends() == kCapacity);
}

TEST_CASE(
    "a request that cannot be served in time is rejected at once unless a back end has room") {
  QueueingFixture fixture;
  fixture.fill();
  for (int i = 0; i != 50; ++i) {
    fixture.send_request("/once/q" + std::to_string(i));
  }
  for (std::size_t i = 0; i != 4; ++i) {
    fixture.advance(200ms);
    fixture.complete(i);
  }
  fixture.advance(1ms);
  // The others are late by now; new requests precede them while they can be on time.
  CHECK(fixture.send_request("/once/first")->head.status == 0);
  CHECK(fixture.send_request("/once/second")->head.status == 0);
  const auto late = fixture.send_request("/once/late");
  CHECK(late->head.status == 503);
  CHECK(fixture.queue.statistics().rejected_too_late == 1);
  // A caller that retries early gets the same retry time again.
  const double retry_after = std::stod(late->header("retry-after"));
  fixture.advance(100ms);
  const double early_retry_after =
      std::stod(fixture.send_request("/once/late")->header("retry-after"));
  CHECK(early_retry_after == doctest::Approx(retry_after - 0.1).epsilon(0.02));
  fixture.add_backend("c", "relay");
  const auto in_time = fixture.send_request("/once/in-time");
  CHECK(in_time->head.status == 0);
  fixture.advance(500ms);
  CHECK(fixture.queue.waiting() < 45);
}

TEST_CASE("a planned stop rejects waiting requests and serves others while there is room") {
  QueueingFixture fixture;
  fixture.fill();
  const auto waiting = fixture.send_request("/once/waiting");
  fixture.queue.stop();
  CHECK(waiting->head.status == 503);
  CHECK(waiting->body.find("stopping") != std::string::npos);
  CHECK(fixture.queue.waiting() == 0);
  CHECK(fixture.send_request("/once/late")->head.status == 503);
  fixture.complete(0);
  fixture.send_request("/once/served");
  CHECK(fixture.sends() == kCapacity + 1);
}

TEST_CASE("a queued request keeps the configuration under which it was admitted") {
  QueueingFixture fixture;
  fixture.fill();
  const auto caller = fixture.send_request("/once/queued");
  Configuration without = GatewayFixture::make_configuration(2);
  std::erase_if(without.routes, [](const Route& route) { return route.path_prefix == "/once/"; });
  fixture.fleet.apply(std::move(without));
  fixture.complete(0);
  fixture.advance(1ms);
  REQUIRE(fixture.sends() == kCapacity + 1);
  fixture.complete(kCapacity);
  CHECK(caller->body == "done");
}

TEST_CASE("a request whose connection fails keeps its place before waiting requests") {
  QueueingFixture fixture;
  fixture.add_backend("c", "relay");
  for (std::size_t i = 0; i != kCapacity; ++i) {
    fixture.loads.begin(BackendId("c"), 0);
  }
  fixture.fill();
  fixture.send_request("/once/first");
  fixture.send_request("/once/second");
  fixture.complete(0);
  fixture.advance(1ms);
  REQUIRE(fixture.last().request.path == "/once/first");
  fixture.last().fail(http::HttpErrc::kConnect, false);
  CHECK(fixture.last().request.path == "/once/first");
  CHECK(fixture.last().open);
  CHECK(fixture.queue.waiting() == 1);
}

TEST_CASE(
    "a stream that breaks while all engines are full resumes before waiting requests are sent") {
  QueueingFixture fixture;
  fixture.add_backend("d", "llm", EngineRole::kDecode);
  fixture.add_backend("e", "llm", EngineRole::kDecode);
  std::vector<std::shared_ptr<FakeCaller>> callers;
  for (std::size_t i = 0; i != 16; ++i) {
    callers.push_back(fixture.send_request("/resumable/" + std::to_string(i)));
  }
  REQUIRE(fixture.sends() == 16);
  const auto waiting = fixture.send_request("/resumable/waiting");
  REQUIRE(fixture.queue.waiting() == 1);
  FakeExchange& broken = *fixture.transport.started.at(0);
  broken.observer->on_head({200, {fixture.signature(), {"content-type", "text/event-stream"}}});
  broken.observer->on_body("id: 1\ndata: x\n\n");
  broken.fail(http::HttpErrc::kTruncated, true);
  CHECK(fixture.queue.waiting() == 2);
  for (std::size_t i = 1; i != 16; ++i) {
    fixture.transport.started.at(i)->answer(200, {fixture.signature()}, "id: 1\ndata: x\n\n");
  }
  fixture.advance(1ms);
  REQUIRE(fixture.sends() >= 17);
  CHECK(fixture.transport.started.at(16)->request.path == "/resumable/0");
  CHECK_FALSE(callers.front()->ended());
}

namespace {

/// A gateway with two engines that replicate runs, and one stream that has begun.
struct ReplicatingFixture : QueueingFixture {
  ReplicatingFixture() {
    Configuration configuration = make_configuration(2);
    configuration.services[1].engine->backs_up_streams = true;
    configuration.services[1].engine->tokens_per_event = 75;
    fleet.apply(std::move(configuration));
    add_backend("d", "llm", EngineRole::kDecode);
    add_backend("e", "llm", EngineRole::kDecode);
  }
  std::shared_ptr<FakeCaller> begin_stream(Gateway& gateway_under_test) {
    auto caller = std::make_shared<FakeCaller>();
    gateway_under_test.handle({"POST",
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

// A resumed stream must not queue: the engine could evict its copy of the KV cache meanwhile. A
// retry after it must queue like any other request.
TEST_CASE_FIXTURE(ReplicatingFixture,
                  "a resumed stream does not queue, but a retry after it does") {
  const auto caller = begin_stream(gateway_with_queue);
  for (std::size_t i = 0; i != 8; ++i) {
    loads.begin(BackendId("d"), 0);
    loads.begin(BackendId("e"), 0);
  }
  send_request("/resumable/waiting");
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
  caller->disconnect();
  CHECK(queue.waiting() == 1);
}

// If such refusals, which cost an engine nothing, counted as completions, the queue would predict
// waits that are too short.
TEST_CASE_FIXTURE(
    ReplicatingFixture,
    "a refusal by an engine without a copy of the KV cache does not count as a completion") {
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
  Environment recorded_environment = environment();
  recorded_environment.replicate_retryable_streams = true;
  recorded_environment.queue = &recording;
  Gateway recorded{recorded_environment, [](auto done) { done(true); }};
  const auto caller = begin_stream(recorded);
  last().fail(http::HttpErrc::kReset, true);
  REQUIRE(sends() == 2);
  last().answer(503, {{names.not_run, "1"}}, "");
  CHECK(recording.completions == std::vector<bool>{true, false});
}

TEST_CASE("requests wait until their deadline if all back ends are removed") {
  QueueingFixture fixture;
  fixture.fill();
  const auto waiting = fixture.send_request("/once/queued");
  fixture.fleet.remove(BackendId("b"));
  fixture.advance(500ms);
  CHECK_FALSE(waiting->ended());
  fixture.advance(1490ms);
  CHECK(waiting->head.status == 503);
  // A new request is rejected at once, since there is no back end to wait for.
  CHECK(fixture.send_request("/once/new")->body.find("no-backend") != std::string::npos);
}

TEST_CASE(
    "an engine has room while its pending prefill work ends before the target latency of the new "
    "request") {
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
  QueueingFixture fixture;
  fixture.add_backend("d", "llm", EngineRole::kDecode);
  const Prompt prompt = parse_prompt("own:1000", "1000,10");
  PlacementRequest wanted;
  wanted.service = ServiceName("llm");
  wanted.prompt = &prompt;
  const MonotonicTime now = fixture.time.now();
  const auto has_room = [&] {
    return fixture.placement.has_room(
        {.request = wanted, .target_latency = 100ms, .profiles = &profiles},
        fixture.placement.choose(wanted, now), now);
  };
  // An engine that also decodes takes 20 ms for 1,000 tokens.
  fixture.loads.begin(BackendId("d"), 3'900);
  CHECK(has_room());
  fixture.loads.begin(BackendId("d"), 200);
  CHECK_FALSE(has_room());
  profiles.prompt_token = Duration::zero();
  CHECK(has_room());
  profiles.prompt_token = 1ms;
  CHECK_FALSE(has_room());
  // A prompt that misses its target by itself may still be sent to an idle engine.
  fixture.loads.note_prefilled(BackendId("d"), 4'100);
  CHECK(has_room());
}
