// Messages between nodes on the rate limits of back ends.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/send_gate.h"
#include "gateway/types.h"

namespace ochrespring::rate_limit {

/// What the complete head of a back end's answer states about its rate limit.
struct RateAnswer {
  gateway::BackendId backend;
  MonotonicTime sent{};  ///< When the request was sent.
  gateway::RateStatement statement;
};

/// The rate limit of one incarnation of a back end, or the end of a limit. Of two reports, the one
/// with the higher version is the newer, regardless of the sender and the order of arrival.
struct LimitReport {
  gateway::BackendId backend;
  bool limited = false;
  gateway::RequestRate rate;  ///< If there is a limit.
  /// Incremented by each node that receives a different limit from the back end.
  std::uint64_t version = 0;

  /// Returns whether both state the same limit, regardless of the version.
  bool same_limit_as(const LimitReport& other) const {
    return limited == other.limited && (!limited || rate == other.rate);
  }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& backend;
    archive& limited;
    archive& rate;
    archive& version;
  }
};

/// A request for a permit for one send, sent to the coordinator of a rate-limited back end.
struct PermitRequest {
  NodeId node;
  Endpoint reply_to;
  /// Identifies the request; not reused by any incarnation of the node.
  std::uint64_t sequence = 0;
  gateway::SendRank rank = 0;
  LimitReport known;  ///< The sender's latest report on the back end.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& reply_to;
    archive& sequence;
    archive& rank;
    archive& known;
  }
};

/// The coordinator's reply to a PermitRequest.
struct PermitReply {
  NodeId node;  ///< The coordinator.
  std::uint64_t sequence = 0;
  bool granted = false;
  Duration wait{};    ///< If denied: the time until the next request.
  LimitReport known;  ///< The sender's latest report on the back end.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& sequence;
    archive& granted;
    archive& wait;
    archive& known;
  }
};

}  // namespace ochrespring::rate_limit
