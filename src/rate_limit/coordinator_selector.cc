#include "rate_limit/coordinator_selector.h"

#include <algorithm>
#include <optional>

#include "base/hash.h"

namespace ochrespring::rate_limit {

const discovery::NodeRecord* CoordinatorSelector::select(const gateway::BackendId& backend,
                                                         MonotonicTime now) {
  Selection& selection = selections_[backend];
  if (selection.fleet_version != nodes_.version() || now >= selection.valid_until) {
    selection = compute_selection(backend, now);
  }
  return selection.coordinator ? &*selection.coordinator : nullptr;
}

CoordinatorSelector::Selection CoordinatorSelector::compute_selection(
    const gateway::BackendId& backend, MonotonicTime now) const {
  Selection best{.fleet_version = nodes_.version(),
                 .valid_until = now + discovery::NodeDirectory::kRecentlyRemovedMaxAge,
                 .coordinator = {}};
  std::optional<std::uint64_t> best_weight;
  if (!nodes_.leaving()) {
    best_weight = rendezvous_weight(backend.value(), nodes_.self().node.value());
  }
  const auto consider = [&](const discovery::NodeRecord& record) {
    const auto unresponsive = unresponsive_.find(record.node);
    if (unresponsive != unresponsive_.end() && now < unresponsive->second.skipped_until) {
      best.valid_until = std::min(best.valid_until, unresponsive->second.skipped_until);
      return;
    }
    const std::uint64_t weight = rendezvous_weight(backend.value(), record.node.value());
    if (!best_weight || weight > *best_weight) {
      best_weight = weight;
      best.coordinator = record;
    }
  };
  for (const auto& [node, record] : nodes_.others()) {
    consider(record);
  }
  for (const discovery::NodeRecord& record : nodes_.recently_removed()) {
    if (!nodes_.has_announced_leaving(record.node)) {
      consider(record);
    }
  }
  return best;
}

void CoordinatorSelector::note_unanswered(const NodeId& node, MonotonicTime now) {
  const auto [entry, is_new] = unresponsive_.try_emplace(node, Unresponsive{.since = now});
  Unresponsive& node_state = entry->second;
  if (now - node_state.since < kUnansweredTolerance || now < node_state.skipped_until) {
    return;
  }
  node_state.skipped_until = now + node_state.next_skip;
  node_state.next_skip = std::min(2 * node_state.next_skip, kMaxSkip);
  selections_.clear();
}

}  // namespace ochrespring::rate_limit
