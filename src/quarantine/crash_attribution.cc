#include "quarantine/crash_attribution.h"

#include <algorithm>

namespace ochrespring::quarantine {

namespace {

using BackendIds = std::set<gateway::BackendId>;

bool is_explained_by(const PartSuspect& suspect, const BackendIds& explained) {
  return std::all_of(
      suspect.terminations.begin(), suspect.terminations.end(),
      [&](const auto& termination) { return explained.contains(termination.first); });
}

/// Whether the terminations of the part that are not in `explained` make it their cause.
bool is_cause(const PartSuspect& suspect, const BackendIds& explained,
              const AttributionOptions& options) {
  std::vector<MonotonicTime> unexplained;
  for (const auto& [backend, at] : suspect.terminations) {
    if (!explained.contains(backend)) {
      unexplained.push_back(at);
    }
  }
  if (unexplained.size() < options.min_terminations) {
    return false;
  }
  const auto [first, last] = std::minmax_element(unexplained.begin(), unexplained.end());
  return !suspect.answered_lately || *last - *first >= options.min_span;
}

}  // namespace

std::set<gateway::RequestFingerprint> attribute_terminations(
    const std::vector<PartSuspect>& suspects,
    const std::vector<RequestTerminations>& quarantined_requests,
    const AttributionOptions& options) {
  std::set<gateway::RequestFingerprint> causes;
  BackendIds explained;
  for (const bool answered_lately : {false, true}) {
    for (const PartSuspect& suspect : suspects) {
      const bool explained_by_request = std::any_of(
          quarantined_requests.begin(), quarantined_requests.end(),
          [&](const RequestTerminations& request) { return is_explained_by(suspect, request); });
      if (suspect.answered_lately == answered_lately && !explained_by_request &&
          is_cause(suspect, answered_lately ? explained : BackendIds(), options)) {
        causes.insert(suspect.part);
      }
    }
    for (const PartSuspect& suspect : suspects) {
      for (const auto& [backend, at] : suspect.terminations) {
        if (causes.contains(suspect.part)) {
          explained.insert(backend);
        }
      }
    }
  }
  return causes;
}

}  // namespace ochrespring::quarantine
