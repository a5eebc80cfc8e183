#include "membership/suspicions.h"

#include <algorithm>

namespace ochrespring::membership {

bool Suspicions::accuse(const NodeId& node, Incarnation incarnation, std::uint32_t accuser,
                        MonotonicTime now) {
  auto found = suspects_.find(node);
  if (found == suspects_.end() || found->second.incarnation < incarnation) {
    suspects_[node] = Suspect{incarnation, now, {accuser}};
    return true;
  }
  std::set<std::uint32_t>& accusers = found->second.accusers;
  if (incarnation < found->second.incarnation || accusers.size() >= settings_.accusers_needed) {
    return false;
  }
  return accusers.insert(accuser).second;
}

std::vector<NodeId> Suspicions::expired(MonotonicTime now) const {
  std::vector<NodeId> nodes;
  for (const auto& [node, suspect] : suspects_) {
    if (now - suspect.since >= time_to_refute(suspect)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

Incarnation Suspicions::incarnation(const NodeId& node) const {
  const auto found = suspects_.find(node);
  return found == suspects_.end() ? Incarnation{} : found->second.incarnation;
}

void Suspicions::postpone(Duration span) {
  for (auto& [node, suspect] : suspects_) {
    suspect.since += span;
  }
}

Duration Suspicions::time_to_refute(const Suspect& suspect) const {
  const double needed = static_cast<double>(std::max<std::size_t>(settings_.accusers_needed, 2));
  const double others = static_cast<double>(suspect.accusers.size()) - 1;
  const double progress = std::min(others / (needed - 1), 1.0);
  const double factor = settings_.lone_suspicion_factor * (1 - progress) + progress;
  return from_seconds(to_seconds(settings_.suspicion) * factor);
}

}  // namespace ochrespring::membership
