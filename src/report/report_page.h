// One self-contained HTML page over a set of runs: tables of policy against policy, and charts.
#pragma once

#include <string>
#include <vector>

#include "report/run_record.h"

namespace ochrespring::report {

/// Mean figures of the runs that differ only in their seed.
struct RunGroup {
  std::string workload;
  std::string faults;
  std::string policy;
  std::string settings;
  std::size_t runs = 0;
  double goodput = 0;
  double lowest_goodput = 1;
  double highest_goodput = 0;
  double role_changes = 0;
  double first_token_p95 = 0;
  double between_tokens_p95 = 0;
  double not_run = 0;
  double cut = 0;
  const RunRecord* first = nullptr;  ///< The run charts are drawn from.
};

/// Groups runs in order of first appearance.
std::vector<RunGroup> group_runs(const std::vector<RunRecord>& runs);

/// The page. Runs with details get charts of goodput and roles over time and of latencies.
std::string render_page(const std::vector<RunRecord>& runs, const std::string& title);

}  // namespace ochrespring::report
