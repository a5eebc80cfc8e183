// The plain planner: when one side's queue crosses a threshold, an engine of the other side changes
// role. A baseline to compare against.
#pragma once

#include "planner/planner.h"

namespace ochrespring::planner {

struct ReactiveParameters {
  double prefill_queue_tokens = 8'000;  ///< Per prefill engine; above it, prefill is short.
  double decode_running = 48;           ///< Sequences per decode engine; above it, decode is short.
  Duration cooldown{std::chrono::seconds(15)};  ///< After any change.
};

/// Looks only at the latest load reports, as a threshold autoscaler does.
class ReactivePlanner final : public Planner {
 public:
  explicit ReactivePlanner(const ReactiveParameters& parameters) : parameters_(parameters) {}
  std::vector<PlannedAction> plan(const PlannerInput& input) override;

 private:
  ReactiveParameters parameters_;
};

}  // namespace ochrespring::planner
