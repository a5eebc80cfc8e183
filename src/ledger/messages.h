// Messages of the ledger between nodes, on peer::Channel::kLedger.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/time.h"
#include "ledger/attempt_ledger.h"
#include "ledger/roster.h"

namespace ochrespring::ledger {

/// Identifies one try to claim: the process that tries and its own count.
struct ClaimId {
  BootId boot;
  std::uint64_t number = 0;

  auto operator<=>(const ClaimId&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& boot& number;
  }
};

/// Where a message about one claim is meant: replicas refuse another generation than their own.
struct Address {
  PartitionId partition;
  Generation generation;

  auto operator<=>(const Address&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& partition& generation;
  }
};

struct ClaimRequest {
  Address address;
  ClaimId claim;
  ClaimKey key;
  std::uint64_t body_hash = 0;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& claim& key& body_hash;
  }
};

enum class Vote : std::uint8_t {
  kGrant,
  kHeld,       ///< Another claim holds the key.
  kOtherBody,  ///< The key is held for another request body.
  kFull,       ///< No room for another claim.
  kNotVoting,  ///< Not active in this generation.
};

struct ClaimReply {
  Address address;
  ClaimId claim;
  BootId voter;
  Vote vote = Vote::kNotVoting;
  RecordedOutcome outcome;  ///< With kHeld.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& claim& voter& vote& outcome;
  }
};

struct RecordRequest {
  Address address;
  ClaimId claim;
  ClaimKey key;
  std::uint64_t body_hash = 0;
  RecordedOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& claim& key& body_hash& outcome;
  }
};

struct RecordReply {
  Address address;
  ClaimId claim;
  BootId voter;
  bool recorded = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& claim& voter& recorded;
  }
};

struct ReleaseRequest {
  Address address;
  ClaimId claim;
  ClaimKey key;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& claim& key;
  }
};

/// One claim as replicas hand it on.
struct StoredClaim {
  ClaimKey key;
  std::optional<ClaimId>
      claim;  ///< None after a merge found two holders: nobody is granted it again.
  std::uint64_t body_hash = 0;
  Duration age{};
  RecordedOutcome outcome;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& claim& body_hash& age& outcome;
  }
};

/// Asks a replica of `address` to stop voting in that generation and to hand over its claims,
/// those after `after` in key order.
struct SealRequest {
  Address address;
  BootId replica;
  std::optional<ClaimKey> after;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& replica& after;
  }
};

struct SealReply {
  Address address;
  BootId replica;
  bool source = false;  ///< False: it never voted in that generation, or forgot.
  std::optional<ClaimKey> after;
  std::vector<StoredClaim> claims;
  bool last = false;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& address& replica& source& after& claims& last;
  }
};

struct StatusRequest {
  std::vector<PartitionId> partitions;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& partitions;
  }
};

/// Which generations this process votes in; also how a keeper learns a candidate's boot.
struct StatusReply {
  NodeId node;
  BootId boot;
  std::vector<Address> voting;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& boot& voting;
  }
};

struct RosterPull {
  template <class Archive>
  void serialize(Archive& /*archive*/, unsigned /*version*/) {}
};

/// One partition's assignment within a RosterPush.
struct AssignmentChange {
  PartitionId partition;
  Assignment assignment;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& partition& assignment;
  }
};

/// What changed in the roster between the receiver's revision and `revision`.
struct RosterPush {
  RosterRevision base;
  RosterRevision revision;
  std::uint32_t partitions = 0;
  std::vector<AssignmentChange> changes;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& base& revision& partitions& changes;
  }
};

using LedgerBody =
    std::variant<ClaimRequest, ClaimReply, RecordRequest, RecordReply, ReleaseRequest, SealRequest,
                 SealReply, StatusRequest, StatusReply, RosterPull, RosterPush>;

/// Every message carries the sender's roster revision, so that old rosters are noticed.
struct LedgerMessage {
  RosterRevision roster;
  LedgerBody body;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& roster& body;
  }
};

}  // namespace ochrespring::ledger
