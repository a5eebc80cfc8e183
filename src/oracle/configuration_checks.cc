#include "oracle/configuration_checks.h"

#include <algorithm>
#include <string>

namespace ochrespring::oracle {

void ConfigurationChecks::on(const NodeStarted& start) {
  NodeState& node = nodes_[start.node];
  node.running = true;
  node.incarnation = start.incarnation;
  node.latest.reset();
  node.reachable_since = reporter_.now();
}

void ConfigurationChecks::on(const NodeStopped& stop) {
  NodeState& node = nodes_[stop.node];
  node.running = false;
  node.latest.reset();
  node.reachable_since.reset();
}

void ConfigurationChecks::on(const NodeReachable& change) {
  NodeState& node = nodes_[change.node];
  if (!change.reachable) {
    node.reachable_since.reset();
  } else if (!node.reachable_since) {
    node.reachable_since = reporter_.now();
  }
}

void ConfigurationChecks::on(const RevisionInForce& sample) {
  NodeState& node = nodes_[sample.node];
  reporter_.checked(Promise::kConfigurationInForce);
  check_same_content(sample);
  check_monotonic(node, sample);
  check_in_time(node, sample);
  node.latest = sample;
}

void ConfigurationChecks::check_monotonic(const NodeState& node, const RevisionInForce& sample) {
  if (node.latest && node.latest->incarnation == sample.incarnation &&
      sample.revision < node.latest->revision) {
    reporter_.violated(Promise::kConfigurationInForce,
                       sample.node.value() + " went back from revision " +
                           std::to_string(node.latest->revision.value()) + " to " +
                           std::to_string(sample.revision.value()));
  }
}

void ConfigurationChecks::check_same_content(const RevisionInForce& sample) {
  const auto known = content_.emplace(sample.revision, sample.content_hash).first;
  if (known->second != sample.content_hash) {
    reporter_.violated(Promise::kConfigurationInForce,
                       "revision " + std::to_string(sample.revision.value()) +
                           " has another content on " + sample.node.value());
  }
}

void ConfigurationChecks::check_in_time(const NodeState& node, const RevisionInForce& sample) {
  const MonotonicTime horizon = reporter_.now() - settings_.configuration_bound;
  if (!node.reachable_since || *node.reachable_since > horizon) {
    return;
  }
  for (const Accepted& accepted : accepted_) {
    if (accepted.at > horizon) {
      break;
    }
    if (sample.revision < accepted.mutation.revision) {
      reporter_.violated(Promise::kConfigurationInForce,
                         sample.node.value() + " is at revision " +
                             std::to_string(sample.revision.value()) + ", and revision " +
                             std::to_string(accepted.mutation.revision.value()) + " was accepted " +
                             std::to_string(to_seconds(reporter_.now() - accepted.at)) + " s ago");
      return;
    }
  }
}

void ConfigurationChecks::on(const MutationAccepted& accepted) {
  accepted_.push_back({accepted, reporter_.now()});
}

void ConfigurationChecks::check_contains(const RevisionInForce& sample, const Accepted& accepted) {
  if (accepted.mutation.mutation.empty()) {
    return;
  }
  if (std::ranges::find(sample.mutations, accepted.mutation.mutation) == sample.mutations.end()) {
    reporter_.violated(Promise::kConfigurationInForce,
                       "accepted mutation " + accepted.mutation.mutation.value() +
                           " is not in force on " + sample.node.value());
  }
}

void ConfigurationChecks::on(const Quiescent& /*end*/) {
  for (const auto& [id, node] : nodes_) {
    if (!node.running) {
      continue;
    }
    if (!node.latest) {
      reporter_.violated(Promise::kConfigurationInForce, id.value() + " has no configuration");
      continue;
    }
    for (const Accepted& accepted : accepted_) {
      check_contains(*node.latest, accepted);
    }
  }
}

}  // namespace ochrespring::oracle
