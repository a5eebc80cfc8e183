// A node's whole view of the fleet, for a node that has none while the store is out.
#pragma once

#include <string>
#include <vector>

#include "base/time.h"
#include "discovery/node_record.h"
#include "gateway/types.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

/// The store as it was at `through`.
struct ViewSnapshot {
  shared_store::StoreRevision through;
  Duration age{};             ///< Since the view was last known to be the store's.
  std::string configuration;  ///< The document as the store holds it.
  std::vector<gateway::Backend> backends;
  std::vector<NodeRecord> nodes;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& through;
    archive& age;
    archive& configuration;
    archive& backends;
    archive& nodes;
  }
};

}  // namespace ochrespring::discovery
