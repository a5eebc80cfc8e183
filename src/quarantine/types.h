// What nodes tell each other, and write to the store, of requests under which backends have ended.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/request_fingerprint.h"
#include "gateway/types.h"

namespace ochrespring::quarantine {

/// One backend's termination while it had the request.
struct BackendTermination {
  gateway::BackendId backend;
  NodeId observer;
  Duration age{};  ///< When the report was made; clocks of machines are not compared.
  /// Holds nothing against the request any more: it was answered since, or the backend lives.
  bool excused = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& backend;
    archive& observer;
    archive& age;
    archive& excused;
  }
};

/// All that one node knows of one request. Reports merge: in whatever order they come, lost or
/// doubled, nodes that have heard the same know the same.
struct CrashReport {
  gateway::RequestFingerprint request;
  ServiceName service;
  std::vector<BackendTermination> terminations;  ///< Each backend once.
  std::uint32_t trials = 0;                      ///< Sends that were tried in quarantine.
  Duration trial_age{};                          ///< Since the last of them.
  Duration last_request_age{};                   ///< Since the request last came, to any node.
  bool stored = false;                           ///< The store has it.

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

/// A datagram.
struct CrashReportBatch {
  std::vector<CrashReport> reports;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reports;
  }
};

/// Asks a node for all that it knows, if that reaches farther back than what the asker knows.
struct HorizonRequest {
  Endpoint reply_to;
  Duration age{};  ///< Of the asker's horizon.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& reply_to;
    archive& age;
  }
};

/// How far back a node's ledger reaches: it has all terminations since, of this many requests.
/// PendingReport behind the reports of these.
struct HorizonReport {
  Duration age{};
  std::uint32_t requests = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& age;
    archive& requests;
  }
};

}  // namespace ochrespring::quarantine
