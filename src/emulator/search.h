// Searches made with knowledge of the whole run: the best fixed split in hindsight, and a plan of
// splits that sees the arrivals. They give the yardsticks `static` and `clairvoyant`.
#pragma once

#include <vector>

#include "emulator/fleet_emulator.h"
#include "workload/trace.h"

namespace ochrespring::emulator {

/// A policy a search chose, and what it measured.
struct SearchResult {
  PolicyConfiguration policy;
  RunResult result;
  std::uint32_t runs = 0;  ///< Runs the search took.
};

/// Runs every sensible fixed split of `options.policy` and returns the one of most good requests.
SearchResult search_static(const RunOptions& options, const workload::Trace& trace);

/// Plans splits from the arrivals themselves for several weights of a change, runs each plan with
/// a router that sees everything at once, and also runs the product's own policy with and without
/// lags; returns the best. An upper bound in practice: by construction never below
/// `own`, the product's policy on the same options.
SearchResult search_clairvoyant(const RunOptions& options, const PolicyConfiguration& own,
                                const workload::Trace& trace);

/// The plan alone: splits over time that the cost model expects to serve the trace best, where a
/// change of one engine's role costs `change_seconds` of that engine's share.
std::vector<ScheduledSplit> plan_offline(const Deployment& deployment, const workload::Trace& trace,
                                         Duration length, double change_seconds);

}  // namespace ochrespring::emulator
