// Checks on the configuration in force.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "oracle/observation.h"
#include "oracle/reporter.h"
#include "oracle/settings.h"

namespace ochrespring::oracle {

/// An accepted configuration is in force everywhere within the bound, never reverts, and every
/// accepted mutation is in it for good.
class ConfigurationChecks {
 public:
  ConfigurationChecks(const OracleSettings& settings, Reporter& reporter)
      : settings_(settings), reporter_(reporter) {}

  void on(const NodeStarted& start);
  void on(const NodeStopped& stop);
  void on(const NodeReachable& change);
  void on(const RevisionInForce& sample);
  void on(const MutationAccepted& accepted);
  void on(const Quiescent& end);

 private:
  struct NodeState {
    bool running = false;
    std::optional<MonotonicTime> reachable_since;
    Incarnation incarnation;
    std::optional<RevisionInForce> latest;
  };
  struct Accepted {
    MutationAccepted mutation;
    MonotonicTime at;
  };

  void check_monotonic(const NodeState& node, const RevisionInForce& sample);
  void check_in_time(const NodeState& node, const RevisionInForce& sample);
  void check_same_content(const RevisionInForce& sample);
  void check_contains(const RevisionInForce& sample, const Accepted& accepted);

  OracleSettings settings_;
  Reporter& reporter_;
  std::map<NodeId, NodeState> nodes_;
  std::map<Revision, std::uint64_t> content_;
  std::vector<Accepted> accepted_;  ///< In the order of acceptance.
};

}  // namespace ochrespring::oracle
