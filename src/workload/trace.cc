#include "workload/trace.h"

#include <algorithm>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>

#include "base/hash.h"
#include "engine/types.h"

namespace ochrespring::workload {
namespace {

using Json = nlohmann::ordered_json;

Json to_json(const TraceRequest& request) {
  return Json{{"id", request.id},
              {"arrival_ns", request.arrival.count()},
              {"class", request.class_name},
              {"tenant", request.tenant.value()},
              {"service", request.service.value()},
              {"model", request.model.value()},
              {"priority", request.priority},
              {"prompt_tokens", request.prompt_tokens},
              {"output_tokens", request.output_tokens},
              {"shared_prefix_tokens", request.shared_prefix_tokens},
              {"shared_prefix_seed", request.shared_prefix_seed},
              {"content_seed", request.content_seed},
              {"session", request.session}};
}

TraceRequest from_json(const Json& json) {
  TraceRequest request;
  request.id = json.at("id");
  request.arrival = Duration(json.at("arrival_ns").get<std::int64_t>());
  request.class_name = json.at("class");
  request.tenant = TenantName(json.at("tenant"));
  request.service = ServiceName(json.at("service"));
  request.model = ModelName(json.at("model"));
  request.priority = json.at("priority");
  request.prompt_tokens = json.at("prompt_tokens");
  request.output_tokens = json.at("output_tokens");
  request.shared_prefix_tokens = json.at("shared_prefix_tokens");
  request.shared_prefix_seed = json.at("shared_prefix_seed");
  request.content_seed = json.at("content_seed");
  request.session = json.at("session");
  return request;
}

}  // namespace

std::vector<std::uint64_t> prompt_blocks(const TraceRequest& request) {
  std::vector<std::uint64_t> blocks;
  const std::uint32_t count = request.prompt_tokens / engine::kTokensPerBlock;
  blocks.reserve(count);
  std::uint64_t chained = stable_hash(request.model.value());
  for (std::uint32_t i = 0; i < count; ++i) {
    const bool shared = (i + 1) * engine::kTokensPerBlock <= request.shared_prefix_tokens;
    const std::uint64_t seed = shared ? request.shared_prefix_seed : request.content_seed;
    chained = combine_hashes(chained, combine_hashes(seed, i));
    blocks.push_back(chained);
  }
  return blocks;
}

void write_trace(const Trace& trace, std::ostream& out) {
  for (const TraceRequest& request : trace) {
    out << to_json(request).dump() << '\n';
  }
}

Result<Trace, WorkloadError> read_trace(std::istream& in) {
  Trace trace;
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    if (line.empty()) {
      continue;
    }
    try {
      trace.push_back(from_json(Json::parse(line)));
    } catch (const Json::exception& error) {
      return fail(WorkloadErrc::kMalformed,
                  "line " + std::to_string(number) + ": " + std::string(error.what()));
    }
    if (trace.back().arrival < Duration::zero()) {
      return fail(WorkloadErrc::kInvalid,
                  "line " + std::to_string(number) + ": arrival_ns is negative");
    }
  }
  std::stable_sort(trace.begin(), trace.end(),
                   [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
  return trace;
}

}  // namespace ochrespring::workload
