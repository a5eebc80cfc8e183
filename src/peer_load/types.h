// What nodes tell each other of their work at engines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/types.h"

namespace ochrespring::peer_load {

/// One node's work at one engine now; absolute, so that a lost message is mended by the next.
struct EngineWork {
  gateway::BackendId engine;
  std::uint32_t requests = 0;
  std::uint64_t pending_prefill_tokens = 0;
  std::uint32_t ended = 0;   ///< Attempts since the last report that tell of its health.
  std::uint32_t failed = 0;  ///< Of these, in failure.
  bool silent = false;       ///< It has not answered this node at all, just now.
  std::vector<std::uint64_t>
      prefilled_parts;  ///< Keys of shared prompt parts read since the last report.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine;
    archive& requests;
    archive& pending_prefill_tokens;
    archive& ended;
    archive& failed;
    archive& silent;
    archive& prefilled_parts;
  }
};

/// A node that has just started asks what the others believe engines to keep. They answer with
/// reports.
struct PartsRequest {
  Endpoint reply_to;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reply_to;
  }
};

/// One datagram: a node's own work, or, from a relay, sums over all nodes.
struct WorkReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the sender's start.
  std::uint64_t sequence = 0;     ///< Rises within one life.
  std::vector<EngineWork> engines;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& sequence;
    archive& engines;
  }
};

/// Sums over all nodes that have reported to a relay, and what else they told since its last.
struct RelayedReport {
  WorkReport sums;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sums;
  }
};

}  // namespace ochrespring::peer_load
