#include "emulator/run_result.h"

#include <algorithm>
#include <cmath>

namespace ochrespring::emulator {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kDistributionPoints = 100;

/// Rounded to a millionth, so that output is short and the same everywhere.
double rounded(double value) {
  return std::round(value * 1e6) / 1e6;
}

Json to_json(const TimelineSlice& slice) {
  return Json{{"at_s", slice.at_seconds},
              {"offered", slice.offered},
              {"good", slice.good},
              {"prefill_engines", slice.prefill_engines},
              {"decode_engines", slice.decode_engines},
              {"mixed_engines", slice.mixed_engines},
              {"out_of_service", slice.out_of_service},
              {"prompt_tokens", slice.prompt_tokens},
              {"output_tokens", slice.output_tokens}};
}

Json to_json(const TenantResult& tenant) {
  return Json{{"tenant", tenant.tenant.value()},
              {"offered", tenant.counts.offered},
              {"good", tenant.counts.good},
              {"goodput", rounded(tenant.counts.goodput())},
              {"engine_seconds", rounded(tenant.engine_seconds)}};
}

}  // namespace

double sorted_quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

Json to_json(const RunResult& result, bool details) {
  Json json{{"offered", result.model.offered},
            {"answered", result.model.answered},
            {"good", result.model.good},
            {"goodput", rounded(result.model.goodput())},
            {"goodput_per_second", rounded(static_cast<double>(result.model.good) /
                                           std::max(1e-9, result.duration_seconds))},
            {"role_changes", result.role_changes},
            {"ttft_p50_s", rounded(sorted_quantile(result.first_token_seconds, 0.5))},
            {"ttft_p95_s", rounded(sorted_quantile(result.first_token_seconds, 0.95))},
            {"itl_p95_s", rounded(to_seconds(result.gaps.quantile(0.95)))},
            {"not_run", result.model.not_run + result.ordinary.not_run},
            {"unknown", result.model.unknown + result.ordinary.unknown},
            {"doubled", result.doubled},
            {"cut", result.model.cut},
            {"late_first_token", result.model.late_first_token},
            {"late_between_tokens", result.model.late_between_tokens},
            {"engine_busy_fraction", rounded(result.engine_busy_fraction)},
            {"cached_prompt_fraction", rounded(result.cached_prompt_fraction)},
            {"sends_offered", result.ordinary.offered},
            {"sends_good", result.ordinary.good}};
  if (!details) {
    return json;
  }
  json["timeline"] = Json::array();
  for (const TimelineSlice& slice : result.timeline) {
    json["timeline"].push_back(to_json(slice));
  }
  json["tenants"] = Json::array();
  for (const TenantResult& tenant : result.tenants) {
    json["tenants"].push_back(to_json(tenant));
  }
  json["ttft_quantiles_s"] = Json::array();
  json["itl_quantiles_s"] = Json::array();
  for (int i = 1; i <= kDistributionPoints; ++i) {
    const double fraction = static_cast<double>(i) / kDistributionPoints;
    json["ttft_quantiles_s"].push_back(
        rounded(sorted_quantile(result.first_token_seconds, fraction)));
    json["itl_quantiles_s"].push_back(rounded(to_seconds(result.gaps.quantile(fraction))));
  }
  return json;
}

}  // namespace ochrespring::emulator
