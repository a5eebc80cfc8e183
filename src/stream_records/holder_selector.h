// Selects the nodes that hold the record of a stream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"
#include "discovery/node_directory.h"
#include "gateway/stream_registry.h"

namespace ochrespring::stream_records {

/// Ranks the other nodes for each stream by rendezvous hash, alternating between zones, so that the
/// first ones are in different zones and nodes that know about the same fleet select about the same
/// ones. Nodes whose registration was removed recently are included: a node that has terminated is
/// ranked as when the record was sent, and one that has lost only the store still holds records.
/// Used on one event loop.
class HolderSelector {
 public:
  HolderSelector(const Clock& clock, const discovery::NodeDirectory& nodes)
      : clock_(clock), nodes_(nodes) {}

  /// Returns up to `count` nodes in the order of their rank.
  std::vector<const discovery::NodeRecord*> select(const gateway::StreamKey& stream,
                                                   std::size_t count);

 private:
  struct Candidate {
    discovery::NodeRecord record;
    std::uint64_t hash = 0;
    std::size_t zone = 0;  ///< Index of its zone.
  };

  void update();

  const Clock& clock_;
  const discovery::NodeDirectory& nodes_;
  std::vector<Candidate> candidates_;
  std::size_t zones_ = 0;
  std::uint64_t version_ = 0;  ///< Version of the directory at the last update.
  MonotonicTime updated_{};
};

}  // namespace ochrespring::stream_records
