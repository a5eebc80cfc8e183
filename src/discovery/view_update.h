// Messages that nodes broadcast about the fleet after a poll of the store.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/time.h"
#include "discovery/node_record.h"
#include "gateway/types.h"
#include "shared_store/history_span.h"
#include "shared_store/store.h"
#include "shared_store/store_position.h"

namespace ochrespring::discovery {

/// The state of a back end in the store since `revision`; nullopt if it was removed.
struct BackendChange {
  shared_store::StoreRevision revision;
  gateway::BackendId id;
  std::optional<gateway::Backend> backend;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision;
    archive& id;
    archive& backend;
  }
};

/// The registration of a node in the store since `revision`; nullopt if it was removed.
struct NodeChange {
  shared_store::StoreRevision revision;
  NodeId id;
  std::optional<NodeRecord> record;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision;
    archive& id;
    archive& record;
  }
};

using ViewChange = std::variant<BackendChange, NodeChange>;

inline shared_store::StoreRevision revision_of(const ViewChange& change) {
  return std::visit([](const auto& alternative) { return alternative.revision; }, change);
}

/// All changes in (`after`, `through`] except heartbeats. A node that has seen the store up to
/// `after` or later has seen it up to `through` once it has applied the update. Changes that exceed
/// one datagram are split into several updates, each of which starts where the previous one ends.
struct ViewUpdate {
  shared_store::StoreRevision after;
  shared_store::StoreRevision through;
  Duration age{};  ///< Time from the start of the poll until the update was sent.
  /// Of all back ends at `through`; nullopt if more updates follow.
  std::optional<std::uint64_t> fingerprint;
  /// Where a node that has not seen `after` can fetch the complete view up to `through`; empty if
  /// nowhere. Filled in by the sender.
  Endpoint view_address;
  std::vector<ViewChange> changes;

  /// Returns whether this is the last update of its poll.
  bool is_last() const { return fingerprint.has_value(); }

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& after;
    archive& through;
    archive& age;
    archive& fingerprint;
    archive& view_address;
    archive& changes;
  }
};

/// The change at which a poll's updates end. With it, the next poll of a node that has seen the
/// store up to there detects whether the store has begun a new era since.
struct PositionReport {
  shared_store::StorePosition position;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& position;
  }
};

/// Digest of all changes between two polls of a node. With it, a node that has seen these changes
/// detects after an outage whether the store has lost any of them.
struct HistoryReport {
  shared_store::HistorySpan span;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& span;
  }
};

}  // namespace ochrespring::discovery
