#include "controller/change_budget.h"

#include <algorithm>
#include <cstdint>

namespace ochrespring::controller {

namespace {

constexpr std::size_t kPercent = 100;

std::size_t count_out(const std::vector<BudgetEngine>& engines) {
  return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [](const auto& engine) { return engine.out; }));
}

}  // namespace

std::size_t allowed_out(std::size_t engines, const fleet::ServiceLimits& limits,
                        const fleet::Policy& policy) {
  const std::size_t percent = std::min<std::size_t>(limits.minimum_serving_percent, kPercent);
  const std::size_t spare = engines * (kPercent - percent) / kPercent;
  return std::min<std::size_t>(spare, policy.concurrent_changes);
}

bool may_start(const std::vector<BudgetEngine>& engines, const fleet::ServiceLimits& limits,
               const fleet::Policy& policy) {
  return count_out(engines) < allowed_out(engines.size(), limits, policy);
}

bool may_proceed(const EngineId& engine, const std::vector<BudgetEngine>& engines,
                 const fleet::ServiceLimits& limits, const fleet::Policy& policy) {
  const std::size_t allowed = allowed_out(engines.size(), limits, policy);
  const auto ahead = std::count_if(engines.begin(), engines.end(), [&](const auto& other) {
    return other.out && other.engine != engine && (!other.planned || other.engine < engine);
  });
  return static_cast<std::size_t>(ahead) < allowed;
}

}  // namespace ochrespring::controller
