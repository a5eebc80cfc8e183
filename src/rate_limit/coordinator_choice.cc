#include "rate_limit/coordinator_choice.h"

#include <algorithm>
#include <optional>

#include "base/hash.h"

namespace ochrespring::rate_limit {

const discovery::NodeRecord* CoordinatorChoice::choose(const gateway::BackendId& backend,
                                                       MonotonicTime now) {
  Chosen& chosen = chosen_[backend];
  if (chosen.fleet_version != nodes_.version() || now >= chosen.valid_until) {
    chosen = rank(backend, now);
  }
  const auto found = nodes_.others().find(chosen.node);
  return found == nodes_.others().end() ? nullptr : &found->second;
}

CoordinatorChoice::Chosen CoordinatorChoice::rank(const gateway::BackendId& backend,
                                                  MonotonicTime now) const {
  Chosen best{.fleet_version = nodes_.version(),
              .valid_until = MonotonicTime::max(),
              .node = nodes_.self().node};
  std::optional<std::uint64_t> best_weight;
  if (!nodes_.leaving()) {
    best_weight = rendezvous_weight(backend.value(), best.node.value());
  }
  for (const auto& [node, record] : nodes_.others()) {
    const auto silent = silent_.find(node);
    if (silent != silent_.end() && now < silent->second.passed_over_until) {
      best.valid_until = std::min(best.valid_until, silent->second.passed_over_until);
      continue;
    }
    const std::uint64_t weight = rendezvous_weight(backend.value(), node.value());
    if (!best_weight || weight > *best_weight) {
      best_weight = weight;
      best.node = node;
    }
  }
  return best;
}

void CoordinatorChoice::note_unanswered(const NodeId& node, MonotonicTime now) {
  const auto [entry, is_new] = silent_.try_emplace(node, Silence{.since = now});
  Silence& silence = entry->second;
  if (now - silence.since < kSilenceBorne || now < silence.passed_over_until) {
    return;
  }
  silence.passed_over_until = now + silence.next_pass;
  silence.next_pass = std::min(2 * silence.next_pass, kMostPass);
  chosen_.clear();
}

}  // namespace ochrespring::rate_limit
