// Messages of the authority between nodes.
#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "authority/types.h"

namespace ochrespring::authority {

/// Asks a voter for a lease or its renewal.
struct ClaimRequest {
  ShardKey key;
  Generation generation;
  ShardLayout layout;
  VoterIdentity claimant;
  Epoch epoch;
  bool renewal = false;     ///< The claimant holds this epoch already.
  std::uint64_t round = 0;  ///< Echoed; grows with each claim or renewal.

  bool operator==(const ClaimRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& generation& layout& claimant& epoch& renewal& round;
  }
};

struct ClaimReply {
  ShardKey key;
  Generation generation;  ///< Of the voter's electorate, zero if it has none.
  NodeId voter;
  BootId boot;
  std::uint64_t round = 0;
  bool granted = false;
  Epoch highest;                      ///< Highest epoch this voter has granted in the zone.
  ShardLayout layout;                 ///< Newest layout the voter knows.
  std::optional<LeaseRecord> holder;  ///< The live lease that stands in the way.
  Duration retry_after{};             ///< When a claim may succeed at this voter.

  bool operator==(const ClaimReply&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& generation& voter& boot& round& granted& highest& layout& holder& retry_after;
  }
};

/// Gives up a lease, or a claim that failed, before it expires.
struct ReleaseNotice {
  ShardKey key;
  Generation generation;
  VoterIdentity claimant;  ///< Two nodes may have claimed one epoch, of which one holds it.
  Epoch epoch;

  bool operator==(const ReleaseNotice&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& generation& claimant& epoch;
  }
};

/// Invites the next candidate to claim a shard that was just released.
struct HandoverNotice {
  ShardKey key;
  Epoch epoch;

  bool operator==(const HandoverNotice&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& epoch;
  }
};

/// Asks a node which electorate of a zone it knows.
struct ElectorateQuery {
  ZoneName zone;

  bool operator==(const ElectorateQuery&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone;
  }
};

struct ElectorateInfo {
  ZoneName zone;
  VoterIdentity sender;
  std::optional<Electorate> electorate;
  bool sealed = false;  ///< The sender has sealed that electorate.

  bool operator==(const ElectorateInfo&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& sender& electorate& sealed;
  }
};

/// Tells a voter to grant nothing more under a generation, ahead of a new electorate.
struct SealRequest {
  ZoneName zone;
  Generation generation;

  bool operator==(const SealRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& generation;
  }
};

/// State of a voter that will grant nothing more under the generation.
struct SealReply {
  ZoneName zone;
  Generation generation;
  VoterIdentity voter;  ///< In another life than the listed one it has nothing to seal.
  bool active = false;  ///< It knew every running lease it may have to answer for.
  ShardLayout layout;
  std::vector<LeaseRecord> leases;

  bool operator==(const SealReply&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& generation& voter& active& layout& leases;
  }
};

/// Installs a new electorate at one of its voters, with the leases that are still running.
struct AdoptRequest {
  Electorate electorate;
  ShardLayout layout;
  std::vector<LeaseRecord> leases;

  bool operator==(const AdoptRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& electorate& layout& leases;
  }
};

using AuthorityMessage =
    std::variant<ClaimRequest, ClaimReply, ReleaseNotice, HandoverNotice, ElectorateQuery,
                 ElectorateInfo, SealRequest, SealReply, AdoptRequest>;

}  // namespace ochrespring::authority
