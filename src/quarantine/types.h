// Messages between nodes, and values in the shared store, about requests during which back ends
// terminated.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::quarantine {

/// The termination of one back end while it was processing a request.
struct BackendTermination {
  gateway::BackendId backend;
  NodeId observer;  ///< The node that detected the termination.
  /// Time since the termination when the report was made. An age rather than a timestamp, because
  /// the clocks of different machines are not compared.
  Duration age{};
  /// Whether the termination no longer counts against the request, because the request was answered
  /// since or the back end turned out to be running.
  bool excused = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& backend;
    archive& observer;
    archive& age;
    archive& excused;
  }
};

/// Everything that one node knows about one request. Merging reports is commutative and
/// idempotent: nodes that have received the same reports, in any order and any number of times,
/// agree on the request's terminations (as far as a ledger keeps them) and suspicion level.
struct CrashReport {
  gateway::RequestFingerprint request;
  ServiceName service;
  std::vector<BackendTermination> terminations;  ///< At most one for each back end.
  /// Number of trials granted so far: sends to a back end while the request is quarantined.
  std::uint32_t trials = 0;
  Duration trial_age{};         ///< Time since the last trial.
  Duration last_request_age{};  ///< Time since any node last received the request.
  bool stored = false;          ///< Whether the shared store holds the request.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& request;
    archive& service;
    archive& terminations;
    archive& trials;
    archive& trial_age;
    archive& last_request_age;
    archive& stored;
  }
};

/// The crash reports sent in one datagram.
struct CrashReportBatch {
  std::vector<CrashReport> reports;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reports;
  }
};

/// Asks a node for all of its crash reports, if its ledger is complete for a longer time than that
/// of the requesting node.
struct HorizonRequest {
  Endpoint reply_to;
  Duration age{};  ///< How far back the requesting node's ledger is complete.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reply_to;
    archive& age;
  }
};

/// How far back a node's ledger is complete. Sent after the crash reports themselves.
struct HorizonReport {
  /// The ledger has all terminations of this time before the report was made.
  Duration age{};
  std::uint32_t requests = 0;  ///< Number of suspected and quarantined requests in the ledger.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& age;
    archive& requests;
  }
};

}  // namespace ochrespring::quarantine
