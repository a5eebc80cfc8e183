// Runs as the sweep command writes them, read back for tables and charts.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/result.h"

namespace ochrespring::report {

enum class ReportErrc : std::uint8_t { kMalformed };
using ReportError = LayerError<ReportErrc>;

/// One slice of a run's timeline.
struct TimelinePoint {
  double at = 0;
  double offered = 0;
  double good = 0;
  double prefill_engines = 0;
  double decode_engines = 0;
  double mixed_engines = 0;
};

/// One run; details are empty unless the sweep was asked for them.
struct RunRecord {
  std::string workload;
  std::string faults;
  std::string policy;
  std::string settings;
  std::uint64_t seed = 0;
  double goodput = 0;
  double goodput_per_second = 0;
  double role_changes = 0;
  double first_token_p95 = 0;
  double between_tokens_p95 = 0;
  double not_run = 0;
  double cut = 0;
  std::vector<TimelinePoint> timeline;
  std::vector<double> first_token_quantiles;
  std::vector<double> between_token_quantiles;
};

/// Reads JSON lines; an error names the line.
Result<std::vector<RunRecord>, ReportError> read_runs(std::istream& in);

}  // namespace ochrespring::report
