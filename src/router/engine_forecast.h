// What a proxy expects of an engine: first-token and between-token time of one more request, from a
// lag-corrected estimate of the engine's load.
#pragma once

#include <cstdint>

#include "engine_model/cost_model.h"
#include "fleet/types.h"

namespace ochrespring::router {

/// Load of one engine as estimated for a point in time.
struct LoadEstimate {
  fleet::EngineRole role = fleet::EngineRole::kMixed;
  double backlog_tokens = 0;  ///< Prompt tokens waiting to be computed.
  double running = 0;         ///< Sequences that decode or will.
  double context_tokens = 0;  ///< Sum of their contexts.
  double kv_tokens_free = 0;  ///< Room in KV memory.
  double chunk_tokens = 512;  ///< Prompt tokens a step beside decode.
};

/// Expected behaviour of an engine with one more request.
struct EngineForecast {
  double first_token = 0;     ///< Seconds until the first token (prefill role: until the KV cache).
  double between_tokens = 0;  ///< Seconds between tokens while prompts are mixed in.
  double decode_step = 0;     ///< Seconds between tokens with no prompt mixed in.
};

/// Prompt tokens an engine computes a second under this load.
double prefill_rate(const engine_model::CostModel& cost, const LoadEstimate& load);

/// Forecast for a request of `prompt_tokens`, of which `uncached_tokens` must be computed here.
EngineForecast forecast(const engine_model::CostModel& cost, const LoadEstimate& load,
                        double prompt_tokens, double uncached_tokens);

}  // namespace ochrespring::router
