// Runs one history through the simulated world under the oracle's eyes.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "fuzz/history.h"
#include "oracle/observation.h"
#include "oracle/promise.h"
#include "simulation/faults.h"

namespace ochrespring::fuzz {

/// What a run did; a run that did too little proves nothing.
struct Activity {
  std::uint64_t steps = 0;
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t gone = 0;
  std::uint64_t runs = 0;
  std::uint64_t orders = 0;
  std::uint64_t mutations = 0;
  std::uint64_t messages = 0;
  std::uint64_t observations = 0;
  std::array<std::uint64_t, oracle::kAllPromises.size()> checks{};

  void add(const Activity& other);
};

struct RunReport {
  std::vector<oracle::Violation> violations;
  Activity activity;
  simulation::FaultCounters faults;
};

/// Told of every observation of a run, in order; for traces.
using ObservationTrace = std::function<void(MonotonicTime, const oracle::Observation&)>;

/// Runs a history to its end, heals every fault, waits for the system to settle, and judges. Stops
/// early at the first violation. The same history always gives the same report.
RunReport run_history(const History& history, const ObservationTrace& trace = {});

}  // namespace ochrespring::fuzz
