// The product's planner: sizes prompt chunks to each engine's decode load, and changes roles once
// what the present split has cost exceeds the price of changing it. docs/design/planning.md.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine_model/cost_model.h"
#include "planner/planner.h"

namespace ochrespring::planner {

struct GoodputPlannerParameters {
  engine_model::CostModel cost;
  bool size_chunks = true;                           ///< The cheap lever; off only for comparison.
  bool change_roles = true;                          ///< The dear lever; off only for comparison.
  Duration smoothing{std::chrono::seconds(6)};       ///< Of demand; time constant.
  Duration out_of_service{std::chrono::seconds(5)};  ///< Of an engine that changes role.
  Duration drain{std::chrono::seconds(8)};           ///< Typical, before it.
  Duration stale_report{std::chrono::seconds(10)};   ///< Older reports are not acted on.
  double persistence = 0.6;  ///< A loss must have lasted this share of a change's length.
  Duration regret_decay{std::chrono::seconds(30)};  ///< Of past losses while there are none.
  double usable_share = 0.92;  ///< Load beyond this share of capacity misses limits.
  double reversal_factor = 2;  ///< A change back soon after costs this much more.
  Duration reversal_window{std::chrono::minutes(3)};
  std::uint32_t least_chunk_tokens = 64;
  std::uint32_t most_chunk_tokens = 2048;  ///< For an engine that decodes nothing.
  std::uint32_t chunk_step_tokens = 32;    ///< Chunks are set in multiples of this.
  double chunk_step_share = 0.93;          ///< Of the between-token limit a mixed step may use.
};

/// Counters of one planner.
struct PlannerStatistics {
  std::uint64_t chunk_orders = 0;
  std::uint64_t role_orders = 0;
  std::uint64_t skipped_stale = 0;  ///< Rounds without role changes for want of fresh reports.
};

/// Planner of one service's shard; models are planned independently.
class GoodputPlanner final : public Planner {
 public:
  explicit GoodputPlanner(const GoodputPlannerParameters& parameters) : parameters_(parameters) {}
  std::vector<PlannedAction> plan(const PlannerInput& input) override;

  const PlannerStatistics& statistics() const { return statistics_; }

 private:
  /// Smoothed demand of one model and what the present split has cost so far.
  struct ModelState {
    double requests = 0;
    double prefill_tokens = 0;
    double decode_tokens = 0;
    MonotonicTime sampled{};
    bool known = false;
    double regret_to_prefill = 0;  ///< Good requests lost by not having moved an engine.
    double regret_to_decode = 0;
    fleet::EngineRole last_direction = fleet::EngineRole::kMixed;
    MonotonicTime last_change{};
    bool changed = false;
  };

  /// Engines of one model by role, and what they can carry.
  struct Fleet {
    std::vector<const PlannerEngine*> prefill;
    std::vector<const PlannerEngine*> decode;
    std::vector<const PlannerEngine*> mixed;
    double mean_context = 0;
    bool changing = false;
    bool stale = false;
  };

  static const fleet::Service* find_service(const PlannerInput& input, const ModelName& model);
  Fleet gather(const PlannerInput& input, const ModelName& model) const;
  void smooth(ModelState& state, const PlannerInput& input, const ModelName& model) const;
  void add_chunk_orders(const PlannerInput& input, const fleet::Service& service,
                        const ModelName& model, std::vector<PlannedAction>& actions);
  std::uint32_t fitting_chunk(const PlannerEngine& engine, const fleet::Service& service) const;
  void add_role_orders(const PlannerInput& input, const fleet::Service& service,
                       const ModelName& model, std::vector<PlannedAction>& actions);
  double good_rate(const ModelState& state, const Fleet& fleet, const fleet::Service& service,
                   double prefill_engines, double decode_engines) const;
  const PlannerEngine* choose(const std::vector<const PlannerEngine*>& engines,
                              const PlannerInput& input) const;

  GoodputPlannerParameters parameters_;
  std::map<ModelName, ModelState> models_;
  PlannerStatistics statistics_;
};

}  // namespace ochrespring::planner
