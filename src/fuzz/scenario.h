// Scenarios: which steps a generated history is made of, and how often.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fuzz/history.h"

namespace ochrespring::fuzz {

/// How often a kind of step is drawn, relative to the others, and how long its effect lasts.
struct StepWeight {
  StepKind kind = StepKind::kSubmitStream;
  double weight = 0;
  Duration shortest{};
  Duration longest{};
};

struct Scenario {
  std::string_view name;
  std::string_view description;
  std::vector<StepWeight> weights;
  bool calm = false;  ///< Nothing fails: every request must be answered.
  /// Whether its fixed seeds must pass; the others have known failures, see docs/VERIFICATION.md.
  bool required = true;
};

/// All scenarios, `everything` last.
const std::vector<Scenario>& scenarios();
/// Scenario by name.
const Scenario* find_scenario(std::string_view name);

/// Mean time between steps in generated histories.
inline constexpr Duration kMeanStepGap{std::chrono::milliseconds(250)};

/// History of `steps` steps drawn from a seed.
History generate_history(const Scenario& scenario, std::uint64_t seed, std::uint32_t steps);

}  // namespace ochrespring::fuzz
