// Names and records of the authority over engines: shards, electorates, leases.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::authority {

/// Drawn at random when a process starts: tells its lives apart without a disk.
using BootId = StrongNumber<struct BootIdTag>;
/// Of a zone's electorate; raised by compare-and-swap in the key-value service.
using Generation = StrongNumber<struct GenerationTag, std::uint32_t>;

/// A group of engines of one zone under one lease.
struct ShardKey {
  ZoneName zone;
  ShardId shard;

  auto operator<=>(const ShardKey&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& shard;
  }
};

/// How a zone's engines are divided; the layout of the later revision replaces the earlier one.
struct ShardLayout {
  Revision revision;
  std::uint32_t shards = 1;

  bool operator==(const ShardLayout&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& shards;
  }
};

/// One life of one node that may vote.
struct VoterIdentity {
  NodeId node;
  BootId boot;
  Endpoint peer;

  bool operator==(const VoterIdentity&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& boot& peer;
  }
};

/// The nodes whose majority grants a zone's leases. Stored in the key-value service.
struct Electorate {
  ZoneName zone;
  Generation generation;
  std::vector<VoterIdentity> voters;

  std::size_t majority() const { return voters.size() / 2 + 1; }
  const VoterIdentity* find(const NodeId& node) const {
    const auto found = std::find_if(voters.begin(), voters.end(),
                                    [&](const VoterIdentity& voter) { return voter.node == node; });
    return found == voters.end() ? nullptr : &*found;
  }

  bool operator==(const Electorate&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& zone& generation& voters;
  }
};

/// A lease as a voter reports it.
struct LeaseRecord {
  ShardId shard;
  std::uint32_t shards = 1;  ///< Of the layout it was granted under.
  VoterIdentity holder;
  Epoch epoch;
  Duration remaining{};

  bool operator==(const LeaseRecord&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& shard& shards& holder& epoch& remaining;
  }
};

/// A lease this node holds now.
struct HeldLease {
  ShardKey key;
  ShardLayout layout;
  Epoch epoch;
  MonotonicTime deadline;  ///< Nothing may be ordered at or after this.
  MonotonicTime gained;    ///< When it was first granted.
};

/// Planted bugs for the tests that show that the checks can fail. All off in production.
struct AuthorityFaults {
  bool deadline_from_answer = false;    ///< Holder counts its lease from the answers.
  bool voter_ignores_lease = false;     ///< Voter grants over a live lease of another holder.
  bool restarted_voter_votes = false;   ///< Voter votes in a later life than the listed one.
  bool seal_ignored = false;            ///< Sealed voter goes on granting.
  bool activates_without_wait = false;  ///< New voter without handed-over leases votes at once.
};

/// Times of the leases; the same on all nodes of a fleet.
struct AuthoritySettings {
  Duration lease{std::chrono::seconds(5)};
  Duration renewal{std::chrono::milliseconds(1500)};
  Duration claim_timeout{std::chrono::milliseconds(400)};
  Duration tick{std::chrono::milliseconds(200)};
  Duration rank_delay{std::chrono::milliseconds(300)};  ///< Extra wait per rank of a standby.
  double drift = 0.02;                                  ///< Clock rate error allowed for.
  std::size_t largest_electorate = 5;
  std::size_t standbys = 3;  ///< Candidates per shard, best rank first.
  /// How long a voter must look dead, or the electorate too small, before it is changed.
  Duration electorate_patience{std::chrono::seconds(4)};
  AuthorityFaults faults;

  /// The holder's share of the lease: what is left after the margin for drift.
  Duration holder_lease() const {
    return lease - Duration(static_cast<Duration::rep>(static_cast<double>(lease.count()) * drift));
  }
};

/// Number of bits of an epoch below the generation.
inline constexpr unsigned kTermBits = 32;

/// Epochs of a later generation are above all of an earlier one.
constexpr Epoch make_epoch(Generation generation, std::uint32_t term) {
  return Epoch((static_cast<std::uint64_t>(generation.value()) << kTermBits) | term);
}

constexpr Generation generation_of(Epoch epoch) {
  return Generation(static_cast<std::uint32_t>(epoch.value() >> kTermBits));
}

}  // namespace ochrespring::authority
