// Messages between nodes on the speed of engines.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::engine_profiles {

/// The time per token without slowdowns or other work, and the number of new samples behind it; 0
/// samples: no value is reported.
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

/// What one node knows about one engine; an element of ProfileReport.
struct EngineProfileReport {
  gateway::BackendId engine;
  ReportedSpeed output{};
  ReportedSpeed prompt{};
  std::uint32_t long_streams = 0;  ///< Current number, for the sender's own callers.

  bool operator==(const EngineProfileReport&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine;
    archive& output;
    archive& prompt;
    archive& long_streams;
  }
};

/// The profiles of several engines as reported by one node in one datagram. Counts of long streams
/// are absolute, so that the next report replaces a lost one. Samples of a lost report are not sent
/// again.
struct ProfileReport {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Random, drawn when the sender starts.
  std::uint64_t sequence = 0;     ///< Increases within one incarnation.
  std::vector<EngineProfileReport> engines;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& sequence;
    archive& engines;
  }
};

/// Reports of several nodes, forwarded by a relay.
struct RelayedProfileReports {
  std::vector<ProfileReport> reports;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reports;
  }
};

}  // namespace ochrespring::engine_profiles
