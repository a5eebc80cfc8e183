// Measures the time to place one request, by the number of engines. Half of the prompts are cached
// at some engine. Large fleets are sampled, since a full scan of 10,000 engines takes some 8 ms,
// and 68 ms on 0.12 of a core, for each of two choices.
#include <benchmark/benchmark.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "gateway/placement.h"

using namespace ochrespring;
using namespace ochrespring::gateway;

namespace {

constexpr int kParts = 800;

Prompt make_prompt(int part) {
  return parse_prompt("p" + std::to_string(part) + ":13300,own:3700", "17000,10");
}

void place(benchmark::State& state) {
  SeededRandom random{1};
  FleetState fleet;
  LoadTable loads;
  const MonotonicTime now{std::chrono::hours(1)};
  for (int i = 0; i != state.range(0); ++i) {
    Backend backend;
    backend.id = BackendId("i-" + std::to_string(100'000 + i));
    backend.service = ServiceName("llm");
    backend.role = i % 5 < 2 ? EngineRole::kPrefill : EngineRole::kDecode;
    backend.zone = ZoneName("z" + std::to_string(i % 5));
    backend.slots = 64;
    fleet.put(backend);
    if (i < kParts / 2) {
      loads.note_prompt(backend.id, make_prompt(i), now);
    }
  }
  const Placement placement(fleet, loads, random, ZoneName("z1"));
  std::vector<Prompt> prompts;
  for (int part = 0; part != kParts; ++part) {
    prompts.push_back(make_prompt(part));
  }
  std::size_t next = 0;
  for (auto _ : state) {
    PlacementRequest request;
    request.service = ServiceName("llm");
    request.prompt = &prompts[next++ % prompts.size()];
    benchmark::DoNotOptimize(placement.choose(request, now));
  }
}
BENCHMARK(place)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(20'000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
