// What nodes tell each other of back ends' rate limits.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/send_gate.h"
#include "gateway/types.h"

namespace ochrespring::rate_limit {

/// What a back end says of a limit in the whole head of an answer.
struct RateAnswer {
  gateway::BackendId backend;
  MonotonicTime sent{};  ///< When its request was.
  gateway::RateStatement statement;
};

/// What is known of one life of a back end: a limit, or that one has ended. Of two the one of the
/// higher version is the newer, whoever tells it and in whatever order they come.
struct LimitReport {
  gateway::BackendId backend;
  bool limited = false;
  gateway::RequestRate rate;  ///< Where there is a limit.
  std::uint64_t version = 0;  ///< Raised by each node that hears something else from the back end.

  /// What the back end says, whoever heard it.
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

/// Asks the coordinator of a limited back end for leave to send one request there.
struct PermitRequest {
  NodeId node;
  Endpoint reply_to;
  std::uint64_t sequence = 0;  ///< Names the request; not used again by any life of the node.
  gateway::SendRank rank = 0;
  LimitReport known;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& reply_to;
    archive& sequence;
    archive& rank;
    archive& known;
  }
};

struct PermitReply {
  NodeId node;  ///< The coordinator.
  std::uint64_t sequence = 0;
  bool granted = false;
  Duration wait{};  ///< If not: when to ask again.
  LimitReport known;

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
