// What nodes tell each other of the fleet after a look at the store.
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

/// A back end as the store has it since `revision`; none: it has gone.
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

/// A node's registration as the store has it since `revision`; none: it has gone.
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

/// All that changed in the store in (`after`, `through`], heartbeats left out. Whoever has seen the
/// store up to `after` or beyond has seen it up to `through` with it. What is too much for one
/// datagram goes out in several updates, each of which goes on where the one before ends.
struct ViewUpdate {
  shared_store::StoreRevision after;
  shared_store::StoreRevision through;
  Duration age{};  ///< Since the look began, when the update was sent.
  /// Of all back ends at `through`; none where more updates follow.
  std::optional<std::uint64_t> fingerprint;
  /// Where a node that cannot join the update gets the whole view up to `through`; empty: nowhere.
  /// Filled in by whoever sends it.
  Endpoint view_address;
  std::vector<ViewChange> changes;

  /// Whether no further update of the same look follows.
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

/// What stands where a look's updates end: whoever has seen the store up to there can find out with
/// its own next look whether the store has begun another life since.
struct PositionReport {
  shared_store::StorePosition position;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& position;
  }
};

/// All that changed in the store between two looks of a node, by its digest: whoever has seen it
/// can find out after an outage whether the store has lost any of it.
struct HistoryReport {
  shared_store::HistorySpan span;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& span;
  }
};

}  // namespace ochrespring::discovery
