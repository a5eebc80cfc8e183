// The roster: which processes hold the claims of each partition of the key space. Kept under
// compare-and-swap in the key-value service and spread between nodes; a later revision replaces an
// earlier one. See docs/design/attempt-ledger.md.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "ledger/attempt_ledger.h"
#include "membership/member_view.h"

namespace ochrespring::ledger {

using PartitionId = StrongNumber<struct PartitionIdTag, std::uint32_t>;
/// Of one partition's replica set; raised by one on every change of the set.
using Generation = StrongNumber<struct GenerationTag>;
/// Drawn at random when a process starts: a restarted process is another replica.
using BootId = StrongNumber<struct BootIdTag>;
using RosterRevision = StrongNumber<struct RosterRevisionTag>;

/// One process that may hold claims.
struct Replica {
  NodeId node;
  BootId boot;
  Endpoint endpoint;

  bool operator==(const Replica&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node& boot& endpoint;
  }
};

/// How the replicas of a generation come by their claims.
enum class FillMode : std::uint8_t {
  kEmpty,          ///< First generation ever: there is nothing to know.
  kFromPrevious,   ///< Read from a majority of the previous generation, which that seals.
  kWaitOutWindow,  ///< The previous majority is lost: vote only once every claim it held has
                   ///< lapsed.
};

/// Replica set of one partition.
struct Assignment {
  Generation generation;
  RosterRevision changed;  ///< Roster revision that brought this generation.
  FillMode fill = FillMode::kEmpty;
  std::vector<Replica> replicas;
  std::vector<Replica> previous;  ///< Of the generation before; read by kFromPrevious.

  bool operator==(const Assignment&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& generation& changed& fill& replicas& previous;
  }
};

struct Roster {
  RosterRevision revision;
  std::vector<Assignment> partitions;  ///< Indexed by PartitionId; the number never changes.

  bool operator==(const Roster&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& partitions;
  }
};

/// Number of replicas that make a majority of `replicas`.
std::size_t majority_of(std::size_t replicas);

/// Partition that holds a key.
PartitionId partition_of(const ClaimKey& key, std::size_t partitions);

/// Nodes that should hold a partition, best first: by rendezvous hashing, in one region while it
/// has enough nodes, each in a zone of its own while there are enough zones.
std::vector<membership::Member> rank_candidates(PartitionId partition,
                                                const std::vector<membership::Member>& members);

}  // namespace ochrespring::ledger
