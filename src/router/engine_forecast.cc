#include "router/engine_forecast.h"

#include <algorithm>

namespace ochrespring::router {
namespace {

/// Context a prompt token attends to on average, for the share of attention in a chunk.
constexpr double kTypicalPromptContext = 2000;

double decode_seconds(const engine_model::CostModel& cost, double running, double context) {
  return cost.step_base + cost.decode_sequence * running + cost.context_token * context;
}

double chunk_seconds(const engine_model::CostModel& cost, double tokens) {
  return tokens * (cost.prefill_token + cost.prefill_token_context * kTypicalPromptContext);
}

}  // namespace

double prefill_rate(const engine_model::CostModel& cost, const LoadEstimate& load) {
  const double chunk = std::max(1.0, load.chunk_tokens);
  const double running = load.role == fleet::EngineRole::kPrefill ? 0 : load.running;
  const double context = load.role == fleet::EngineRole::kPrefill ? 0 : load.context_tokens;
  return chunk / (decode_seconds(cost, running, context) + chunk_seconds(cost, chunk));
}

EngineForecast forecast(const engine_model::CostModel& cost, const LoadEstimate& load,
                        double prompt_tokens, double uncached_tokens) {
  EngineForecast result;
  const double rate = prefill_rate(cost, load);
  result.decode_step = decode_seconds(cost, load.running + 1, load.context_tokens + prompt_tokens);
  const double chunk = std::min(load.chunk_tokens, load.backlog_tokens + uncached_tokens);
  result.between_tokens = result.decode_step + chunk_seconds(cost, chunk);
  // A request that arrives during a step waits for its end: half a step on average.
  const double step = load.running > 0 ? result.decode_step : cost.step_base;
  result.first_token = (load.backlog_tokens + uncached_tokens) / rate + step / 2;
  return result;
}

}  // namespace ochrespring::router
