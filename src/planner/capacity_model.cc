#include "planner/capacity_model.h"

#include <algorithm>

namespace ochrespring::planner {
namespace {

/// Context of a prompt token when its chunk runs, on average.
constexpr double kTypicalPromptContext = 2000;
/// Prompt tokens a step on an engine with the prefill role.
constexpr double kPrefillRoleChunk = 4096;
/// Width of the band below `usable` in which chance queues cost something, and how much.
constexpr double kOnsetWidth = 0.15;
constexpr double kOnsetLoss = 0.03;

}  // namespace

double chunk_token_seconds(const engine_model::CostModel& cost) {
  return cost.prefill_token + cost.prefill_token_context * kTypicalPromptContext;
}

double prefill_capacity(const engine_model::CostModel& cost) {
  return kPrefillRoleChunk / (cost.step_base + kPrefillRoleChunk * chunk_token_seconds(cost));
}

double decode_capacity(const engine_model::CostModel& cost, double limit, double context) {
  const double per_sequence = cost.decode_sequence + cost.context_token * context;
  const double sequences = std::max(1.0, (limit - cost.step_base) / per_sequence);
  return sequences / limit;
}

double share_in_time(double utilisation, double usable) {
  if (utilisation >= usable) {
    return (1 - kOnsetLoss) * usable / utilisation;
  }
  const double onset = usable - kOnsetWidth;
  return utilisation <= onset ? 1 : 1 - kOnsetLoss * (utilisation - onset) / kOnsetWidth;
}

}  // namespace ochrespring::planner
