// Faults a run can be given by name.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "emulator/deployment.h"

namespace ochrespring::emulator {

enum class FaultKind : std::uint8_t {
  kEngineCrash,    ///< Engine `target` loses everything and is out for EngineParameters::restart.
  kZoneDown,       ///< Zone `target` is silent until `until`: its engines, back ends and proxies.
  kOrdinaryCrash,  ///< Back end `target` loses what it has and is out until `until`.
};

struct Fault {
  FaultKind kind = FaultKind::kEngineCrash;
  Duration at{};
  Duration until{};
  std::uint32_t target = 0;
};

/// A named set of faults: events, and changes to the deployment's lags.
struct FaultPlan {
  std::vector<Fault> faults;
  std::optional<Duration> report_lag;
  std::optional<double> cache_event_loss;
};

/// Finds a plan: none, late-reports, engine-crash, two-crashes, zone-down, ordinary-crash. Events
/// are placed as shares of the run's length.
std::optional<FaultPlan> find_fault_plan(const std::string& name, Duration length);

/// Names of all plans.
const std::vector<std::string>& fault_plan_names();

}  // namespace ochrespring::emulator
