#include "discovery/view_writer.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "wire/codec.h"

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";

}  // namespace

void ViewWriter::take_listing(const shared_store::Listing& listing) {
  if (seen_ && listing.revision < *seen_) {
    // Another node's newer view came while the store was being read.
    return;
  }
  const StoreLayout& layout = codec_.layout();
  std::vector<gateway::Backend> backends;
  std::vector<NodeRecord> nodes;
  listed_through_ = listing.revision;
  for (const shared_store::Change& item : listing.items) {
    listed_through_ = std::max(listed_through_, item.revision);
    if (item.key == layout.configuration_key) {
      take_configuration(*item.value);
    } else if (item.key.starts_with(layout.backend_prefix)) {
      if (auto backend = read_backend(item)) {
        backends.push_back(std::move(*backend));
      }
    } else if (item.key.starts_with(layout.node_prefix)) {
      if (auto node = read_node(item)) {
        nodes.push_back(std::move(*node));
      }
    } else if (other_key_) {
      other_key_(item.key, item.value);
    }
  }
  fleet_.replace(std::move(backends));
  fingerprint_.reset();
  nodes_.replace(nodes);
  seen_ = listing.revision;
  log_.restart(listing.revision);
}

void ViewWriter::take_changes(const shared_store::Changes& changes) {
  const shared_store::StoreRevision known = *seen_;
  for (const shared_store::Change& change : changes.changes) {
    if (change.revision > known) {
      take_stored(change);
      seen_ = std::max(*seen_, change.revision);
    }
  }
  log_.advance(*seen_);
}

std::vector<ViewUpdate> ViewWriter::make_updates(Duration age) {
  std::vector<ViewUpdate> updates = log_.make_updates(clock_.now(), age);
  updates.back().fingerprint = fingerprint();
  log_.note_told(updates.back().through);
  return updates;
}

/// The same on all nodes that see the same back ends, in whatever order they learnt of them.
std::uint64_t ViewWriter::fingerprint() {
  if (fingerprint_) {
    return *fingerprint_;
  }
  std::uint64_t sum = 0;
  for (const auto& [id, backend] : fleet_.backends()) {
    sum += stable_hash(wire::encode(backend));
  }
  fingerprint_ = sum;
  return sum;
}

UpdateOutcome ViewWriter::take_update(const ViewUpdate& update) {
  if (!seen_ || update.after > *seen_) {
    return UpdateOutcome::kPassed;
  }
  const shared_store::StoreRevision known = *seen_;
  for (const ViewChange& change : update.changes) {
    std::visit(
        [&](const auto& alternative) {
          if (alternative.revision > known) {
            take(alternative);
          }
        },
        change);
  }
  seen_ = std::max(known, update.through);
  log_.advance(*seen_);
  if (update.is_last()) {
    log_.note_told(update.through);
  }
  const bool comparable = update.is_last() && *seen_ == update.through && *seen_ >= listed_through_;
  return comparable && *update.fingerprint != fingerprint() ? UpdateOutcome::kDiffers
                                                            : UpdateOutcome::kTaken;
}

void ViewWriter::take_stored(const shared_store::Change& change) {
  const StoreLayout& layout = codec_.layout();
  if (change.key == layout.configuration_key && change.value) {
    take_configuration(*change.value);
    log_.note_untold(change.revision);
  } else if (change.key.starts_with(layout.backend_prefix)) {
    const gateway::BackendId id(change.key.substr(layout.backend_prefix.size()));
    auto backend = change.value ? read_backend(change) : std::nullopt;
    if (backend || !change.value) {
      take(BackendChange{change.revision, id, std::move(backend)});
    }
  } else if (change.key.starts_with(layout.node_prefix)) {
    const NodeId id(change.key.substr(layout.node_prefix.size()));
    auto node = change.value ? read_node(change) : std::nullopt;
    if (node || !change.value) {
      take(NodeChange{change.revision, id, std::move(node)});
    }
  } else if (other_key_) {
    other_key_(change.key, change.value);
  }
}

void ViewWriter::take(BackendChange change) {
  const bool changed = change.backend ? fleet_.put(*change.backend) : fleet_.remove(change.id);
  if (!changed) {
    return;
  }
  fingerprint_.reset();
  logger_.write({logging::Level::kInfo,
                 kComponent,
                 change.backend ? "back end changed" : "back end gone",
                 {{"backend", change.id.value()},
                  {"draining", change.backend && change.backend->draining},
                  {"revision", change.revision.value()}}});
  log_.note(std::move(change), clock_.now());
}

void ViewWriter::take(NodeChange change) {
  if (change.record) {
    nodes_.put(*change.record);
  } else {
    nodes_.remove(change.id);
  }
  log_.note(std::move(change), clock_.now());
}

std::optional<ViewSnapshot> ViewWriter::make_snapshot() const {
  if (!seen_ || configuration_.empty() || !fleet_.current_at()) {
    return std::nullopt;
  }
  ViewSnapshot snapshot;
  snapshot.through = *seen_;
  snapshot.age = clock_.now() - *fleet_.current_at();
  snapshot.configuration = configuration_;
  for (const auto& [id, backend] : fleet_.backends()) {
    snapshot.backends.push_back(backend);
  }
  snapshot.nodes = nodes_.list();
  return snapshot;
}

bool ViewWriter::take_snapshot(const ViewSnapshot& snapshot) {
  if (seen_ && snapshot.through <= *seen_) {
    return false;
  }
  const bool known = snapshot.configuration == configuration_;
  if (!known && !take_configuration(snapshot.configuration)) {
    return false;
  }
  fleet_.replace(snapshot.backends);
  fingerprint_.reset();
  nodes_.replace(snapshot.nodes);
  seen_ = snapshot.through;
  log_.restart(snapshot.through);
  return true;
}

/// Returns whether the document was understood.
bool ViewWriter::take_configuration(const std::string& value) {
  auto configuration = codec_.read_configuration(value);
  if (!configuration) {
    reject(codec_.layout().configuration_key, configuration.error().message);
    return false;
  }
  const std::uint64_t version = configuration.value().version.value();
  if (fleet_.apply(std::move(configuration.value()))) {
    configuration_ = value;
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "configuration in force",
                   {{"configuration", version}}});
  }
  return true;
}

std::optional<gateway::Backend> ViewWriter::read_backend(const shared_store::Change& change) {
  const std::string id = change.key.substr(codec_.layout().backend_prefix.size());
  auto backend = codec_.read_backend(id, *change.value);
  if (!backend) {
    reject(change.key, backend.error().message);
    return std::nullopt;
  }
  return std::move(backend.value());
}

std::optional<NodeRecord> ViewWriter::read_node(const shared_store::Change& change) {
  auto node = wire::decode<NodeRecord>(*change.value);
  if (!node) {
    reject(change.key, node.error().message);
    return std::nullopt;
  }
  return std::move(node.value());
}

void ViewWriter::reject(const std::string& key, const std::string& reason) {
  ++rejected_values_;
  logger_.write({logging::Level::kError,
                 kComponent,
                 "value of the store not understood",
                 {{"key", key}, {"reason", reason}}});
}

}  // namespace ochrespring::discovery
