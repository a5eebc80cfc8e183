#include "proxy/demand_tracker.h"

namespace ochrespring::proxy {

void DemandTracker::on_request(const ParsedRequest& request) {
  if (request.route.model.empty()) {
    return;
  }
  Counts& counts = counts_[request.route.model];
  ++counts.requests;
  counts.prefill_tokens += request.route.prompt_tokens;
  counts.decode_tokens += request.route.expected_output_tokens;
}

std::vector<planner::DemandSample> DemandTracker::take(
    MonotonicTime now, const std::function<std::size_t(const ModelName&)>& waiting) {
  std::vector<planner::DemandSample> samples;
  const double seconds = to_seconds(now - since_);
  if (seconds <= 0) {
    return samples;
  }
  since_ = now;
  for (auto entry = counts_.begin(); entry != counts_.end();) {
    const auto& [model, counts] = *entry;
    planner::DemandSample sample;
    sample.model = model;
    sample.taken = now;
    sample.requests_per_second = static_cast<double>(counts.requests) / seconds;
    sample.prefill_tokens_per_second = static_cast<double>(counts.prefill_tokens) / seconds;
    sample.decode_tokens_per_second = static_cast<double>(counts.decode_tokens) / seconds;
    sample.queued_requests = static_cast<double>(waiting(model));
    const bool idle = counts.requests == 0 && sample.queued_requests == 0;
    entry->second = Counts();
    samples.push_back(std::move(sample));
    entry = idle ? counts_.erase(entry) : std::next(entry);
  }
  return samples;
}

}  // namespace ochrespring::proxy
