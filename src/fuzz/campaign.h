// Many seeds at once: one simulation per thread, results gathered in the order of seeds.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fuzz/runner.h"

namespace ochrespring::fuzz {

struct CampaignSettings {
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
  std::uint32_t steps = 1000;          ///< Per seed.
  std::vector<std::string> scenarios;  ///< Seeds take them in turn.
  std::string plant;                   ///< Planted bug, or empty.
  std::uint32_t threads = 1;
  bool stop_at_violation = true;  ///< Seeds above a failing one need not be run.
};

/// A seed whose run broke a promise.
struct FailedSeed {
  History history;
  std::vector<oracle::Violation> violations;
};

struct CampaignReport {
  std::uint64_t seeds_run = 0;
  Activity activity;
  simulation::FaultCounters faults;
  std::vector<FailedSeed> failed;  ///< In the order of seeds.
};

/// History that a campaign runs for one seed.
History history_of_seed(const CampaignSettings& settings, std::uint64_t seed);

/// Runs the campaign. `progress` is called now and then, from any thread, with the seeds done.
CampaignReport run_campaign(const CampaignSettings& settings,
                            const std::function<void(std::uint64_t)>& progress = {});

/// Shortest history found that still breaks the same promise as `failed` did first.
History shrink_failure(const FailedSeed& failed, std::uint32_t largest_runs);

/// Why the activity of a campaign is too little to prove anything, or none if it suffices.
std::optional<std::string> too_little_activity(const CampaignReport& report);

}  // namespace ochrespring::fuzz
