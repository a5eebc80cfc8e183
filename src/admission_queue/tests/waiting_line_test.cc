// The order of queued requests, against starvation and lost places.
#include "admission_queue/waiting_line.h"

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

Handle send_next(WaitingLine& line, MonotonicTime now = kNow) {
  const Handle first = line.heads(now).front();
  CHECK(line.serve(first));
  return first;
}

}  // namespace

TEST_CASE("begun streams go first, then by priority, returned ones before new ones") {
  WaitingLine line;
  line.push(1, make_request("low", 5), kNow);
  line.push(2, make_request("high", 0), kNow);
  QueueRequest returned = make_request("high", 0);
  returned.returned = true;
  returned.target += 50ms;
  line.push(3, returned, kNow);
  QueueRequest begun = make_request("low", 9);
  begun.begun = true;
  line.push(4, begun, kNow);
  CHECK(send_next(line) == 4);
  CHECK(send_next(line) == 3);
  CHECK(send_next(line) == 2);
  CHECK(send_next(line) == 1);
  CHECK(line.size() == 0);
}

TEST_CASE("what can no longer meet its target goes behind, by deadline and not by priority") {
  WaitingLine line;
  QueueRequest late = make_request("high", 0);
  late.target = kNow + 10ms;
  line.push(1, late, kNow);
  QueueRequest later_deadline = late;
  later_deadline.deadline += 1s;
  line.push(2, later_deadline, kNow);
  QueueRequest low_late = make_request("low", 5);
  low_late.target = kNow + 10ms;
  low_late.deadline -= 1s;
  line.push(3, low_late, kNow);
  line.push(4, make_request("low", 5), kNow);
  CHECK(line.heads(kNow).front() == 1);
  const MonotonicTime after = kNow + 20ms;
  CHECK(send_next(line, after) == 4);
  CHECK(send_next(line, after) == 3);
  CHECK(send_next(line, after) == 1);
  CHECK(send_next(line, after) == 2);
}

TEST_CASE("a class of low priority gets a share beside one that always waits") {
  WaitingLine line;
  Handle next = 0;
  line.push(next++, make_request("low", 9), kNow);
  std::size_t low_sent = 0;
  for (int i = 0; i != 64; ++i) {
    line.push(next++, make_request("high", 0), kNow);
    line.push(next++, make_request("high", 0), kNow);
    if (send_next(line) == 0) {
      ++low_sent;
    }
  }
  CHECK(low_sent == 1);
}

TEST_CASE("tenants of one class are served by cost, however many requests one of them has") {
  WaitingLine line;
  Handle next = 0;
  for (; next != 100; ++next) {
    line.push(next, make_request("r", 1, "many"), kNow);
  }
  for (; next != 110; ++next) {
    QueueRequest request = make_request("r", 1, "few");
    request.target += 100ms;
    line.push(next, request, kNow);
  }
  int few = 0;
  for (int i = 0; i != 20; ++i) {
    few += send_next(line) >= 100 ? 1 : 0;
  }
  CHECK(few == 10);
}

TEST_CASE("a tenant that always has one request waiting does not go before all others") {
  WaitingLine line;
  Handle next = 1;
  for (; next != 100; ++next) {
    line.push(next, make_request("r", 1, "many"), kNow);
  }
  int single = 0;
  Handle waiting = 0;
  for (int i = 0; i != 40; ++i) {
    if (!line.contains(waiting)) {
      waiting = next++;
      line.push(waiting, make_request("r", 1, "single"), kNow);
    }
    single += send_next(line) == waiting ? 1 : 0;
  }
  CHECK(single == 20);
}

TEST_CASE("a cost that is no number, or none, does not give a tenant all places") {
  for (const double cost : {0.0, -5.0, std::numeric_limits<double>::quiet_NaN()}) {
    WaitingLine line;
    for (Handle handle = 0; handle != 20; ++handle) {
      QueueRequest request = make_request("r", 1, handle < 10 ? "odd" : "fair");
      request.cost = handle < 10 ? cost : 1;
      line.push(handle, request, kNow);
    }
    int odd = 0;
    for (int i = 0; i != 10; ++i) {
      odd += send_next(line) < 10 ? 1 : 0;
    }
    CHECK(odd == 5);
  }
}

TEST_CASE("what leaves takes nothing along and is not counted ahead of others") {
  WaitingLine line;
  line.push(1, make_request("r", 1), kNow);
  line.push(2, make_request("r", 1), kNow);
  line.push(3, make_request("other", 0), kNow);
  CHECK(line.ahead_of(make_request("r", 1), kNow) == 3);
  CHECK(line.remove(1));
  CHECK_FALSE(line.remove(1));
  CHECK_FALSE(line.serve(1));
  CHECK(line.ahead_of(make_request("r", 1), kNow) == 2);
  CHECK(line.ahead_of(make_request("r", 0), kNow) == 1);
  CHECK(line.heads(kNow) == std::vector<Handle>{3, 2});
  CHECK(line.due_by(kNow + 2s).size() == 2);
}

TEST_CASE("a new tenant does not count the whole queue of another as ahead of it") {
  WaitingLine line;
  for (Handle handle = 0; handle != 100; ++handle) {
    line.push(handle, make_request("r", 1, "many"), kNow);
  }
  CHECK(line.ahead_of(make_request("r", 1, "new"), kNow) == 1);
  CHECK(line.ahead_of(make_request("r", 1, "many"), kNow) == 100);
}

TEST_CASE("tenants that have gone are forgotten") {
  WaitingLine line;
  line.push(0, make_request("r", 1, "stays"), kNow);
  for (Handle handle = 1; handle != 5'000; ++handle) {
    line.push(handle, make_request("r", 0, "t" + std::to_string(handle)), kNow);
    send_next(line);
    line.remove(handle);
  }
  CHECK(line.tenants() < 200);
}
