#include "planner/goodput_planner.h"

#include <algorithm>
#include <cmath>

#include "planner/capacity_model.h"

namespace ochrespring::planner {
std::vector<PlannedAction> GoodputPlanner::plan(const PlannerInput& input) {
  std::vector<PlannedAction> actions;
  for (const fleet::Model& model : input.models) {
    const fleet::Service* service = find_service(input, model.name);
    if (service == nullptr) {
      continue;
    }
    smooth(models_[model.name], input, model.name);
    if (parameters_.size_chunks) {
      add_chunk_orders(input, *service, model.name, actions);
    }
    if (parameters_.change_roles) {
      add_role_orders(input, *service, model.name, actions);
    }
  }
  return actions;
}

const fleet::Service* GoodputPlanner::find_service(const PlannerInput& input,
                                                   const ModelName& model) {
  for (const fleet::Model& candidate : input.models) {
    for (const fleet::Service& service : input.services) {
      if (candidate.name == model && service.name == candidate.service) {
        return &service;
      }
    }
  }
  return nullptr;
}

void GoodputPlanner::smooth(ModelState& state, const PlannerInput& input,
                            const ModelName& model) const {
  for (const DemandSample& sample : input.demand) {
    if (sample.model != model || (state.known && sample.taken <= state.sampled)) {
      continue;
    }
    const double span = to_seconds(sample.taken - state.sampled);
    const double weight = state.known ? 1 - std::exp(-span / to_seconds(parameters_.smoothing)) : 1;
    state.requests += weight * (sample.requests_per_second - state.requests);
    state.prefill_tokens += weight * (sample.prefill_tokens_per_second - state.prefill_tokens);
    state.decode_tokens += weight * (sample.decode_tokens_per_second - state.decode_tokens);
    state.sampled = sample.taken;
    state.known = true;
  }
}

GoodputPlanner::Fleet GoodputPlanner::gather(const PlannerInput& input,
                                             const ModelName& model) const {
  Fleet fleet;
  double context = 0;
  double running = 0;
  std::size_t fresh = 0;
  for (const PlannerEngine& engine : input.engines) {
    if (engine.model != model || !engine.reachable) {
      continue;
    }
    fleet.changing =
        fleet.changing || engine.draining || engine.phase != engine::EnginePhase::kServing;
    fresh += input.now - engine.load_taken <= parameters_.stale_report ? 1 : 0;
    switch (engine.role) {
      case fleet::EngineRole::kPrefill:
        fleet.prefill.push_back(&engine);
        break;
      case fleet::EngineRole::kDecode:
        fleet.decode.push_back(&engine);
        context += static_cast<double>(engine.load.context_tokens);
        running += engine.load.running_sequences;
        break;
      case fleet::EngineRole::kMixed:
        fleet.mixed.push_back(&engine);
        break;
      case fleet::EngineRole::kOrdinary:
        break;
    }
  }
  const std::size_t count = fleet.prefill.size() + fleet.decode.size() + fleet.mixed.size();
  fleet.stale = 2 * fresh < count;
  fleet.mean_context = running > 0 ? context / running : 1000;
  return fleet;
}

std::uint32_t GoodputPlanner::fitting_chunk(const PlannerEngine& engine,
                                            const fleet::Service& service) const {
  if (engine.load.context_tokens == 0) {
    return parameters_.most_chunk_tokens;
  }
  const engine_model::CostModel& cost = parameters_.cost;
  const double decode = cost.step_base + cost.decode_sequence * engine.load.running_sequences +
                        cost.context_token * static_cast<double>(engine.load.context_tokens);
  const double room =
      to_seconds(service.limits.between_tokens) * parameters_.chunk_step_share - decode;
  const double tokens = std::max(0.0, room / chunk_token_seconds(cost));
  const auto steps = static_cast<std::uint32_t>(tokens) / parameters_.chunk_step_tokens;
  return std::clamp(steps * parameters_.chunk_step_tokens, parameters_.least_chunk_tokens,
                    parameters_.most_chunk_tokens);
}

void GoodputPlanner::add_chunk_orders(const PlannerInput& input, const fleet::Service& service,
                                      const ModelName& model, std::vector<PlannedAction>& actions) {
  for (const PlannerEngine& engine : input.engines) {
    const bool mixes =
        engine.role == fleet::EngineRole::kMixed || engine.role == fleet::EngineRole::kDecode;
    if (engine.model != model || !mixes || !engine.reachable ||
        engine.phase != engine::EnginePhase::kServing || engine.load.prefill_chunk_tokens == 0) {
      continue;
    }
    const std::uint32_t wanted = fitting_chunk(engine, service);
    const std::uint32_t present = engine.load.prefill_chunk_tokens;
    const std::uint32_t gap = wanted > present ? wanted - present : present - wanted;
    // Small differences are not worth an order.
    if (gap <= parameters_.chunk_step_tokens) {
      continue;
    }
    PlannedAction action;
    action.engine = engine.id;
    action.action = engine::OrderAction::kSetChunk;
    action.prefill_chunk_tokens = wanted;
    action.reason = "prompt chunk fitted to the decode load";
    actions.push_back(action);
    ++statistics_.chunk_orders;
  }
}

double GoodputPlanner::good_rate(const ModelState& state, const Fleet& fleet,
                                 const fleet::Service& service, double prefill_engines,
                                 double decode_engines) const {
  const double limit = to_seconds(service.limits.between_tokens);
  const double prefill = prefill_engines * prefill_capacity(parameters_.cost);
  const double decode =
      decode_engines * decode_capacity(parameters_.cost, limit, fleet.mean_context);
  // A mixed engine leans to either side; half of it counts for each.
  const double mixed = static_cast<double>(fleet.mixed.size());
  const double prefill_all = prefill + 0.5 * mixed * prefill_capacity(parameters_.cost);
  const double decode_all =
      decode + 0.5 * mixed * decode_capacity(parameters_.cost, limit, fleet.mean_context);
  const double prefill_use = state.prefill_tokens / std::max(1.0, prefill_all);
  const double decode_use = state.decode_tokens / std::max(1.0, decode_all);
  const double share = std::min(share_in_time(prefill_use, parameters_.usable_share),
                                share_in_time(decode_use, parameters_.usable_share));
  return state.requests * share;
}

const PlannerEngine* GoodputPlanner::choose(const std::vector<const PlannerEngine*>& engines,
                                            const PlannerInput& input) const {
  const PlannerEngine* best = nullptr;
  for (const PlannerEngine* engine : engines) {
    const bool cooling = engine->last_changed != MonotonicTime{} &&
                         input.now - engine->last_changed < input.policy.role_change_cooldown;
    if (engine->role_pinned || cooling) {
      continue;
    }
    // The one with the least inside drains first.
    const auto work = [](const PlannerEngine& entry) {
      return entry.load.running_sequences + entry.load.queued_requests;
    };
    if (best == nullptr || work(*engine) < work(*best)) {
      best = engine;
    }
  }
  return best;
}

void GoodputPlanner::add_role_orders(const PlannerInput& input, const fleet::Service& service,
                                     const ModelName& model, std::vector<PlannedAction>& actions) {
  ModelState& state = models_[model];
  const Fleet fleet = gather(input, model);
  if (fleet.stale) {
    ++statistics_.skipped_stale;
    return;
  }
  const auto prefill = static_cast<double>(fleet.prefill.size());
  const auto decode = static_cast<double>(fleet.decode.size());
  if (!state.known || fleet.changing || prefill + decode < 2) {
    return;
  }
  const double interval = 1;  // Seconds between calls; regrets are per call of this length.
  const double now_rate = good_rate(state, fleet, service, prefill, decode);
  const auto accumulate = [&](double& regret, double prefill_change, std::size_t source) {
    if (source < 2) {
      regret = 0;
      return 0.0;
    }
    const double after =
        good_rate(state, fleet, service, prefill + prefill_change, decode - prefill_change);
    regret = std::max(0.0, regret + (after - now_rate) * interval);
    if (after <= now_rate) {
      regret *= std::exp(-interval / to_seconds(parameters_.regret_decay));
    }
    return after - now_rate;
  };
  const double gain_prefill = accumulate(state.regret_to_prefill, 1, fleet.decode.size());
  const double gain_decode = accumulate(state.regret_to_decode, -1, fleet.prefill.size());
  const bool to_prefill = state.regret_to_prefill > state.regret_to_decode;
  const double gain = to_prefill ? gain_prefill : gain_decode;
  const double without = good_rate(state, fleet, service, prefill - (to_prefill ? 0 : 1),
                                   decode - (to_prefill ? 1 : 0));
  const double seconds = to_seconds(parameters_.out_of_service + parameters_.drain);
  const double engines = prefill + decode + static_cast<double>(fleet.mixed.size());
  // Even an idle engine is missed by the prefixes it held; and a loss younger than the change is
  // long would be over before the change helps.
  const double cost =
      seconds * std::max({now_rate - without, 0.2 * state.requests / std::max(1.0, engines),
                          parameters_.persistence * gain});
  const auto target = to_prefill ? fleet::EngineRole::kPrefill : fleet::EngineRole::kDecode;
  const bool reversal = state.changed && state.last_direction != target &&
                        input.now - state.last_change < parameters_.reversal_window;
  const double price =
      input.policy.role_change_price * (reversal ? parameters_.reversal_factor : 1);
  const double regret = to_prefill ? state.regret_to_prefill : state.regret_to_decode;
  if (gain <= 0 || regret < price * cost) {
    return;
  }
  const PlannerEngine* engine = choose(to_prefill ? fleet.decode : fleet.prefill, input);
  if (engine == nullptr) {
    return;
  }
  PlannedAction action;
  action.engine = engine->id;
  action.role = target;
  action.expected_gain = gain;
  action.expected_cost = cost;
  action.reason =
      to_prefill ? "prompts outgrow the prefill engines" : "answers outgrow the decode engines";
  actions.push_back(action);
  ++statistics_.role_orders;
  state.regret_to_prefill = 0;
  state.regret_to_decode = 0;
  state.last_direction = target;
  state.last_change = input.now;
  state.changed = true;
}

}  // namespace ochrespring::planner
