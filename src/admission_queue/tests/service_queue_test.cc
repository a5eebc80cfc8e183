// Who may wait, and what those are told that may not.
#include "admission_queue/service_queue.h"

#include <doctest/doctest.h>

using namespace ochrespring;
using namespace ochrespring::admission_queue;
using namespace std::chrono_literals;
using gateway::QueueRejectReason;
using gateway::QueueRequest;

namespace {

struct QueueWorld {
  ServiceQueue queue;
  SeededRandom random{3};
  QueueLimits limits{.requests = 1000, .bytes = 1000};
  MonotonicTime now{1h};
  Handle next = 0;

  QueueRequest make_request(const std::string& tenant = "t", Duration deadline = 2s) const {
    QueueRequest request;
    request.route = gateway::RouteName("r");
    request.tenant = TenantName(tenant);
    request.target = now + 100ms;
    request.deadline = now + deadline;
    return request;
  }
  JoinDecision join(const QueueRequest& request) {
    return queue.join(next++, request, limits, now);
  }
  /// Requests wait and complete at `per_second` for `seconds`.
  void saturate(int per_second, int seconds) {
    for (int i = 0; i != per_second * seconds; ++i) {
      now += from_seconds(1.0 / per_second);
      queue.note_completion(now);
    }
  }
};

}  // namespace

TEST_CASE("nothing is rejected on a rate that was not seen, or seen while nothing waited") {
  QueueWorld world;
  world.queue.note_completion(world.now);
  world.now += 1h;
  for (int i = 0; i != 100; ++i) {
    CHECK(world.join(world.make_request()).admitted);
  }
  // Its answer could not arrive in time any more after a wait.
  CHECK_FALSE(world.join(world.make_request("t", 15ms)).admitted);
}

TEST_CASE("what certainly comes too late is rejected, but for probes") {
  QueueWorld world;
  for (int i = 0; i != 100; ++i) {
    world.join(world.make_request());
  }
  world.saturate(10, 5);
  const JoinDecision decision = world.join(world.make_request());
  CHECK_FALSE(decision.admitted);
  CHECK(decision.reason == QueueRejectReason::kTooLate);
  CHECK(to_seconds(decision.predicted_wait) == doctest::Approx(10).epsilon(0.2));
  CHECK(world.join(world.make_request("t", 8s)).admitted);
  int probes = 0;
  for (int i = 0; i != 64; ++i) {
    probes += world.join(world.make_request()).probe ? 1 : 0;
  }
  CHECK(probes == 4);
}

TEST_CASE("a wrong prediction mends itself when completions come faster, or the queue is empty") {
  QueueWorld world;
  for (int i = 0; i != 40; ++i) {
    world.join(world.make_request());
  }
  world.saturate(1, 10);
  REQUIRE_FALSE(world.join(world.make_request()).admitted);
  SUBCASE("faster") {
    world.saturate(100, 5);
    CHECK(world.join(world.make_request()).admitted);
  }
  SUBCASE("empty") {
    for (Handle handle = 0; handle != world.next; ++handle) {
      world.queue.remove(handle, world.now);
    }
    CHECK(world.join(world.make_request()).admitted);
  }
}

TEST_CASE("begun streams, repeats and requests for which there is room are never rejected") {
  QueueWorld world;
  for (int i = 0; i != 100; ++i) {
    world.join(world.make_request());
  }
  world.saturate(1, 10);
  world.limits.requests = 10;
  QueueRequest begun = world.make_request();
  begun.begun = true;
  begun.sent_before = true;
  CHECK(world.join(begun).admitted);
  QueueRequest repeat = world.make_request();
  repeat.sent_before = true;
  CHECK(world.join(repeat).admitted);
  world.limits.requests = 1000;
  QueueRequest room_seen = world.make_request();
  room_seen.room_seen = true;
  CHECK(world.join(room_seen).admitted);
}

TEST_CASE("a full queue makes room for a small tenant, not for the one that filled it") {
  QueueWorld world;
  world.limits.requests = 10;
  for (int i = 0; i != 10; ++i) {
    REQUIRE(world.join(world.make_request("many")).admitted);
  }
  const JoinDecision same = world.join(world.make_request("many"));
  CHECK_FALSE(same.admitted);
  CHECK(same.reason == QueueRejectReason::kFull);
  const JoinDecision other = world.join(world.make_request("few"));
  CHECK(other.admitted);
  CHECK(other.displaced == std::vector<Handle>{9});
}

TEST_CASE("bodies are bounded, also one that is larger than the bound itself") {
  QueueWorld world;
  QueueRequest large = world.make_request();
  large.bytes = 600;
  CHECK(world.join(large).admitted);
  CHECK(world.join(large).reason == QueueRejectReason::kFull);
  large.bytes = ~std::size_t{0};
  CHECK_FALSE(world.join(large).admitted);
  large.bytes = 400;
  CHECK(world.join(large).admitted);
  CHECK(world.queue.requests().bytes() == 1000);
}

TEST_CASE("rejected callers get times of their own, also told twice, and never too long ones") {
  RetrySchedule schedule;
  SeededRandom random{1};
  const MonotonicTime now{1h};
  const auto reserve = [&](std::uint64_t key, MonotonicTime at) {
    return schedule.reserve({.key = key, .time_to_drain = 1s, .interval = 100ms}, random, at);
  };
  CHECK(reserve(1, now) == 1s);
  CHECK(reserve(2, now) == 1100ms);
  // Sooner than told: the same time, and no further one is taken.
  CHECK(reserve(1, now + 400ms) == 600ms);
  CHECK(reserve(3, now) == 1200ms);
  for (std::uint64_t key = 10; key != 20'000; ++key) {
    const Duration told = reserve(key, now);
    REQUIRE(told >= 1s);
    REQUIRE(told <= RetrySchedule::kMaxWait);
  }
  CHECK(schedule.size() <= RetrySchedule::kMaxEntries);
}

TEST_CASE("only a caller that comes when it was told to counts as returned, and once") {
  RetrySchedule schedule;
  SeededRandom random{1};
  const MonotonicTime now{1h};
  for (std::uint64_t key = 1; key != 4; ++key) {
    schedule.reserve({.key = key, .time_to_drain = 1s}, random, now);
  }
  CHECK_FALSE(schedule.take(1, now + 500ms));
  CHECK(schedule.take(1, now + 1s));
  CHECK_FALSE(schedule.take(1, now + 1s));
  CHECK_FALSE(schedule.take(9, now + 1s));
  CHECK(schedule.size() == 2);
  CHECK_FALSE(schedule.take(2, now + 1h));
  CHECK(schedule.empty());
}
