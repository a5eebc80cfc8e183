// The holder of the duties that only one node may have at a time.
#pragma once

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/strong_type.h"
#include "shared_store/store.h"

namespace ochrespring::duties {

/// Rises whenever the holder changes; no two holders ever share one.
using Fence = StrongNumber<struct FenceTag>;

/// What the store says of the holder, under the holder's lease.
struct HolderRecord {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the node's start.
  shared_store::LeaseId lease;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& lease;
  }
};

/// The last two nodes that held the duties; outlasts their leases.
struct HolderHistory {
  NodeId last;
  NodeId previous;  ///< Another node than `last`; empty if there was none.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& last;
    archive& previous;
  }
};

/// What is added to the store's revision to make a fence, so that fences rise on when the store has
/// come back from an older copy and its revisions are lower.
struct FenceOffset {
  shared_store::StoreEra era;  ///< The life of the store that it is meant for.
  std::uint64_t offset = 0;

  bool operator==(const FenceOffset&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& era;
    archive& offset;
  }
};

/// As it has to be in `era`, after `last`: what a later life begins with is above all that any
/// earlier one can have given out. None before the first holder of all.
FenceOffset compute_fence_offset(shared_store::StoreEra era,
                                 const std::optional<FenceOffset>& last);

}  // namespace ochrespring::duties
