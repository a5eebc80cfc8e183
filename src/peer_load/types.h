// Messages between nodes about their work at engines.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/types.h"

namespace ochrespring::peer_load {

/// The current work of one node at one engine. Values are absolute, so that the next report makes
/// up for a lost one.
struct EngineWork {
  gateway::BackendId engine;
  std::uint32_t requests = 0;
  std::uint64_t pending_prefill_tokens = 0;  ///< Input tokens that are not prefilled yet.
  /// Attempts that ended since the last report, without those that say nothing about the health of
  /// the engine, such as attempts that it refused or that the caller abandoned.
  std::uint32_t ended_attempts = 0;
  std::uint32_t failed_attempts = 0;  ///< Those of `ended_attempts` that failed.
  bool unresponsive = false;          ///< The engine has just been unresponsive to this node.
  /// Keys of shared prompt parts that the engine has prefilled since the last report or, in a reply
  /// to PartsRequest, is assumed to have cached.
  std::vector<std::uint64_t> prefilled_parts;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine;
    archive& requests;
    archive& pending_prefill_tokens;
    archive& ended_attempts;
    archive& failed_attempts;
    archive& unresponsive;
    archive& prefilled_parts;
  }
};

/// Sent by a node that has just started, to ask which prompt parts engines are assumed to have
/// cached. The reply consists of work reports.
struct PartsRequest {
  Endpoint reply_to;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reply_to;
  }
};

/// One datagram with a node's own work or, from a relay, sums over all nodes.
struct WorkReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at random when the sender starts.
  std::uint64_t sequence = 0;     ///< Increases within one incarnation.
  std::vector<EngineWork> engines;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& sequence;
    archive& engines;
  }
};

/// Sums over all nodes that have reported to a relay, with the attempts and prompt parts reported
/// since its last message.
struct RelayedReport {
  WorkReport sums;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sums;
  }
};

}  // namespace ochrespring::peer_load
