#include "simulation/faults.h"

#include <numeric>

namespace ochrespring::simulation {

std::string_view fault_name(FaultKind kind) {
  static constexpr std::array<std::string_view, kFaultKinds> kNames = {
      "message-lost",
      "message-duplicated",
      "message-delayed",
      "message-blocked",
      "partition",
      "one-way-partition",
      "node-killed",
      "node-paused",
      "node-restarted",
      "key-value-down",
      "key-value-slow",
      "key-value-answer-lost",
      "key-value-watch-lost",
      "key-value-restored",
      "machine-list-lag",
      "engine-crashed",
      "engine-crashed-during-order",
      "engine-forgot-fence",
      "engine-answer-lost",
      "answer-truncated",
      "answer-crossed",
      "answer-late",
      "connection-reset",
      "caller-gone",
      "zone-lost",
  };
  return kNames[static_cast<std::size_t>(kind)];
}

std::uint64_t FaultCounters::total() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void FaultCounters::add(const FaultCounters& other) {
  for (std::size_t i = 0; i < kFaultKinds; ++i) {
    counts_[i] += other.counts_[i];
  }
}

}  // namespace ochrespring::simulation
