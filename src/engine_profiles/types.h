// What nodes tell each other of the speed of engines.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::engine_profiles {

/// Undisturbed time per token, and how many new samples speak for it; 0 samples: nothing is told.
struct ReportedSpeed {
  Duration time_per_token{};
  std::uint32_t samples = 0;

  bool operator==(const ReportedSpeed&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& time_per_token;
    archive& samples;
  }
};

/// One engine as one node knows it.
struct EngineProfileReport {
  gateway::BackendId engine;
  ReportedSpeed output{};
  ReportedSpeed prompt{};
  std::uint32_t long_streams = 0;  ///< Of the node's own callers, now.

  bool operator==(const EngineProfileReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine;
    archive& output;
    archive& prompt;
    archive& long_streams;
  }
};

/// One datagram. Values are absolute: what is lost is replaced by the next one.
struct ProfileReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the sender's start.
  std::uint64_t sequence = 0;     ///< Rises within one life.
  std::vector<EngineProfileReport> engines;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& sequence;
    archive& engines;
  }
};

/// News of several nodes, from a relay.
struct RelayedProfileReports {
  std::vector<ProfileReport> reports;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reports;
  }
};

}  // namespace ochrespring::engine_profiles
