// What an engine of each role can carry, and what share of demand a utilisation serves in time.
// Used by the planner, and by the offline plan that sees the future.
#pragma once

#include "engine_model/cost_model.h"

namespace ochrespring::planner {

/// Seconds a prompt token takes in a chunk, attention to a typical context included.
double chunk_token_seconds(const engine_model::CostModel& cost);

/// Prompt tokens a second of an engine that only prefills.
double prefill_capacity(const engine_model::CostModel& cost);

/// Output tokens a second of an engine that only decodes sequences of this mean context, with
/// `limit` seconds between tokens.
double decode_capacity(const engine_model::CostModel& cost, double limit, double context);

/// Share of demand answered in time at a utilisation: all of it well below `usable`, a little less
/// close to it for queues that build by chance, and above it what fits.
double share_in_time(double utilisation, double usable);

}  // namespace ochrespring::planner
