// What nodes tell each other of the speed of engines.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::engine_profiles {

/// Undisturbed time per token, and how many new samples speak for it; 0 samples: nothing is told.
struct ToldSpeed {
  Duration token{};
  std::uint32_t samples = 0;

  bool operator==(const ToldSpeed&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& token;
    archive& samples;
  }
};

/// One engine as one node knows it.
struct EngineNews {
  gateway::BackendId engine;
  ToldSpeed output{};
  ToldSpeed prompt{};
  std::uint32_t long_streams = 0;  ///< Of the node's own callers, now.

  bool operator==(const EngineNews&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine;
    archive& output;
    archive& prompt;
    archive& long_streams;
  }
};

/// One datagram. Values are absolute: what is lost is replaced by the next one.
struct ProfileNews {
  NodeId node;
  std::uint64_t life = 0;      ///< Drawn at the sender's start.
  std::uint64_t sequence = 0;  ///< Rises within one life.
  std::vector<EngineNews> engines;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& life;
    archive& sequence;
    archive& engines;
  }
};

/// News of several nodes, from a relay.
struct RelayedProfileNews {
  std::vector<ProfileNews> news;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& news;
  }
};

}  // namespace ochrespring::engine_profiles
