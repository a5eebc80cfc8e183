#include "emulator/faults.h"

namespace ochrespring::emulator {

const std::vector<std::string>& fault_plan_names() {
  static const std::vector<std::string> names{"none",        "late-reports", "engine-crash",
                                              "two-crashes", "zone-down",    "ordinary-crash"};
  return names;
}

std::optional<FaultPlan> find_fault_plan(const std::string& name, Duration length) {
  FaultPlan plan;
  if (name == "none") {
    return plan;
  }
  if (name == "late-reports") {
    plan.report_lag = std::chrono::seconds(5);
    plan.cache_event_loss = 0.2;
    return plan;
  }
  if (name == "engine-crash") {
    plan.faults = {{FaultKind::kEngineCrash, length / 3, {}, 4}};
    return plan;
  }
  if (name == "two-crashes") {
    plan.faults = {{FaultKind::kEngineCrash, length / 3, {}, 4},
                   {FaultKind::kEngineCrash, length / 3 + std::chrono::seconds(2), {}, 7}};
    return plan;
  }
  if (name == "zone-down") {
    plan.faults = {{FaultKind::kZoneDown, length / 3, length * 2 / 3, 1}};
    return plan;
  }
  if (name == "ordinary-crash") {
    plan.faults = {
        {FaultKind::kOrdinaryCrash, length / 3, length / 3 + std::chrono::seconds(20), 0}};
    return plan;
  }
  return std::nullopt;
}

}  // namespace ochrespring::emulator
