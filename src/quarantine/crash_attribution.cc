#include "quarantine/crash_attribution.h"

#include <algorithm>
#include <utility>

namespace ochrespring::quarantine {

namespace {

using BackendIds = std::set<gateway::BackendId>;

/// Which of a part's terminations still count depends on when it was last answered, so parts that
/// were answered lately are not ordered by it.
bool is_stronger(const PartSuspect& left, const PartSuspect& right) {
  const auto strength = [](const PartSuspect& suspect) {
    return suspect.answered_lately ? 0 : suspect.terminations.size();
  };
  return strength(left) > strength(right);
}

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
    std::vector<PartSuspect> suspects, const std::vector<RequestTerminations>& quarantined_requests,
    const AttributionOptions& options) {
  std::erase_if(suspects, [&](const PartSuspect& suspect) {
    return std::any_of(
        quarantined_requests.begin(), quarantined_requests.end(),
        [&](const RequestTerminations& request) { return is_explained_by(suspect, request); });
  });
  std::sort(suspects.begin(), suspects.end(), is_stronger);
  std::set<gateway::RequestFingerprint> causes;
  BackendIds explained;
  for (auto group = suspects.begin(); group != suspects.end();) {
    const auto group_end = std::find_if(
        group, suspects.end(), [&](const auto& suspect) { return is_stronger(*group, suspect); });
    BackendIds newly_explained;
    for (; group != group_end; ++group) {
      if (is_cause(*group, explained, options)) {
        causes.insert(group->part);
        for (const auto& [backend, at] : group->terminations) {
          newly_explained.insert(backend);
        }
      }
    }
    explained.merge(newly_explained);
  }
  return causes;
}

}  // namespace ochrespring::quarantine
