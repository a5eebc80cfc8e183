// Measures the cost of queueing one request and sending the first, by the number of waiting
// requests, for 3 classes and 32 tenants, and the cost of rejecting a request when all limits are
// reached.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>

#include "admission_queue/service_queue.h"

using namespace ochrespring;
using namespace ochrespring::admission_queue;

namespace {

using std::chrono::milliseconds;

gateway::QueueRequest make_request(Handle handle, MonotonicTime now) {
  gateway::QueueRequest request;
  request.route = gateway::RouteName("route" + std::to_string(handle % 3));
  request.tenant = TenantName("tenant" + std::to_string(handle * 7 % 32));
  request.priority = handle % 3;
  request.cost = 1'000;
  request.bytes = 1'000;
  request.target = now + milliseconds(200);
  request.deadline = now + std::chrono::seconds(3600);
  return request;
}

struct FilledQueue {
  explicit FilledQueue(std::size_t size) {
    for (; next != size; ++next) {
      queue.join(next, make_request(next, now), {.requests = size}, now);
    }
  }
  ServiceQueue queue;
  MonotonicTime now{std::chrono::hours(1)};
  Handle next = 0;
};

void join_and_send(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  FilledQueue filled(size);
  const QueueLimits limits{.requests = 2 * size, .bytes = std::size_t{1} << 30U};
  for (auto _ : state) {
    filled.now += milliseconds(1);
    const Handle handle = filled.next++;
    filled.queue.join(handle, make_request(handle, filled.now), limits, filled.now);
    filled.queue.serve(filled.queue.requests().first_of_each_class(filled.now).front(), filled.now);
    filled.queue.note_completion(filled.now);
  }
}
BENCHMARK(join_and_send)->Arg(10)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

void reject(benchmark::State& state) {
  const auto size = static_cast<std::size_t>(state.range(0));
  FilledQueue filled(size);
  SeededRandom random{1};
  for (auto _ : state) {
    filled.now += milliseconds(1);
    const auto request = make_request(filled.next, filled.now);
    benchmark::DoNotOptimize(filled.queue.join(filled.next, request, {.requests = 1}, filled.now));
    benchmark::DoNotOptimize(filled.queue.retry_after(filled.next++, random, filled.now));
  }
}
BENCHMARK(reject)->Arg(10)->Arg(1'000)->Arg(10'000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
