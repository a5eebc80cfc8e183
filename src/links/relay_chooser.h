// Chooses the nodes through which a node connects to back ends that it cannot reach itself.
#pragma once

#include <map>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "discovery/node_directory.h"

namespace ochrespring::links {

/// Prefers nodes of the own zone, because bytes between zones are expensive, and among those a
/// random one, so that several partitioned nodes do not choose the same. A node that has refused is
/// left out for a moment. Not thread-safe; used on one event loop.
class RelayChooser {
 public:
  RelayChooser(const discovery::NodeDirectory& nodes, const Clock& clock, RandomSource& random)
      : nodes_(nodes), clock_(clock), random_(random) {}

  /// Returns the address of a node that is not in `asked`, if there is one.
  std::optional<Endpoint> choose(const std::set<Endpoint>& asked);
  /// Records that the node did not relay.
  void note_refused(const Endpoint& node) { refused_at_[node] = clock_.now(); }
  /// Whether this node knows other nodes, whether or not they relay.
  bool has_peers() const { return !nodes_.others().empty(); }
  /// Whether connections from this address may come from a node of the fleet. Its port is ignored.
  bool is_node(const Endpoint& address) const;

 private:
  bool has_refused(const Endpoint& node) const;

  const discovery::NodeDirectory& nodes_;
  const Clock& clock_;
  RandomSource& random_;
  std::map<Endpoint, MonotonicTime> refused_at_;
};

}  // namespace ochrespring::links
