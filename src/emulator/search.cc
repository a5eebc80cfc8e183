#include "emulator/search.h"

#include <algorithm>
#include <array>
#include <limits>

#include "planner/capacity_model.h"

namespace ochrespring::emulator {
namespace {

/// Width of the steps in which an offline plan may change the split.
constexpr Duration kPlanWindow = std::chrono::seconds(15);
/// A change is started this long before the demand it is for.
constexpr Duration kLead = std::chrono::seconds(15);
constexpr double kUsableShare = 0.92;

/// Demand of one window of the trace.
struct WindowDemand {
  double requests = 0;
  double prefill_tokens = 0;
  double decode_tokens = 0;
  double context_tokens = 0;  ///< Weighted by decoded tokens.
};

std::vector<WindowDemand> demand_by_window(const workload::Trace& trace, Duration length) {
  const auto windows = static_cast<std::size_t>((length + kPlanWindow - Duration(1)) / kPlanWindow);
  std::vector<WindowDemand> demand(std::max<std::size_t>(1, windows));
  for (const workload::TraceRequest& request : trace) {
    if (request.model.empty()) {
      continue;
    }
    const auto index = static_cast<std::size_t>(request.arrival / kPlanWindow);
    WindowDemand& window = demand[std::min(index, demand.size() - 1)];
    window.requests += 1;
    window.prefill_tokens += request.prompt_tokens - request.shared_prefix_tokens;
    window.decode_tokens += request.output_tokens;
    window.context_tokens += static_cast<double>(request.output_tokens) * request.prompt_tokens;
  }
  return demand;
}

double loss(const WindowDemand& window, const Deployment& deployment, std::uint32_t prefill,
            std::uint32_t decode) {
  const engine_model::CostModel& cost = deployment.engine.cost;
  const double seconds = to_seconds(kPlanWindow);
  const double limit = to_seconds(deployment.model_service.limits.between_tokens);
  const double context =
      window.decode_tokens > 0 ? window.context_tokens / window.decode_tokens : 1000;
  const double prefill_use =
      window.prefill_tokens / (seconds * prefill * planner::prefill_capacity(cost));
  const double decode_use =
      window.decode_tokens / (seconds * decode * planner::decode_capacity(cost, limit, context));
  const double share = std::min(planner::share_in_time(prefill_use, kUsableShare),
                                planner::share_in_time(decode_use, kUsableShare));
  return window.requests * (1 - share);
}

std::uint32_t engine_count(const RoleSplit& split) {
  return split.prefill + split.decode + split.mixed;
}

void consider(SearchResult& best, const RunOptions& options, const PolicyConfiguration& policy,
              const workload::Trace& trace) {
  RunOptions attempt = options;
  attempt.policy = policy;
  const RunResult result = FleetEmulator(attempt, trace).run();
  const bool better = best.runs == 0 || result.model.good > best.result.model.good ||
                      (result.model.good == best.result.model.good &&
                       result.role_changes < best.result.role_changes);
  ++best.runs;
  if (better) {
    best.policy = policy;
    best.result = result;
  }
}

}  // namespace

std::vector<ScheduledSplit> plan_offline(const Deployment& deployment, const workload::Trace& trace,
                                         Duration length, double change_seconds) {
  const auto demand = demand_by_window(trace, length);
  const auto engines =
      static_cast<std::uint32_t>(deployment.engines_per_zone * deployment.zones.size());
  const std::size_t options = engines - 1;  // Prefill engines from 1 to engines - 1.
  constexpr double kNever = std::numeric_limits<double>::infinity();
  std::vector<std::vector<double>> best(demand.size(), std::vector<double>(options, kNever));
  std::vector<std::vector<std::size_t>> from(demand.size(), std::vector<std::size_t>(options));
  for (std::size_t w = 0; w < demand.size(); ++w) {
    const double per_change =
        change_seconds * demand[w].requests / to_seconds(kPlanWindow) / engines;
    for (std::size_t p = 0; p < options; ++p) {
      const auto prefill = static_cast<std::uint32_t>(p + 1);
      const double here = loss(demand[w], deployment, prefill, engines - prefill);
      if (w == 0) {
        best[w][p] = here;
        continue;
      }
      for (std::size_t q = 0; q < options; ++q) {
        const auto moved = static_cast<double>(p > q ? p - q : q - p);
        const double total = best[w - 1][q] + here + moved * per_change;
        if (total < best[w][p]) {
          best[w][p] = total;
          from[w][p] = q;
        }
      }
    }
  }
  std::vector<std::size_t> chosen(demand.size());
  chosen.back() = static_cast<std::size_t>(
      std::min_element(best.back().begin(), best.back().end()) - best.back().begin());
  for (std::size_t w = demand.size() - 1; w > 0; --w) {
    chosen[w - 1] = from[w][chosen[w]];
  }
  std::vector<ScheduledSplit> plan;
  for (std::size_t w = 0; w < chosen.size(); ++w) {
    if (w > 0 && chosen[w] == chosen[w - 1]) {
      continue;
    }
    const auto prefill = static_cast<std::uint32_t>(chosen[w] + 1);
    const Duration at = kPlanWindow * static_cast<std::int64_t>(w);
    plan.push_back({std::max(Duration::zero(), at - kLead), {prefill, engines - prefill, 0}});
  }
  return plan;
}

SearchResult search_static(const RunOptions& options, const workload::Trace& trace) {
  SearchResult best;
  const std::uint32_t engines = engine_count(options.policy.initial);
  constexpr std::array<std::uint32_t, 2> kChunks{256, 512};
  PolicyConfiguration policy = options.policy;
  for (std::uint32_t prefill = 2; prefill + 2 <= engines; ++prefill) {
    policy.initial = {prefill, engines - prefill, 0};
    consider(best, options, policy, trace);
  }
  for (const std::uint32_t chunk : kChunks) {
    policy.prefill_chunk_tokens = chunk;
    policy.initial = {0, 0, engines};
    consider(best, options, policy, trace);
  }
  return best;
}

SearchResult search_clairvoyant(const RunOptions& options, const PolicyConfiguration& own,
                                const workload::Trace& trace) {
  SearchResult best;
  consider(best, options, own, trace);
  PolicyConfiguration seeing = own;
  seeing.omniscient = true;
  consider(best, options, seeing, trace);
  constexpr std::array<double, 2> kChangeSeconds{10, 40};
  for (const double change_seconds : kChangeSeconds) {
    PolicyConfiguration planned = seeing;
    planned.planner = PlannerKind::kSchedule;
    planned.schedule = plan_offline(options.deployment, trace, options.duration, change_seconds);
    planned.initial = planned.schedule.front().split;
    consider(best, options, planned, trace);
  }
  best.policy.name = "clairvoyant";
  return best;
}

}  // namespace ochrespring::emulator
