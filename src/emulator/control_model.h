// The emulated control plane: asks the planner, drains engines, changes roles. Stands in for the
// controller, which has its own tests and simulation.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "emulator/engine_pool.h"
#include "emulator/policy.h"
#include "planner/planner.h"

namespace ochrespring::emulator {

/// Demand over all proxies in one interval.
struct DemandTotals {
  double requests = 0;
  double prefill_tokens = 0;
  double decode_tokens = 0;
  double waiting = 0;
  double seconds = 0;  ///< Length of the interval.
};

/// What the control plane asks of the emulator.
class ControlHost {
 public:
  virtual ~ControlHost() = default;
  /// Moves every sequence off an engine: its streams go on elsewhere.
  virtual void move_streams(std::uint32_t engine) = 0;
  /// Attempts on their way to the engine over the network.
  virtual std::uint32_t attempts_under_way(std::uint32_t engine) const = 0;
};

/// Runs a planner against the engines.
class ControlModel {
 public:
  ControlModel(const Deployment& deployment, const PolicyConfiguration& policy, EnginePool& engines,
               ControlHost& host);

  /// Carries drains forward; called every control tick.
  void advance_changes(MonotonicTime now);
  /// Asks the planner and starts what it wants; called every plan interval.
  void plan(const DemandTotals& demand, MonotonicTime now);
  /// The engine crashed: whatever was being done to it is over.
  void on_crash(std::uint32_t engine, MonotonicTime now);

  /// Role changes carried out.
  std::uint32_t role_changes() const { return role_changes_; }

 private:
  struct Change {
    fleet::EngineRole role = fleet::EngineRole::kMixed;
    MonotonicTime started;
    bool ordered = false;  ///< The engine is out of service, carrying it out.
  };

  void start(std::uint32_t engine, fleet::EngineRole role, MonotonicTime now);
  void follow_schedule(MonotonicTime now);
  planner::PlannerInput make_input(const DemandTotals& demand, MonotonicTime now) const;
  std::uint32_t changes_under_way() const;

  const Deployment& deployment_;
  const PolicyConfiguration& policy_;
  EnginePool& engines_;
  ControlHost& host_;
  std::unique_ptr<planner::Planner> planner_;
  std::vector<std::optional<Change>> changes_;
  std::uint32_t role_changes_ = 0;
};

}  // namespace ochrespring::emulator
