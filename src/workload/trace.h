// The arrivals of one run: generated from a workload under a seed, or recorded and read back.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "workload/errc.h"
#include "workload/workload.h"

namespace ochrespring::workload {

/// One arrival. The prompt is a shared prefix and then content of its own; equal seeds mean equal
/// content, so that prefixes can be found in caches.
struct TraceRequest {
  std::uint64_t id = 0;
  Duration arrival{};  ///< Since the start of the run.
  std::string class_name;
  TenantName tenant;
  ServiceName service;
  ModelName model;
  std::uint8_t priority = 1;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 1;
  std::uint32_t shared_prefix_tokens = 0;
  std::uint64_t shared_prefix_seed = 0;
  std::uint64_t content_seed = 0;
  std::string session;  ///< Empty for single requests.

  bool operator==(const TraceRequest&) const = default;
};

using Trace = std::vector<TraceRequest>;

/// Arrivals of a workload; the same seed gives the same trace on every machine.
Trace generate_trace(const Workload& workload, std::uint64_t seed);

/// Chained hashes of the full blocks of a request's prompt.
std::vector<std::uint64_t> prompt_blocks(const TraceRequest& request);

/// Writes one JSON object a line.
void write_trace(const Trace& trace, std::ostream& out);
/// Reads what write_trace wrote, sorted by arrival; an error names the line.
Result<Trace, WorkloadError> read_trace(std::istream& in);

}  // namespace ochrespring::workload
