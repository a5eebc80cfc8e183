// Chooses the nodes through which a node connects to back ends that it cannot reach itself.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "discovery/node_directory.h"

namespace ochrespring::links {

/// Prefers nodes of the own zone, because bytes between zones are expensive, and among those a
/// random one, so that several partitioned nodes do not choose the same. A node that is unreachable
/// is left out for a moment, and one that has refused to connect to a back end, for that back end.
/// Not thread-safe; used on one event loop.
class RelayChooser {
 public:
  RelayChooser(const discovery::NodeDirectory& nodes, const Clock& clock, RandomSource& random)
      : nodes_(nodes), clock_(clock), random_(random) {}

  /// Returns the address of a node that is not in `asked`, if there is one.
  std::optional<Endpoint> choose(const Endpoint& backend, const std::set<Endpoint>& asked = {});
  /// Records that the node did not try to connect to the back end.
  void note_refused(const Endpoint& node, const Endpoint& backend) {
    failed_at_[{node, backend}] = clock_.now();
  }
  void note_unreachable(const Endpoint& node) { failed_at_[{node, Endpoint()}] = clock_.now(); }
  /// Whether this node knows other nodes, whether or not they relay.
  bool has_peers() const { return !nodes_.others().empty(); }
  /// Whether connections from this address may come from a node of the fleet. Its port is ignored.
  bool is_node(const Endpoint& address) const;

 private:
  /// A node and the back end to which it did not connect; empty if the node was unreachable.
  using Failure = std::pair<Endpoint, Endpoint>;

  bool has_failed(const Failure& failure) const;

  const discovery::NodeDirectory& nodes_;
  const Clock& clock_;
  RandomSource& random_;
  std::map<Failure, MonotonicTime> failed_at_;
};

}  // namespace ochrespring::links
