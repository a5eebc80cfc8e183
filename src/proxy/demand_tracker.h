// Demand per model as one proxy loop sees it, served or not.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "planner/planner.h"
#include "proxy/request.h"

namespace ochrespring::proxy {

/// Counts since the last sample. Pure.
class DemandTracker {
 public:
  explicit DemandTracker(MonotonicTime now) : since_(now) {}

  /// A request for a model arrived.
  void on_request(const ParsedRequest& request);
  /// Rates since the last call; models without demand are reported once more with zeroes.
  std::vector<planner::DemandSample> take(
      MonotonicTime now, const std::function<std::size_t(const ModelName&)>& waiting);

 private:
  struct Counts {
    std::uint64_t requests = 0;
    std::uint64_t prefill_tokens = 0;
    std::uint64_t decode_tokens = 0;
  };

  MonotonicTime since_;
  std::map<ModelName, Counts> counts_;
};

}  // namespace ochrespring::proxy
