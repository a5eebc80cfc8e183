// Makes a failing history as short as it can be while it still fails in the same way.
#pragma once

#include <functional>

#include "fuzz/history.h"

namespace ochrespring::fuzz {

/// Whether a history still breaks the promise in question.
using StillFails = std::function<bool(const History&)>;

/// Removes runs of steps, halving their length, until no single step can be removed or
/// `largest_runs` runs have been spent. `history` itself must fail.
History shrink(History history, const StillFails& still_fails, std::uint32_t largest_runs);

}  // namespace ochrespring::fuzz
