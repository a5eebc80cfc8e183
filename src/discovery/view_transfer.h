// Data sent from one node to another over a stream: a complete view or the changes to it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "discovery/node_record.h"
#include "discovery/view_update.h"
#include "gateway/types.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

/// The state of the store at `through`.
struct ViewSnapshot {
  shared_store::StoreRevision through;
  Duration age{};             ///< Time since the view was last known to match the store.
  std::string configuration;  ///< The document as stored.
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

/// All changes in (`after`, `through`]. Some KB, whereas a compressed snapshot of a large fleet has
/// some 100 KB.
struct ViewDelta {
  shared_store::StoreRevision after;
  shared_store::StoreRevision through;
  Duration age{};                            ///< Same meaning as in ViewSnapshot.
  std::optional<std::string> configuration;  ///< The document, if it has changed.
  std::vector<ViewChange> changes;           ///< All of them, in order of revision.
  std::uint64_t fingerprint = 0;             ///< Of all back ends at `through`.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& after;
    archive& through;
    archive& age;
    archive& configuration;
    archive& changes;
    archive& fingerprint;
  }
};

using ViewTransfer = std::variant<ViewSnapshot, ViewDelta>;

/// Returns the time since the sender last knew its view to match the store.
inline Duration age_of(const ViewTransfer& transfer) {
  return std::visit([](const auto& alternative) { return alternative.age; }, transfer);
}

}  // namespace ochrespring::discovery
