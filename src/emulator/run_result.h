// What a run measured.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "engine_model/gap_histogram.h"

namespace ochrespring::emulator {

/// Counts of one tenant, or of all.
struct RequestCounts {
  std::uint64_t offered = 0;
  std::uint64_t answered = 0;
  std::uint64_t good = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t cut = 0;
  std::uint64_t late_first_token = 0;     ///< Answered, but the first token came too late.
  std::uint64_t late_between_tokens = 0;  ///< Answered in time, but with gaps too long.

  /// Good over offered; 1 when nothing was offered.
  double goodput() const {
    return offered == 0 ? 1 : static_cast<double>(good) / static_cast<double>(offered);
  }
};

/// Fleet and requests over one slice of the run.
struct TimelineSlice {
  double at_seconds = 0;
  std::uint64_t offered = 0;  ///< Model requests that arrived in the slice.
  std::uint64_t good = 0;     ///< Of those, answered within their limits.
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  std::uint32_t mixed_engines = 0;
  std::uint32_t out_of_service = 0;
  double prompt_tokens = 0;  ///< Offered in the slice.
  double output_tokens = 0;
};

struct TenantResult {
  TenantName tenant;
  RequestCounts counts;
  double engine_seconds = 0;  ///< Work of its good answers, by the cost model.
};

/// Figures of one run. Requests of the model service and sends to the ordinary service are counted
/// apart: sends are cheap and would hide what happens to the others.
struct RunResult {
  RequestCounts model;
  RequestCounts ordinary;
  std::uint64_t doubled = 0;  ///< Sends that ran more than once, by the back ends' own counts.
  std::uint32_t role_changes = 0;
  double duration_seconds = 0;
  std::vector<double> first_token_seconds;  ///< Of answered model requests, sorted.
  engine_model::GapHistogram gaps;
  double engine_busy_fraction = 0;
  double cached_prompt_fraction = 0;  ///< Prompt tokens found in prefix caches.
  std::vector<TimelineSlice> timeline;
  std::vector<TenantResult> tenants;
};

/// Quantile of sorted values by nearest rank; 0 when empty.
double sorted_quantile(const std::vector<double>& sorted, double fraction);

/// The figures as one JSON object with a fixed order of fields; the timeline, tenants and the
/// distribution of first-token times only if `details`.
nlohmann::ordered_json to_json(const RunResult& result, bool details);

}  // namespace ochrespring::emulator
