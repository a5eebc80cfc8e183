// Explicit-state exploration: every interleaving of a Model to a stated depth, breadth first, with
// hashed states.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "exploration/model.h"

namespace ochrespring::exploration {

struct Report {
  std::uint64_t states = 0;       ///< Distinct.
  std::uint64_t transitions = 0;  ///< Taken.
  std::uint32_t depth = 0;        ///< Reached in full, or where the first violation was found.
  bool truncated = false;         ///< The limit on states was met first.
  std::optional<Promise> violated;
  std::vector<std::string> trace;  ///< Steps of the shortest counterexample.
};

/// Explores to `depth` or to the first violation; keeps at most `largest` states in memory.
Report explore(const Settings& settings, std::uint32_t depth, std::uint64_t largest);

/// Goes down `walks` random paths of `length` steps each: reaches depths that exploring every
/// interleaving cannot, and proves nothing by itself. `states` counts steps, repeated ones too.
Report walk(const Settings& settings, std::uint64_t seed, std::uint64_t walks,
            std::uint32_t length);

}  // namespace ochrespring::exploration
