#include "report/run_record.h"

#include <istream>
#include <nlohmann/json.hpp>

namespace ochrespring::report {
namespace {

using Json = nlohmann::json;

RunRecord read_run(const Json& json) {
  RunRecord run;
  run.workload = json.at("workload");
  run.faults = json.at("faults");
  run.policy = json.at("policy");
  run.settings = json.value("settings", "");
  run.seed = json.at("seed");
  run.goodput = json.at("goodput");
  run.goodput_per_second = json.at("goodput_per_second");
  run.role_changes = json.at("role_changes");
  run.first_token_p95 = json.at("ttft_p95_s");
  run.between_tokens_p95 = json.at("itl_p95_s");
  run.not_run = json.at("not_run");
  run.cut = json.at("cut");
  for (const Json& slice : json.value("timeline", Json::array())) {
    run.timeline.push_back({slice.at("at_s"), slice.at("offered"), slice.at("good"),
                            slice.at("prefill_engines"), slice.at("decode_engines"),
                            slice.at("mixed_engines")});
  }
  run.first_token_quantiles = json.value("ttft_quantiles_s", std::vector<double>{});
  run.between_token_quantiles = json.value("itl_quantiles_s", std::vector<double>{});
  return run;
}

}  // namespace

Result<std::vector<RunRecord>, ReportError> read_runs(std::istream& in) {
  std::vector<RunRecord> runs;
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    if (line.empty()) {
      continue;
    }
    try {
      runs.push_back(read_run(Json::parse(line)));
    } catch (const Json::exception& error) {
      return fail(ReportErrc::kMalformed,
                  "line " + std::to_string(number) + ": " + std::string(error.what()));
    }
  }
  return runs;
}

}  // namespace ochrespring::report
