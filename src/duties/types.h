// Types that describe the current holder of the duties: the tasks that exactly one node performs
// for the fleet, such as reporting usage and ordering servers.
#pragma once

#include <cstdint>
#include <optional>

#include "base/ids.h"
#include "base/strong_type.h"
#include "shared_store/store.h"

namespace ochrespring::duties {

/// Fencing token: increases whenever the holder changes. No two holders share one.
using Fence = StrongNumber<struct FenceTag>;

/// Store entry that names the current holder. It is bound to the holder's lease.
struct HolderRecord {
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Random number drawn when the node starts.
  shared_store::LeaseId lease;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& node;
    archive& incarnation;
    archive& lease;
  }
};

/// The last two nodes that held the duties. The entry is not bound to a lease.
struct HolderHistory {
  NodeId last;
  NodeId previous;  ///< The holder before `last`; always a different node. Empty if there was none.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& last;
    archive& previous;
  }
};

/// Added to a store revision to obtain a fence. It keeps fences increasing after the store is
/// restored from an older copy, which lowers its revisions.
struct FenceOffset {
  shared_store::StoreEra era;  ///< Store era that the offset applies to.
  std::uint64_t offset = 0;

  bool operator==(const FenceOffset&) const = default;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& era;
    archive& offset;
  }
};

/// Returns the offset to use in `era`, given the last stored one. The offset of a later era is
/// above every fence that an earlier era can have issued. `last` is empty before the first holder
/// of all.
FenceOffset compute_fence_offset(shared_store::StoreEra era,
                                 const std::optional<FenceOffset>& last);

}  // namespace ochrespring::duties
