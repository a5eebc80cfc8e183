// Changes of engines: what is wanted, what was decided, and why.
#pragma once

#include <cstdint>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "engine/types.h"

namespace ochrespring::controller {

enum class ChangeReason : std::uint8_t {
  kConfiguration,  ///< The engine differs from what operators configured.
  kPlanner,        ///< The planner expects a gain.
};

/// One change of one engine, before it has a fence.
struct WantedChange {
  engine::EngineOrder order;  ///< Without its fence.
  ChangeReason reason = ChangeReason::kConfiguration;
  std::string explanation;
  Duration drain_limit{};
};

/// Whether an order takes the engine out of service, so that it must be drained first.
bool needs_drain(engine::OrderAction action);
/// Whether an order fetches weights from the weight store.
bool loads_weights(engine::OrderAction action);

enum class DecisionOutcome : std::uint8_t {
  kStarted,
  kCompleted,
  kFailed,
  kHeldBack,  ///< Wanted, but a limit does not permit it now.
};

/// Last decision about one engine, for operators.
struct Decision {
  EngineId engine;
  MonotonicTime at;
  Epoch epoch;
  DecisionOutcome outcome = DecisionOutcome::kStarted;
  engine::OrderAction action = engine::OrderAction::kRaiseFence;
  std::string explanation;
};

}  // namespace ochrespring::controller
