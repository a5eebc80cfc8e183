// How many engines of a service may be out of service at once, and whose turn it is. Pure.
#pragma once

#include <vector>

#include "authority/types.h"
#include "fleet/types.h"

namespace ochrespring::controller {

/// One engine of a service as far as the budget is concerned, of any shard.
struct BudgetEngine {
  EngineId engine;
  authority::ShardKey shard;
  bool out = false;      ///< Draining, changing or not in service for another reason.
  bool planned = false;  ///< Out because of a planned change.
};

/// Engines of one service that may be out of service at once for planned changes.
std::size_t allowed_out(std::size_t engines, const fleet::ServiceLimits& limits,
                        const fleet::Policy& policy);

/// Whether one more engine may start to drain.
bool may_start(const std::vector<BudgetEngine>& engines, const fleet::ServiceLimits& limits,
               const fleet::Policy& policy);

/// Whether an engine that is draining may go on to its order. Two shards that started at the same
/// moment see each other by now; the engines that sort first keep their place.
bool may_proceed(const EngineId& engine, const std::vector<BudgetEngine>& engines,
                 const fleet::ServiceLimits& limits, const fleet::Policy& policy);

}  // namespace ochrespring::controller
