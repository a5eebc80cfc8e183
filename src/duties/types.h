// The holder of the duties that only one node may have at a time.
#pragma once

#include <cstdint>

#include "base/ids.h"
#include "base/strong_type.h"
#include "shared_store/store.h"

namespace ochrespring::duties {

/// Rises whenever the holder changes; no two holders ever share one.
using Fence = StrongNumber<struct FenceTag>;

/// What the store says of the holder, under the holder's lease.
struct HolderRecord {
  NodeId node;
  std::uint64_t life = 0;  ///< Drawn at the node's start.
  shared_store::LeaseId lease;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& life;
    archive& lease;
  }
};

/// The last two nodes that held the duties; outlasts their leases.
struct HolderHistory {
  NodeId last;
  NodeId before;  ///< Another node than `last`; empty if there was none.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& last;
    archive& before;
  }
};

}  // namespace ochrespring::duties
