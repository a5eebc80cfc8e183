// Cost of one routing decision and of one queue operation, by size of the fleet and of the tenants.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>

#include "base/hash.h"
#include "router/goodput_router.h"
#include "router/tenant_queue.h"

namespace ochrespring::router {
namespace {

constexpr auto kNow = MonotonicTime(std::chrono::seconds(100));
constexpr int kModels = 11;
constexpr std::uint32_t kPromptTokens = 6000;
constexpr int kSessions = 64;

std::shared_ptr<FleetView> make_view(int engines, int models) {
  auto view = std::make_shared<FleetView>();
  fleet::Service service;
  service.name = ServiceName("llm");
  view->services = {service};
  for (int i = 0; i < engines; ++i) {
    EngineView engine;
    engine.id = EngineId("engine-" + std::to_string(i));
    engine.service = service.name;
    engine.model = ModelName("model-" + std::to_string(i % models));
    engine.zone = ZoneName("zone-" + std::to_string(i % 3));
    engine.role = i % 3 == 0 ? fleet::EngineRole::kPrefill : fleet::EngineRole::kDecode;
    engine.dispatchable_until = kNow + std::chrono::hours(1);
    engine.load.kv_tokens_capacity = 384'000;
    engine.load.running_sequences = static_cast<std::uint32_t>(i % 17);
    engine.load.queued_prefill_tokens = static_cast<std::uint32_t>(i % 13) * 100;
    engine.load.prefill_chunk_tokens = 512;
    engine.load_taken = kNow;
    view->engines.push_back(engine);
  }
  return view;
}

RouteRequest make_request(int session) {
  RouteRequest request;
  request.id = RequestId("request");
  request.service = ServiceName("llm");
  request.model = ModelName("model-0");
  request.prompt_tokens = kPromptTokens;
  request.expected_output_tokens = 200;
  request.origin = ZoneName("zone-1");
  request.arrived = kNow;
  request.deadline = kNow + std::chrono::minutes(2);
  std::uint64_t hash = stable_hash("session", static_cast<std::uint64_t>(session));
  for (std::uint32_t i = 0; i < kPromptTokens / engine::kTokensPerBlock; ++i) {
    hash = combine_hashes(hash, i);
    request.prompt_blocks.push_back(hash);
  }
  return request;
}

/// One decision with prefix belief, split roles and admission on; 11 models above nine engines.
void route_decision(benchmark::State& state) {
  const int engines = static_cast<int>(state.range(0));
  GoodputRouterParameters parameters;
  parameters.use_prefix_belief = true;
  parameters.admit_by_prediction = true;
  GoodputRouter router(parameters, 1);
  router.update(make_view(engines, engines > kModels ? kModels : 1), kNow);
  std::vector<RouteRequest> requests;
  for (int session = 0; session < kSessions; ++session) {
    requests.push_back(make_request(session));
    const auto decision = router.route(requests.back(), kNow);
    router.on_dispatched(requests.back(), decision, kNow);
    router.on_finished(requests.back().id, 1, kNow);
  }
  std::size_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(router.route(requests[next++ % kSessions], kNow));
  }
}
BENCHMARK(route_decision)->Arg(9)->Arg(90)->Arg(610)->Arg(6100);

/// Taking over a snapshot in which every engine has a new report.
void update_view(benchmark::State& state) {
  GoodputRouter router({}, 1);
  auto view = make_view(static_cast<int>(state.range(0)), kModels);
  std::uint64_t sequence = 0;
  for (auto _ : state) {
    state.PauseTiming();
    ++sequence;
    for (auto& engine : view->engines) {
      engine.load.sequence = sequence;
    }
    state.ResumeTiming();
    router.update(view, kNow);
  }
}
BENCHMARK(update_view)->Arg(9)->Arg(610)->Arg(6100);

/// One push, front and pop with every tenant waiting.
void tenant_queue(benchmark::State& state) {
  const auto kind = static_cast<TenantQueueKind>(state.range(0));
  const int tenants = static_cast<int>(state.range(1));
  const auto queue = make_tenant_queue(kind, {1'000'000, 1'000});
  std::vector<TenantName> names;
  std::uint64_t handle = 0;
  for (int i = 0; i < tenants; ++i) {
    names.emplace_back("tenant-" + std::to_string(i));
    queue->set_weight(names.back(), static_cast<std::uint32_t>(1 + i % 8));
    for (int k = 0; k < 4; ++k) {
      queue->push({++handle, names.back(), 1.0 + (i + k) % 9});
    }
  }
  for (auto _ : state) {
    const TenantName owner = queue->front()->tenant;
    queue->pop();
    queue->push({++handle, owner, 1.0 + static_cast<double>(handle % 9)});
  }
}
BENCHMARK(tenant_queue)
    ->ArgNames({"kind", "tenants"})
    ->ArgsProduct({{static_cast<long>(TenantQueueKind::kFifo),
                    static_cast<long>(TenantQueueKind::kDeficitRoundRobin),
                    static_cast<long>(TenantQueueKind::kStride)},
                   {9, 900, 9000}});

/// Largest deviation of a tenant's service from its share, in requests' mean cost, over a run in
/// which all tenants always wait; reported as counters, not as time.
void tenant_queue_error(benchmark::State& state) {
  const auto kind = static_cast<TenantQueueKind>(state.range(0));
  const int tenants = static_cast<int>(state.range(1));
  double worst = 0;
  double mean = 0;
  for (auto _ : state) {
    const auto queue = make_tenant_queue(kind, {1'000'000, 1'000});
    std::vector<TenantName> names;
    std::unordered_map<TenantName, int> index;
    std::vector<double> served(static_cast<std::size_t>(tenants));
    double weights = 0;
    std::uint64_t handle = 0;
    for (int i = 0; i < tenants; ++i) {
      names.emplace_back("tenant-" + std::to_string(i));
      index[names.back()] = i;
      weights += 1 + i % 8;
      queue->set_weight(names.back(), static_cast<std::uint32_t>(1 + i % 8));
      for (int k = 0; k < 4; ++k) {
        queue->push({++handle, names.back(), 1.0 + (i + k) % 9});
      }
    }
    double total = 0;
    const double end = weights * 5 * 40;  // Forty mean requests for each unit of weight.
    while (total < end) {
      const QueueEntry entry = *queue->front();
      queue->pop();
      served[static_cast<std::size_t>(index[entry.tenant])] += entry.cost;
      total += entry.cost;
      queue->push({++handle, entry.tenant, 1.0 + static_cast<double>(handle % 9)});
    }
    double sum = 0;
    for (int i = 0; i < tenants; ++i) {
      const double due = total * (1 + i % 8) / weights;
      const double error = std::abs(served[static_cast<std::size_t>(i)] - due) / due;
      worst = std::max(worst, error);
      sum += error;
    }
    mean = sum / tenants;
  }
  state.counters["worst_relative_error"] = worst;
  state.counters["mean_relative_error"] = mean;
}
BENCHMARK(tenant_queue_error)
    ->ArgNames({"kind", "tenants"})
    ->ArgsProduct({{static_cast<long>(TenantQueueKind::kFifo),
                    static_cast<long>(TenantQueueKind::kDeficitRoundRobin),
                    static_cast<long>(TenantQueueKind::kStride)},
                   {9, 9000}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace ochrespring::router

BENCHMARK_MAIN();
