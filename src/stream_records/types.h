// Messages between nodes on the software that began streams, and what the shared store keeps of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/stream_registry.h"

namespace ochrespring::stream_records {

/// States which software began a stream. The node that began it sends this to some other nodes
/// before its caller receives the first event.
struct StreamRecord {
  gateway::StreamKey stream;
  gateway::SoftwareId software;
  Duration lifetime{};  ///< For how long the receiver keeps it.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& stream;
    archive& software;
    archive& lifetime;
  }
};

/// Asks a node for its record of a stream.
struct RecordQuery {
  Endpoint reply_to;
  std::uint64_t sequence = 0;  ///< Identifies the query; not reused by any incarnation of the node.
  gateway::StreamKey stream;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reply_to;
    archive& sequence;
    archive& stream;
  }
};

/// What a node knows of a stream.
enum class RecordState : std::uint8_t {
  kNone,
  kKnown,
  kConflicting,  ///< Records that name different software: several attempts used the same id.
};

/// The answer to a RecordQuery.
struct RecordReply {
  NodeId node;
  std::uint64_t sequence = 0;
  RecordState state = RecordState::kNone;
  gateway::SoftwareId software;  ///< If `state` is kKnown.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& sequence;
    archive& state;
    archive& software;
  }
};

/// Software that no back end of a service runs any more.
struct RemovedSoftware {
  ServiceName service;
  gateway::SoftwareId software;
  Duration ago{};  ///< Since the last back end that ran it was removed.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& service;
    archive& software;
    archive& ago;
  }
};

/// Tells a node that has just started which software back ends have had besides that in its view.
struct SoftwareHistoryReport {
  Duration complete_for{};  ///< How far back the sender knows of all back ends.
  std::vector<RemovedSoftware> removed;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& complete_for;
    archive& removed;
  }
};

/// Software that may have begun streams of a service that callers still take up.
struct StoredServiceHistory {
  /// Several are enough to show that there were several; when some are forgotten, those that did
  /// not fit take their places.
  static constexpr std::size_t kMaxSoftware = 8;

  ServiceName service;
  Duration stream_lifetime{};                 ///< Longest time for which callers take up a stream.
  std::vector<gateway::SoftwareId> software;  ///< Sorted, at most `kMaxSoftware`.

  bool operator==(const StoredServiceHistory&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& service;
    archive& stream_lifetime;
    archive& software;
  }
};

/// Entry of the shared store. Contains times as durations only: clocks of nodes are not compared.
struct StoredHistory {
  std::vector<StoredServiceHistory> services;  ///< Sorted by name.

  /// Whether the entry shows that the software may have begun streams of the service: it names the
  /// software, or as many others as fit.
  bool covers(const ServiceName& service, gateway::SoftwareId software) const;

  bool operator==(const StoredHistory&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& services;
  }
};

}  // namespace ochrespring::stream_records
