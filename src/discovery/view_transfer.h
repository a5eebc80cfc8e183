// What one node hands another over a stream: its whole view, or what has changed in it.
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

/// All that changed in the store in (`after`, `through`]. Some KB, where a snapshot of a large
/// fleet has some 100 KB even when it is compressed.
struct ViewDelta {
  shared_store::StoreRevision after;
  shared_store::StoreRevision through;
  Duration age{};                            ///< As of a snapshot.
  std::optional<std::string> configuration;  ///< The document, if it has changed.
  std::vector<ViewChange> changes;           ///< In the order of their revisions.
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

/// Since its holder last knew it to be the store's.
inline Duration age_of(const ViewTransfer& transfer) {
  return std::visit([](const auto& told) { return told.age; }, transfer);
}

}  // namespace ochrespring::discovery
