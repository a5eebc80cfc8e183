// Messages of the membership protocol.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "membership/member_view.h"

namespace ochrespring::membership {

/// News of one member. Place fields are empty in a short update, which receivers that do not know
/// the member ignore.
struct MemberUpdate {
  NodeId node;
  Incarnation incarnation;
  MemberState state = MemberState::kAlive;
  std::uint32_t accuser = 0;  ///< Hash of the node that suspects it.
  Endpoint peer;              ///< Empty in a short update.
  ZoneName zone;
  RegionName region;

  bool operator==(const MemberUpdate&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& incarnation& state;
    if (state == MemberState::kSuspect) {
      archive& accuser;
    }
    archive& peer;
    if (!peer.empty()) {
      archive& zone& region;
    }
  }
};

/// Asks `target` for an Ack; another node at the same endpoint does not answer.
struct Ping {
  std::uint64_t sequence = 0;
  NodeId target;
  std::vector<MemberUpdate> updates;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& target& updates;
  }
};

struct Ack {
  std::uint64_t sequence = 0;
  std::vector<MemberUpdate> updates;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& updates;
  }
};

/// Asks the receiver to ping `target` and to pass its Ack on.
struct IndirectPing {
  std::uint64_t sequence = 0;
  NodeId target;
  Endpoint endpoint;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sequence& target& endpoint;
  }
};

/// News without a question.
struct Gossip {
  std::vector<MemberUpdate> updates;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& updates;
  }
};

/// Anti-entropy, first step: hash of the sender's whole table.
struct TableHash {
  std::uint64_t hash = 0;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& hash;
  }
};

/// Second step, and a joining node's first: hash of each bucket, so that only buckets that differ
/// are sent.
struct BucketHashes {
  MemberUpdate sender;
  std::vector<std::uint32_t> hashes;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& sender& hashes;
  }
};

/// Third step: the members of some buckets. A receiver that knows newer answers with Gossip.
struct BucketContents {
  std::vector<std::uint32_t> buckets;
  std::vector<MemberUpdate> members;
  bool answer_wanted = false;  ///< The receiver also sends what the sender lacks.
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& buckets& members& answer_wanted;
  }
};

using Message =
    std::variant<Ping, Ack, IndirectPing, Gossip, TableHash, BucketHashes, BucketContents>;

}  // namespace ochrespring::membership
