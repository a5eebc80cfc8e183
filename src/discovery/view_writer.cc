#include "discovery/view_writer.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "discovery/listing_comparison.h"
#include "wire/codec.h"

namespace ochrespring::discovery {

namespace {

constexpr std::string_view kComponent = "discovery";
/// After a new era begins, for how long a back end that was removed before and is listed again is
/// used only if there is no other. Longer than three heartbeats (1.2 s each as deployed), after
/// which the platform removes silent back ends.
constexpr Duration kRemovedBackendDoubtPeriod = std::chrono::seconds(6);

std::uint64_t hash_backend(const gateway::Backend& backend) {
  return stable_hash(wire::encode(backend));
}

}  // namespace

bool ViewWriter::apply_listing(const shared_store::Listing& listing) {
  if (!seen_revision_) {
    apply_first_listing(listing);
    return true;
  }
  const bool behind = listing.revision < *seen_revision_;
  const bool older_era = listing.revision.era() < seen_revision_->era();
  if (older_era || (behind && !change_log_.covers(listing.revision))) {
    // The changes reported by other nodes since the listing began are no longer in the log, so the
    // listing could undo them.
    return false;
  }
  note_replaced();
  const bool newer_era = enter_era(listing.revision);
  if (!behind) {
    position_ = shared_store::newest_position(listing.items);
  }
  const std::vector<ViewChange> changes = diff_listing(listing);
  apply_other_keys(listing);
  for (const ViewChange& change : changes) {
    std::visit([this](const auto& alternative) { apply_view_change(alternative); }, change);
  }
  log_added_backends();
  if (behind) {
    // The log is in order of revision, and these changes are older.
    change_log_.reset(*seen_revision_);
  } else {
    seen_revision_ = listing.revision;
    change_log_.advance(*seen_revision_);
  }
  if (newer_era) {
    // Other nodes may have seen more of the previous era than this one. The differences from this
    // node's view would not correct theirs, so they must fetch the complete view.
    change_log_.reset(max_listed_revision_);
    newer_than_listing_.clear();
  }
  valid_ = true;
  return true;
}

void ViewWriter::note_replaced() {
  if (replaced_callback_) {
    replaced_callback_();
  }
}

bool ViewWriter::enter_era(shared_store::StoreRevision revision) {
  const bool later = seen_revision_ && revision.era() > seen_revision_->era();
  if (later) {
    fleet_.distrust_removed(clock_.now() + kRemovedBackendDoubtPeriod);
  }
  return later;
}

void ViewWriter::apply_first_listing(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  std::vector<gateway::Backend> backends;
  nodes_.replace({});
  max_listed_revision_ = listing.revision;
  for (const shared_store::Change& item : listing.items) {
    max_listed_revision_ = std::max(max_listed_revision_, item.revision);
    if (item.key.starts_with(layout.backend_prefix)) {
      if (auto backend = entries_.read_backend(item)) {
        backends.push_back(std::move(*backend));
      }
    } else if (item.key.starts_with(layout.node_prefix)) {
      if (const auto node = entries_.read_node(item)) {
        nodes_.put(*node, item.revision);
      }
    }
  }
  apply_other_keys(listing);
  fleet_.replace(std::move(backends));
  fingerprint_.reset();
  seen_revision_ = listing.revision;
  position_ = shared_store::newest_position(listing.items);
  // Only the newest state of the keys on later pages is known.
  change_log_.reset(max_listed_revision_);
}

void ViewWriter::apply_other_keys(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  for (const shared_store::Change& item : listing.items) {
    if (item.key == layout.configuration_key) {
      if (apply_configuration(*item.value, item.revision)) {
        change_log_.note_configuration(std::min(item.revision, listing.revision));
      }
    } else if (!item.key.starts_with(layout.backend_prefix) &&
               !item.key.starts_with(layout.node_prefix) && other_key_callback_) {
      other_key_callback_(item.key, item.value);
    }
  }
}

std::vector<ViewChange> ViewWriter::diff_listing(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  const shared_store::StoreRevision known = *seen_revision_;
  ListingComparison comparison(listing.revision, known, change_log_);
  max_listed_revision_ = std::max(max_listed_revision_, listing.revision);
  for (const shared_store::Change& item : listing.items) {
    max_listed_revision_ = std::max(max_listed_revision_, item.revision);
    if (item.key.starts_with(layout.backend_prefix)) {
      const auto backend = entries_.read_backend(item);
      const bool differs = backend && comparison.add_backend(*backend, item.revision, fleet_);
      if (differs && item.revision > listing.revision) {
        newer_than_listing_.insert(backend->id);
      }
    } else if (item.key.starts_with(layout.node_prefix)) {
      const NodeId id(item.key.substr(layout.node_prefix.size()));
      const auto node = entries_.read_node(item);
      if (node && id == nodes_.self().node) {
        nodes_.put(*node, item.revision);
      } else {
        comparison.add_node(id, item.revision, node, nodes_);
      }
    }
  }
  return comparison.finish(fleet_, nodes_);
}

void ViewWriter::add_nodes(const std::vector<shared_store::Change>& items) {
  for (const shared_store::Change& item : items) {
    if (item.key.starts_with(codec_.layout().node_prefix)) {
      if (const auto node = entries_.read_node(item)) {
        nodes_.put(*node, item.revision);
      }
    }
  }
}

std::vector<std::string> ViewWriter::range_boundaries(std::size_t count) const {
  std::vector<std::string> keys;
  const std::size_t step = fleet_.backends().size() / std::max<std::size_t>(count, 1);
  if (step == 0) {
    return keys;
  }
  std::size_t passed = 0;
  for (const auto& [id, backend] : fleet_.backends()) {
    if (++passed % step == 0 && keys.size() + 1 < count) {
      keys.push_back(codec_.layout().backend_prefix + id.value());
    }
  }
  return keys;
}

void ViewWriter::apply_changes(const shared_store::Changes& changes) {
  const shared_store::StoreRevision known = *seen_revision_;
  for (const shared_store::Change& change : changes.changes) {
    if (change.revision > known) {
      apply_stored_change(change);
      seen_revision_ = std::max(*seen_revision_, change.revision);
    }
  }
  if (*seen_revision_ > known) {
    position_ = shared_store::newest_position(changes.changes);
  }
  change_log_.advance(*seen_revision_);
  log_added_backends();
}

std::optional<shared_store::StorePosition> ViewWriter::position() const {
  for (const auto& known : {position_, reported_position_}) {
    if (seen_revision_ && known && known->revision == *seen_revision_) {
      return known;
    }
  }
  return std::nullopt;
}

void ViewWriter::forget_position() {
  position_.reset();
  reported_position_.reset();
}

bool ViewWriter::record_position(const shared_store::StorePosition& reported) {
  const auto known = position();
  if (known && known->revision == reported.revision) {
    return *known == reported;
  }
  const bool is_valid = reported.revision.value() != 0;
  if (is_valid && (!seen_revision_ || reported.revision >= *seen_revision_)) {
    reported_position_ = reported;
  }
  return true;
}

std::vector<ViewUpdate> ViewWriter::make_updates(Duration age) {
  std::vector<ViewUpdate> updates = change_log_.make_updates(clock_.now(), age);
  updates.back().fingerprint = fingerprint();
  change_log_.note_announced(updates.back().through);
  return updates;
}

/// Independent of the order in which back ends became known, so that it is equal on all nodes with
/// the same back ends.
std::uint64_t ViewWriter::fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = 0;
    for (const auto& [id, backend] : fleet_.backends()) {
      *fingerprint_ += hash_backend(backend);
    }
  }
  return *fingerprint_;
}

