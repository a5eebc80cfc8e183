// Kinds of faults the simulation injects, and how often each was injected in a run.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace ochrespring::simulation {

enum class FaultKind : std::uint8_t {
  kMessageLost,
  kMessageDuplicated,
  kMessageDelayed,
  kMessageBlocked,
  kPartition,
  kOneWayPartition,
  kNodeKilled,
  kNodePaused,
  kNodeRestarted,
  kKeyValueDown,
  kKeyValueSlow,
  kKeyValueAnswerLost,
  kKeyValueWatchLost,
  kKeyValueRestored,
  kMachineListLag,
  kEngineCrashed,
  kEngineCrashedDuringOrder,
  kEngineForgotFence,
  kEngineAnswerLost,
  kAnswerTruncated,
  kAnswerCrossed,
  kAnswerLate,
  kConnectionReset,
  kCallerGone,
  kZoneLost,
};

inline constexpr std::size_t kFaultKinds = 25;

/// Name of a fault kind in reports.
std::string_view fault_name(FaultKind kind);

/// Faults injected, by kind.
class FaultCounters {
 public:
  void count(FaultKind kind) { ++counts_[static_cast<std::size_t>(kind)]; }
  std::uint64_t of(FaultKind kind) const { return counts_[static_cast<std::size_t>(kind)]; }
  std::uint64_t total() const;
  /// Adds the counts of another run.
  void add(const FaultCounters& other);

 private:
  std::array<std::uint64_t, kFaultKinds> counts_{};
};

}  // namespace ochrespring::simulation
