// A history: everything that is done to the simulated system, with the times at which it is done.
// One seed and one history give one run, which can be written to a file and replayed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"

namespace ochrespring::fuzz {

enum class StepKind : std::uint8_t {
  // Callers.
  kSubmitStream,  ///< A model request; `argument` tokens of answer.
  kSendOnce,      ///< A new request that may not be repeated; `argument` names its key.
  kRepeatKey,     ///< The same key again, through another node.
  kCallerLeaves,  ///< One open caller goes away.
  // Operators.
  kMutateTenant,
  kDrainEngine,  ///< For `duration`, then undrained.
  kChangeRole,
  kChangeVersion,
  kStopNode,       ///< Planned; started again `duration` after it has stopped.
  kMachineLeaves,  ///< A server is marked as leaving for `duration`.
  // Processes.
  kKillNode,  ///< Started again, empty, after `duration`.
  kPauseNode,
  kCrashEngine,
  kCrashEngineForgetful,  ///< Forgets its fence.
  kCrashEngineInOrder,    ///< In the middle of its next order; `argument` odd: forgets its fence.
  // Network.
  kPartition,        ///< `argument` is the set of nodes on one side.
  kCutOneWay,        ///< From `target` to `other`.
  kCutFromEngines,   ///< The node reaches no engine.
  kCutFromKeyValue,  ///< The node does not reach the key-value service.
  kLossyNetwork,
  kSlowNetwork,
  kLoseZone,  ///< Nodes die, engines crash, until `duration` has passed.
  kKillAllNodes,
  // Platform.
  kKeyValueDown,
  kKeyValueSlow,
  kKeyValueLosesAnswers,
  kKeyValueLosesWatchEvents,
  kKeyValueBackup,
  kKeyValueRestore,
  kMachineListLag,
  kEngineLosesAnswers,
  // Answers: what one back end does to its next answer.
  kTruncateAnswer,
  kCrossAnswer,
  kDelayAnswer,
  kResetAnswer,
};

inline constexpr std::size_t kStepKinds = 35;

/// Name of a step kind in files and reports.
std::string_view step_name(StepKind kind);
std::optional<StepKind> step_kind(std::string_view name);

/// One thing done to the system. Which fields matter depends on the kind; indices are taken modulo
/// the number of nodes, engines or zones, so that every step is valid in every world.
struct Step {
  Duration at{};  ///< Since the start.
  StepKind kind = StepKind::kSubmitStream;
  std::uint32_t target = 0;
  std::uint32_t other = 0;
  Duration duration{};
  std::uint64_t argument = 0;

  bool operator==(const Step&) const = default;
};

/// A run's input.
struct History {
  std::uint64_t seed = 1;  ///< Of the world's own randomness: delays, drifts, jitter.
  std::string scenario;
  std::string plant;        ///< Planted bug, or empty.
  std::vector<Step> steps;  ///< In the order of time.

  bool operator==(const History&) const = default;
};

enum class HistoryErrc : std::uint8_t {
  kMalformed,  ///< Not JSON, or a field is missing or of the wrong type.
  kUnknownStep,
};
using HistoryError = LayerError<HistoryErrc>;

/// JSON text of a history, one step a line.
std::string to_json(const History& history);
/// History from JSON text.
Result<History, HistoryError> history_from_json(std::string_view text);

}  // namespace ochrespring::fuzz
