#include "fuzz/campaign.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "fuzz/scenario.h"
#include "fuzz/shrink.h"

namespace ochrespring::fuzz {
namespace {

/// Hands out seeds to threads and gathers what they found.
class Campaign {
 public:
  Campaign(const CampaignSettings& settings, const std::function<void(std::uint64_t)>& progress)
      : settings_(settings), progress_(progress), next_(settings.first_seed) {}

  CampaignReport run() {
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < std::max(settings_.threads, 1U); ++i) {
      threads.emplace_back([this] { work(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    for (auto& [seed, failed] : failed_) {
      report_.failed.push_back(std::move(failed));
    }
    return std::move(report_);
  }

 private:
  void work() {
    const std::uint64_t end = settings_.first_seed + settings_.seeds;
    for (std::uint64_t seed = next_++; seed < end; seed = next_++) {
      if (settings_.stop_at_violation && seed > lowest_failed_) {
        return;
      }
      run_seed(seed);
    }
  }

  void run_seed(std::uint64_t seed) {
    History history = history_of_seed(settings_, seed);
    const RunReport run = run_history(history);
    const std::lock_guard lock(mutex_);
    ++report_.seeds_run;
    report_.activity.add(run.activity);
    report_.faults.add(run.faults);
    if (!run.violations.empty()) {
      lowest_failed_ = std::min(lowest_failed_.load(), seed);
      failed_.emplace(seed, FailedSeed{std::move(history), run.violations});
    }
    if (progress_) {
      progress_(report_.seeds_run);
    }
  }

  const CampaignSettings& settings_;
  const std::function<void(std::uint64_t)>& progress_;
  std::atomic<std::uint64_t> next_;
  std::atomic<std::uint64_t> lowest_failed_{UINT64_MAX};
  std::mutex mutex_;
  CampaignReport report_;
  std::map<std::uint64_t, FailedSeed> failed_;
};

}  // namespace

History history_of_seed(const CampaignSettings& settings, std::uint64_t seed) {
  const std::string& name = settings.scenarios[seed % settings.scenarios.size()];
  History history = generate_history(*find_scenario(name), seed, settings.steps);
  history.plant = settings.plant;
  return history;
}

CampaignReport run_campaign(const CampaignSettings& settings,
                            const std::function<void(std::uint64_t)>& progress) {
  return Campaign(settings, progress).run();
}

History shrink_failure(const FailedSeed& failed, std::uint32_t largest_runs) {
  const oracle::Promise promise = failed.violations.front().promise;
  const auto still_fails = [promise](const History& candidate) {
    const RunReport run = run_history(candidate);
    return std::ranges::find(run.violations, promise, &oracle::Violation::promise) !=
           run.violations.end();
  };
  return shrink(failed.history, still_fails, largest_runs);
}

std::optional<std::string> too_little_activity(const CampaignReport& report) {
  const Activity& activity = report.activity;
  if (activity.requests * 4 < activity.steps) {
    return "fewer requests than a quarter of the steps";
  }
  if (activity.answered * 4 < activity.requests) {
    return "fewer answers than a quarter of the requests";
  }
  for (const oracle::Promise promise : oracle::kAllPromises) {
    if (activity.checks[static_cast<std::size_t>(promise)] == 0) {
      return "promise never checked: " + std::string(oracle::promise_name(promise));
    }
  }
  return std::nullopt;
}

}  // namespace ochrespring::fuzz