UpdateOutcome ViewWriter::apply_update(const ViewUpdate& update) {
  if (seen_revision_ && update.through.era() < seen_revision_->era()) {
    return UpdateOutcome::kOutdated;
  }
  if (!seen_revision_ || update.after > *seen_revision_ ||
      update.through.era() > seen_revision_->era()) {
    return UpdateOutcome::kSkipped;
  }
  apply_view_changes(update.changes, *seen_revision_);
  seen_revision_ = std::max(*seen_revision_, update.through);
  change_log_.advance(*seen_revision_);
  if (!update.is_last()) {
    return UpdateOutcome::kApplied;
  }
  change_log_.note_announced(update.through);
  return verify_fingerprint(update.through, *update.fingerprint);
}

void ViewWriter::apply_view_changes(const std::vector<ViewChange>& changes,
                                    shared_store::StoreRevision after) {
  for (const ViewChange& change : changes) {
    std::visit(
        [&](const auto& alternative) {
          if (alternative.revision > after) {
            apply_view_change(alternative);
          }
        },
        change);
  }
  log_added_backends();
}

UpdateOutcome ViewWriter::verify_fingerprint(shared_store::StoreRevision through,
                                             std::uint64_t fingerprint) {
  const bool comparable = *seen_revision_ == through && *seen_revision_ >= max_listed_revision_;
  return comparable && fingerprint != this->fingerprint() ? UpdateOutcome::kMismatch
                                                          : UpdateOutcome::kApplied;
}

