// Controls the engines of one shard while this node holds its lease.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "authority/lease_view.h"
#include "controller/change_budget.h"
#include "controller/engine_driver.h"
#include "external/engine_control.h"
#include "fleet/types.h"
#include "grants/grants.h"
#include "planner/planner.h"

namespace ochrespring::controller {

/// What the controller reads of the rest of the node; called on the control loop.
class FleetObservations {
 public:
  virtual ~FleetObservations() = default;
  /// Demand for a service's models over the whole fleet.
  virtual std::vector<planner::DemandSample> demand(const ServiceName& service) const = 0;
  /// Latest load report of an engine and when its figures were true.
  virtual std::optional<std::pair<engine::LoadReport, MonotonicTime>> load(
      const EngineId& engine) const = 0;
  /// Whether an engine of any shard was last seen in service.
  virtual bool in_service(const EngineId& engine) const = 0;
};

struct ControllerStatistics {
  std::uint64_t orders_sent = 0;
  std::uint64_t fences_raised = 0;
  std::uint64_t changes_started = 0;
  std::uint64_t changes_completed = 0;
  std::uint64_t changes_failed = 0;
  std::uint64_t role_changes = 0;
  std::uint64_t status_reads = 0;
  std::uint64_t orders_withheld = 0;  ///< The lease was no longer held.
  std::uint64_t superseded = 0;
};

using PlannerFactory = std::function<std::unique_ptr<planner::Planner>(const ServiceName&)>;

/// All must outlive the controller.
struct ControllerDependencies {
  const Clock& clock;
  authority::LeaseView& leases;
  grants::Grants& grants;
  external::EngineControl& engines;
  const statechart::ChartLibrary& charts;
  FleetObservations& observations;
  PlannerFactory planner_factory;
};

class ShardController {
 public:
  ShardController(const ControllerDependencies& dependencies, const DriverSettings& settings,
                  const authority::HeldLease& lease, ControllerStatistics& statistics);
  ~ShardController();

  void configure(const fleet::FleetDocument& document);
  void on_tick();
  /// Decides changes; called every planning interval.
  void plan();
  void on_load(const engine::LoadReport& report);

  const EngineDriver* find(const EngineId& engine) const;
  std::optional<Decision> decision(const EngineId& engine) const;

 private:
  class LedgerGate;
  struct ManagedEngine {
    fleet::Engine configuration;
    EngineDriver driver;
    MonotonicTime last_changed{};
    MonotonicTime retry_at{};
    Duration retry_delay{};
  };

  void update_ordinary();
  void run_commands(ManagedEngine& managed);
  void read_status(ManagedEngine& managed);
  void send_order(ManagedEngine& managed);
  ManagedEngine* managed(const EngineId& engine);
  void plan_service(const fleet::Service& service);
  std::vector<BudgetEngine> budget(const ServiceName& service) const;
  void consider(const fleet::Service& service, const WantedChange& change);
  bool loading() const;
  planner::PlannerInput planner_input(const fleet::Service& service) const;
  void note(ManagedEngine& managed, DecisionOutcome outcome, const WantedChange& change);
  void finish(ManagedEngine& managed, bool completed);

  ControllerDependencies dependencies_;
  DriverSettings settings_;
  authority::HeldLease lease_;
  ControllerStatistics& statistics_;
  fleet::FleetDocument document_;
  std::unique_ptr<LedgerGate> gate_;
  std::map<EngineId, ManagedEngine> engines_;
  std::map<ServiceName, std::unique_ptr<planner::Planner>> planners_;
  std::map<EngineId, Decision> decisions_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards engine callbacks.
};

}  // namespace ochrespring::controller
