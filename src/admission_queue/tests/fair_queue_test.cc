// The order of queued requests: starvation, shares of tenants and lost requests.
#include "admission_queue/fair_queue.h"

#include <doctest/doctest.h>

#include <limits>

using namespace ochrespring;
using namespace ochrespring::admission_queue;
using namespace std::chrono_literals;
using gateway::QueueRequest;

namespace {

constexpr MonotonicTime kNow{1h};

QueueRequest make_request(const std::string& route, std::uint32_t priority,
                          const std::string& tenant = "t") {
  QueueRequest request;
  request.route = gateway::RouteName(route);
  request.tenant = TenantName(tenant);
  request.priority = priority;
  request.target = kNow + 200ms;
  request.deadline = kNow + 2s;
  return request;
}

Handle send_next(FairQueue& queue, MonotonicTime now = kNow) {
  const Handle first = queue.first_of_each_class(now).front();
  CHECK(queue.serve(first));
  return first;
}

}  // namespace

TEST_CASE("begun streams are sent first, then by priority, retried requests before new ones") {
  FairQueue queue;
  queue.push(1, make_request("low", 5), kNow);
  queue.push(2, make_request("high", 0), kNow);
  QueueRequest returned = make_request("high", 0);
  returned.returned = true;
  returned.target += 50ms;
  queue.push(3, returned, kNow);
  QueueRequest begun = make_request("low", 9);
  begun.begun = true;
  queue.push(4, begun, kNow);
  CHECK(send_next(queue) == 4);
  CHECK(send_next(queue) == 3);
  CHECK(send_next(queue) == 2);
  CHECK(send_next(queue) == 1);
  CHECK(queue.size() == 0);
}

TEST_CASE(
    "requests that can no longer meet their target are sent last, by deadline instead of "
    "priority") {
  FairQueue queue;
  QueueRequest late = make_request("high", 0);
  late.target = kNow + 10ms;
  queue.push(1, late, kNow);
  QueueRequest later_deadline = late;
  later_deadline.deadline += 1s;
  queue.push(2, later_deadline, kNow);
  QueueRequest low_late = make_request("low", 5);
  low_late.target = kNow + 10ms;
  low_late.deadline -= 1s;
  queue.push(3, low_late, kNow);
  queue.push(4, make_request("low", 5), kNow);
  CHECK(queue.first_of_each_class(kNow).front() == 1);
  const MonotonicTime after = kNow + 20ms;
  CHECK(send_next(queue, after) == 4);
  CHECK(send_next(queue, after) == 3);
  CHECK(send_next(queue, after) == 1);
  CHECK(send_next(queue, after) == 2);
}

TEST_CASE("a class of low priority gets a share while another class always has waiting requests") {
  FairQueue queue;
  Handle next = 0;
  queue.push(next++, make_request("low", 9), kNow);
  std::size_t low_sent = 0;
  for (int i = 0; i != 64; ++i) {
    queue.push(next++, make_request("high", 0), kNow);
    queue.push(next++, make_request("high", 0), kNow);
    if (send_next(queue) == 0) {
      ++low_sent;
    }
  }
  CHECK(low_sent == 1);
}

TEST_CASE("tenants of one class get equal shares, regardless of their numbers of requests") {
  FairQueue queue;
  Handle next = 0;
  for (; next != 100; ++next) {
    queue.push(next, make_request("r", 1, "many"), kNow);
  }
  for (; next != 110; ++next) {
    QueueRequest request = make_request("r", 1, "few");
    request.target += 100ms;
    queue.push(next, request, kNow);
  }
  int few = 0;
  for (int i = 0; i != 20; ++i) {
    few += send_next(queue) >= 100 ? 1 : 0;
  }
  CHECK(few == 10);
}

TEST_CASE("a tenant that always has one request waiting does not precede all others") {
  FairQueue queue;
  Handle next = 1;
  for (; next != 100; ++next) {
    queue.push(next, make_request("r", 1, "many"), kNow);
  }
  int single = 0;
  Handle waiting = 0;
  for (int i = 0; i != 40; ++i) {
    if (!queue.contains(waiting)) {
      waiting = next++;
      queue.push(waiting, make_request("r", 1, "single"), kNow);
    }
    single += send_next(queue) == waiting ? 1 : 0;
  }
  CHECK(single == 20);
}

TEST_CASE("a cost that is zero, negative or NaN does not give a tenant all slots") {
  for (const double cost : {0.0, -5.0, std::numeric_limits<double>::quiet_NaN()}) {
    FairQueue queue;
    for (Handle handle = 0; handle != 20; ++handle) {
      QueueRequest request = make_request("r", 1, handle < 10 ? "invalid" : "fair");
      request.cost = handle < 10 ? cost : 1;
      queue.push(handle, request, kNow);
    }
    int invalid = 0;
    for (int i = 0; i != 10; ++i) {
      invalid += send_next(queue) < 10 ? 1 : 0;
    }
    CHECK(invalid == 5);
  }
}

TEST_CASE("removing a request keeps the order of the others and updates ahead_of()") {
  FairQueue queue;
  queue.push(1, make_request("r", 1), kNow);
  queue.push(2, make_request("r", 1), kNow);
  queue.push(3, make_request("other", 0), kNow);
  CHECK(queue.ahead_of(make_request("r", 1), kNow) == 3);
  CHECK(queue.remove(1));
  CHECK_FALSE(queue.remove(1));
  CHECK_FALSE(queue.serve(1));
  CHECK(queue.ahead_of(make_request("r", 1), kNow) == 2);
  CHECK(queue.ahead_of(make_request("r", 0), kNow) == 1);
  CHECK(queue.first_of_each_class(kNow) == std::vector<Handle>{3, 2});
  CHECK(queue.due_by(kNow + 2s).size() == 2);
}

TEST_CASE("a new tenant does not wait behind the whole queue of another tenant") {
  FairQueue queue;
  for (Handle handle = 0; handle != 100; ++handle) {
    queue.push(handle, make_request("r", 1, "many"), kNow);
  }
  CHECK(queue.ahead_of(make_request("r", 1, "new"), kNow) == 1);
  CHECK(queue.ahead_of(make_request("r", 1, "many"), kNow) == 100);
}

TEST_CASE("state of idle tenants is removed") {
  FairQueue queue;
  queue.push(0, make_request("r", 1, "stays"), kNow);
  for (Handle handle = 1; handle != 5'000; ++handle) {
    queue.push(handle, make_request("r", 0, "t" + std::to_string(handle)), kNow);
    send_next(queue);
    queue.remove(handle);
  }
  CHECK(queue.tenants() < 200);
}
