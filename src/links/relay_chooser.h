// Chooses the nodes through which a node connects to back ends that it cannot reach itself.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "discovery/node_directory.h"

namespace ochrespring::links {

/// Prefers nodes that have relayed recently to those without a record, and these to nodes that have
/// refused recently, because most nodes may be partitioned as well. Among equals it prefers those
/// of the own zone, because bytes between zones are expensive, and takes a random one, so that
/// several partitioned nodes do not choose the same. A node that is unreachable is left out for a
/// moment, and one that has refused to connect to a back end, for that back end. Not thread-safe;
/// used on one event loop.
class RelayChooser {
 public:
  RelayChooser(const discovery::NodeDirectory& nodes, const Clock& clock, RandomSource& random)
      : nodes_(nodes), clock_(clock), random_(random) {}

  /// Returns the address of a node that is not in `asked`, if there is one.
  std::optional<Endpoint> choose(const Endpoint& backend, const std::set<Endpoint>& asked = {});
  /// Records that the node did not try to connect to the back end.
  void note_refused(const Endpoint& node, const Endpoint& backend);
  /// Records that a back end has answered through the node.
  void note_relayed(const Endpoint& node) { records_[node] = {clock_.now(), true}; }
  void note_unreachable(const Endpoint& node) { failed_at_[{node, Endpoint()}] = clock_.now(); }
  /// Whether this node knows other nodes, whether or not they relay.
  bool has_peers() const { return !nodes_.others().empty(); }
  /// Whether a node that is running and not leaving relays at this address.
  bool is_relay(const Endpoint& address) const;
  /// Whether connections from this address may come from a node of the fleet. Its port is ignored.
  bool is_node(const Endpoint& address) const;

 private:
  /// A node and the back end to which it did not connect; empty if the node was unreachable.
  using Failure = std::pair<Endpoint, Endpoint>;

  /// What the node did when it was last asked.
  struct Record {
    MonotonicTime at{};
    bool relayed = false;
  };

  bool has_failed(const Failure& failure) const;
  bool is_recent(const Record& record) const;
  /// Position in the order of preference, 0 to kRanks - 1.
  std::size_t rank(const discovery::NodeRecord& node) const;

  const discovery::NodeDirectory& nodes_;
  const Clock& clock_;
  RandomSource& random_;
  std::map<Failure, MonotonicTime> failed_at_;
  std::map<Endpoint, Record> records_;
};

}  // namespace ochrespring::links
