// Which requests may wait, and the retry times of those that may not.
#include "admission_queue/service_queue.h"

#include <doctest/doctest.h>

using namespace ochrespring;
using namespace ochrespring::admission_queue;
using namespace std::chrono_literals;
using gateway::QueueRejectReason;
using gateway::QueueRequest;

namespace {

struct ServiceQueueFixture {
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
  /// Completes requests at `per_second` for `seconds`; all requests keep waiting.
  void saturate(int per_second, int seconds) {
    for (int i = 0; i != per_second * seconds; ++i) {
      now += from_seconds(1.0 / per_second);
      queue.note_completion(now);
    }
  }
};

}  // namespace

TEST_CASE(
    "without an observed completion rate, only requests within the expiry margin of their deadline "
    "are rejected") {
  ServiceQueueFixture fixture;
  fixture.queue.note_completion(fixture.now);
  fixture.now += 1h;
  for (int i = 0; i != 100; ++i) {
    CHECK(fixture.join(fixture.make_request()).admitted);
  }
  // The deadline is within kExpiryMargin.
  CHECK_FALSE(fixture.join(fixture.make_request("t", 15ms)).admitted);
}

TEST_CASE("requests that would certainly be late are rejected, except for probes") {
  ServiceQueueFixture fixture;
  for (int i = 0; i != 100; ++i) {
    fixture.join(fixture.make_request());
  }
  fixture.saturate(10, 5);
  const JoinDecision decision = fixture.join(fixture.make_request());
  CHECK_FALSE(decision.admitted);
  CHECK(decision.reason == QueueRejectReason::kTooLate);
  CHECK(to_seconds(decision.predicted_wait) == doctest::Approx(10).epsilon(0.2));
  CHECK(fixture.join(fixture.make_request("t", 8s)).admitted);
  int probes = 0;
  for (int i = 0; i != 64; ++i) {
    probes += fixture.join(fixture.make_request()).probe ? 1 : 0;
  }
  CHECK(probes == 4);
}

TEST_CASE("a wrong prediction is corrected by faster completions or an empty queue") {
  ServiceQueueFixture fixture;
  for (int i = 0; i != 40; ++i) {
    fixture.join(fixture.make_request());
  }
  fixture.saturate(1, 10);
  REQUIRE_FALSE(fixture.join(fixture.make_request()).admitted);
  SUBCASE("completions are faster") {
    fixture.saturate(100, 5);
    CHECK(fixture.join(fixture.make_request()).admitted);
  }
  SUBCASE("the queue becomes empty") {
    for (Handle handle = 0; handle != fixture.next; ++handle) {
      fixture.queue.remove(handle, fixture.now);
    }
    CHECK(fixture.join(fixture.make_request()).admitted);
  }
}

TEST_CASE(
    "requests that were sent before are always admitted; requests with room at a back end are not "
    "rejected as too late") {
  ServiceQueueFixture fixture;
  for (int i = 0; i != 100; ++i) {
    fixture.join(fixture.make_request());
  }
  fixture.saturate(1, 10);
  fixture.limits.requests = 10;
  QueueRequest begun = fixture.make_request();
  begun.begun = true;
  begun.sent_before = true;
  CHECK(fixture.join(begun).admitted);
  QueueRequest retry = fixture.make_request();
  retry.sent_before = true;
  CHECK(fixture.join(retry).admitted);
  fixture.limits.requests = 1000;
  QueueRequest room_seen = fixture.make_request();
  room_seen.room_seen = true;
  CHECK(fixture.join(room_seen).admitted);
}

TEST_CASE(
    "a full queue displaces a request for a small tenant but not for the one that filled it") {
  ServiceQueueFixture fixture;
  fixture.limits.requests = 10;
  for (int i = 0; i != 10; ++i) {
    REQUIRE(fixture.join(fixture.make_request("many")).admitted);
  }
  const JoinDecision same = fixture.join(fixture.make_request("many"));
  CHECK_FALSE(same.admitted);
  CHECK(same.reason == QueueRejectReason::kFull);
  const JoinDecision other = fixture.join(fixture.make_request("few"));
  CHECK(other.admitted);
  CHECK(other.displaced == std::vector<Handle>{9});
}

TEST_CASE("the total size of bodies is limited, also if one body exceeds the limit itself") {
  ServiceQueueFixture fixture;
  QueueRequest large = fixture.make_request();
  large.bytes = 600;
  CHECK(fixture.join(large).admitted);
  CHECK(fixture.join(large).reason == QueueRejectReason::kFull);
  large.bytes = ~std::size_t{0};
  CHECK_FALSE(fixture.join(large).admitted);
  large.bytes = 400;
  CHECK(fixture.join(large).admitted);
  CHECK(fixture.queue.requests().bytes() == 1000);
}

TEST_CASE("each rejected caller keeps its own retry time, which never exceeds the maximum") {
  RetrySchedule schedule;
  SeededRandom random{1};
  const MonotonicTime now{1h};
  const auto reserve = [&](std::uint64_t key, MonotonicTime at) {
    return schedule.reserve({.key = key, .time_to_drain = 1s, .interval = 100ms}, random, at);
  };
  CHECK(reserve(1, now) == 1s);
  CHECK(reserve(2, now) == 1100ms);
  // An early retry gets the same time and does not take another one.
  CHECK(reserve(1, now + 400ms) == 600ms);
  CHECK(reserve(3, now) == 1200ms);
  for (std::uint64_t key = 10; key != 20'000; ++key) {
    const Duration wait = reserve(key, now);
    REQUIRE(wait >= 1s);
    REQUIRE(wait <= RetrySchedule::kMaxWait);
  }
  CHECK(schedule.size() <= RetrySchedule::kMaxEntries);
}

TEST_CASE("only a retry at its assigned time counts as returned, and only once") {
  RetrySchedule schedule;
  SeededRandom random{1};
  const MonotonicTime now{1h};
  for (std::uint64_t key = 1; key != 4; ++key) {
    schedule.reserve({.key = key, .time_to_drain = 1s}, random, now);
  }
  CHECK_FALSE(schedule.consume(1, now + 500ms));
  CHECK(schedule.consume(1, now + 1s));
  CHECK_FALSE(schedule.consume(1, now + 1s));
  CHECK_FALSE(schedule.consume(9, now + 1s));
  CHECK(schedule.size() == 2);
  CHECK_FALSE(schedule.consume(2, now + 1h));
  CHECK(schedule.empty());
}