void ViewWriter::apply_stored_change(const shared_store::Change& change) {
  const StoreLayout& layout = codec_.layout();
  if (change.key == layout.configuration_key && change.value) {
    apply_configuration(*change.value, change.revision);
    change_log_.note_configuration(change.revision);
  } else if (change.key.starts_with(layout.backend_prefix)) {
    apply_backend_entry(change);
  } else if (change.key.starts_with(layout.node_prefix)) {
    const NodeId id(change.key.substr(layout.node_prefix.size()));
    auto node = change.value ? entries_.read_node(change) : std::nullopt;
    if (node || !change.value) {
      apply_view_change(NodeChange{change.revision, id, std::move(node)});
    }
  } else if (other_key_callback_) {
    other_key_callback_(change.key, change.value);
  }
}

/// An entry describes one incarnation of a back end and replaces any other incarnation with the
/// same name. An entry that cannot be parsed removes the back end.
void ViewWriter::apply_backend_entry(const shared_store::Change& change) {
  const std::string name = change.key.substr(codec_.layout().backend_prefix.size());
  auto backend = change.value ? entries_.read_backend(change) : std::nullopt;
  for (const gateway::BackendId& known : fleet_.incarnations_of(name)) {
    if (!backend || backend->id != known) {
      apply_view_change(BackendChange{change.revision, known, std::nullopt});
    }
  }
  if (backend) {
    const gateway::BackendId id = backend->id;
    apply_view_change(BackendChange{change.revision, id, std::move(backend)});
  }
}

/// A listing may already have contained this state: see `newer_than_listing_`.
void ViewWriter::apply_view_change(BackendChange change) {
  const gateway::Backend* const found = fleet_.find(change.id);
  const bool known = found != nullptr;
  if (!update_fleet(change, found)) {
    if (change.revision <= max_listed_revision_ && newer_than_listing_.erase(change.id) != 0) {
      change_log_.note(std::move(change), clock_.now());
    }
    return;
  }
  if (known || change.backend->draining) {
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   change.backend ? "back end changed" : "back end removed",
                   {{"backend", change.id.value()},
                    {"draining", change.backend && change.backend->draining},
                    {"revision", change.revision.value()}}});
  } else {
    ++added_backends_;
  }
  change_log_.note(std::move(change), clock_.now());
}

bool ViewWriter::update_fleet(const BackendChange& change, const gateway::Backend* known) {
  const std::uint64_t before = known != nullptr && fingerprint_ ? hash_backend(*known) : 0;
  const bool changed = change.backend ? fleet_.put(*change.backend) : fleet_.remove(change.id);
  if (changed && fingerprint_) {
    *fingerprint_ += (change.backend ? hash_backend(*change.backend) : 0) - before;
  }
  return changed;
}

void ViewWriter::log_added_backends() {
  if (added_backends_ != 0) {
    logger_.write(
        {logging::Level::kInfo,
         kComponent,
         "back ends added",
         {{"count", std::exchange(added_backends_, 0)}, {"seen_before", seen_revision_->value()}}});
  }
}

void ViewWriter::apply_view_change(NodeChange change) {
  if (change.record) {
    nodes_.put(*change.record, change.revision);
  } else {
    nodes_.remove(change.id);
  }
  change_log_.note(std::move(change), clock_.now());
}

std::optional<ViewTransfer> ViewWriter::make_transfer(
    std::optional<shared_store::StoreRevision> after) {
  if (!seen_revision_ || configuration_.empty() || !fleet_.current_at()) {
    return std::nullopt;
  }
  const bool same_era = after && after->era() == seen_revision_->era();
  if (!same_era || !valid_ || !change_log_.covers(*after)) {
    return make_snapshot();
  }
  ViewDelta delta;
  delta.after = *after;
  delta.through = *seen_revision_;
  delta.age = clock_.now() - *fleet_.current_at();
  delta.changes = change_log_.all_changes_since(*after);
  if (change_log_.configuration_revision() > *after) {
    delta.configuration = configuration_;
  }
  delta.fingerprint = fingerprint();
  return delta;
}

ViewSnapshot ViewWriter::make_snapshot() const {
  ViewSnapshot snapshot;
  snapshot.through = *seen_revision_;
  snapshot.age = clock_.now() - *fleet_.current_at();
  snapshot.configuration = configuration_;
  for (const auto& [id, backend] : fleet_.backends()) {
    snapshot.backends.push_back(backend);
  }
  snapshot.nodes = nodes_.list();
  return snapshot;
}

UpdateOutcome ViewWriter::apply_transfer(const ViewTransfer& transfer) {
  return std::visit([this](const auto& alternative) { return apply_transferred(alternative); },
                    transfer);
}

UpdateOutcome ViewWriter::apply_transferred(const ViewDelta& delta) {
  if (!seen_revision_ || delta.after > *seen_revision_ || delta.through < *seen_revision_ ||
      delta.through.era() != seen_revision_->era()) {
    return UpdateOutcome::kSkipped;
  }
  if (delta.configuration && !apply_configuration(*delta.configuration, delta.through)) {
    return UpdateOutcome::kSkipped;
  }
  apply_view_changes(delta.changes, *seen_revision_);
  seen_revision_ = delta.through;
  change_log_.advance(*seen_revision_);
  if (delta.configuration) {
    change_log_.note_configuration(*seen_revision_);
  }
  return verify_fingerprint(delta.through, delta.fingerprint);
}

UpdateOutcome ViewWriter::apply_transferred(const ViewSnapshot& snapshot) {
  const bool useful = !seen_revision_ || snapshot.through > *seen_revision_ ||
                      (!valid_ && snapshot.through == *seen_revision_);
  const bool known = snapshot.configuration == configuration_;
  if (!useful || (!known && !apply_configuration(snapshot.configuration, snapshot.through))) {
    return UpdateOutcome::kSkipped;
  }
  if (seen_revision_) {
    note_replaced();
  }
  enter_era(snapshot.through);
  fleet_.replace(snapshot.backends);
  fingerprint_.reset();
  nodes_.replace(snapshot.nodes, snapshot.through);
  seen_revision_ = snapshot.through;
  valid_ = true;
  change_log_.reset(snapshot.through);
  return UpdateOutcome::kApplied;
}

void ViewWriter::apply_configuration_entry(const shared_store::Change& item) {
  if (!item.value || !apply_configuration(*item.value, item.revision)) {
    return;
  }
  // A node that applies an update up to the seen revision may not have this configuration.
  change_log_.note_configuration(seen_revision_ ? std::min(item.revision, *seen_revision_)
                                                : item.revision);
}

/// Puts the configuration stored at `revision` into force. Returns whether the document could be
/// parsed. In a later era the store may hold a different document with the version in force: the
/// operator has replaced the one that the store lost.
bool ViewWriter::apply_configuration(const std::string& value,
                                     shared_store::StoreRevision revision) {
  auto configuration = entries_.read_configuration(value);
  if (!configuration) {
    return false;
  }
  const std::uint64_t version = configuration->version.value();
  const bool reissued = value != configuration_ && revision > configuration_revision_;
  if (fleet_.apply(std::move(*configuration), reissued)) {
    configuration_ = value;
    configuration_revision_ = revision;
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "configuration in force",
                   {{"configuration", version}}});
  } else if (value == configuration_) {
    configuration_revision_ = std::max(configuration_revision_, revision);
  }
  return true;
}

}  // namespace ochrespring::discovery
