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
/// How long a back end that had gone is doubted where an older copy of the store shows it: longer
/// than three heartbeats (1.2 s each as deployed), after which the platform takes the silent ones
/// away.
constexpr Duration kDoubtful = std::chrono::seconds(6);

std::uint64_t hash_of(const gateway::Backend& backend) {
  return stable_hash(wire::encode(backend));
}

}  // namespace

bool ViewWriter::take_listing(const shared_store::Listing& listing) {
  if (!seen_) {
    take_first_listing(listing);
    return true;
  }
  const bool behind = listing.revision < *seen_;
  const bool older_life = listing.revision.era() < seen_->era();
  if (older_life || (behind && !log_.covers(listing.revision))) {
    // What other nodes told since the listing began is no longer known: it could undo that.
    return false;
  }
  const bool newer_life = begin_life(listing.revision);
  if (!behind) {
    position_ = shared_store::newest_position(listing.items);
  }
  const std::vector<ViewChange> changes = compare(listing);
  take_other_keys(listing);
  for (const ViewChange& change : changes) {
    std::visit([this](const auto& alternative) { take(alternative); }, change);
  }
  log_added();
  if (behind) {
    // The log is in the order of revisions, and these are older ones.
    log_.restart(*seen_);
  } else {
    seen_ = listing.revision;
    log_.advance(*seen_);
  }
  if (newer_life) {
    // Others may have seen more of the life before than this node: what differs from its view does
    // not make theirs right, and they take the whole.
    log_.restart(listed_through_);
    listed_ahead_.clear();
  }
  trusted_ = true;
  return true;
}

/// Returns whether `told` is of a later life of the store than the view.
bool ViewWriter::begin_life(shared_store::StoreRevision told) {
  const bool later = seen_ && told.era() > seen_->era();
  if (later) {
    fleet_.distrust_removed(clock_.now() + kDoubtful);
  }
  return later;
}

void ViewWriter::take_first_listing(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  std::vector<gateway::Backend> backends;
  nodes_.replace({});
  listed_through_ = listing.revision;
  for (const shared_store::Change& item : listing.items) {
    listed_through_ = std::max(listed_through_, item.revision);
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
  take_other_keys(listing);
  fleet_.replace(std::move(backends));
  fingerprint_.reset();
  seen_ = listing.revision;
  position_ = shared_store::newest_position(listing.items);
  // Of the keys of later pages only the newest state is known.
  log_.restart(listed_through_);
}

void ViewWriter::take_other_keys(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  for (const shared_store::Change& item : listing.items) {
    if (item.key == layout.configuration_key) {
      if (take_configuration(*item.value, item.revision)) {
        log_.note_configuration(std::min(item.revision, listing.revision));
      }
    } else if (!item.key.starts_with(layout.backend_prefix) &&
               !item.key.starts_with(layout.node_prefix) && other_key_) {
      other_key_(item.key, item.value);
    }
  }
}

std::vector<ViewChange> ViewWriter::compare(const shared_store::Listing& listing) {
  const StoreLayout& layout = codec_.layout();
  const shared_store::StoreRevision known = *seen_;
  ListingComparison comparison(listing.revision, known, log_);
  listed_through_ = std::max(listed_through_, listing.revision);
  for (const shared_store::Change& item : listing.items) {
    listed_through_ = std::max(listed_through_, item.revision);
    if (item.key.starts_with(layout.backend_prefix)) {
      const auto backend = entries_.read_backend(item);
      const bool told = backend && comparison.note_backend(*backend, item.revision, fleet_);
      if (told && item.revision > listing.revision) {
        listed_ahead_.insert(backend->id);
      }
    } else if (item.key.starts_with(layout.node_prefix)) {
      const NodeId id(item.key.substr(layout.node_prefix.size()));
      const auto node = entries_.read_node(item);
      if (node && id == nodes_.self().node) {
        nodes_.put(*node, item.revision);
      } else {
        comparison.note_node(id, item.revision, node, nodes_);
      }
    }
  }
  return comparison.finish(fleet_, nodes_);
}

void ViewWriter::learn_nodes(const std::vector<shared_store::Change>& items) {
  for (const shared_store::Change& item : items) {
    if (item.key.starts_with(codec_.layout().node_prefix)) {
      if (const auto node = entries_.read_node(item)) {
        nodes_.put(*node, item.revision);
      }
    }
  }
}

std::vector<std::string> ViewWriter::split_points(std::size_t count) const {
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

void ViewWriter::take_changes(const shared_store::Changes& changes) {
  const shared_store::StoreRevision known = *seen_;
  for (const shared_store::Change& change : changes.changes) {
    if (change.revision > known) {
      take_stored(change);
      seen_ = std::max(*seen_, change.revision);
    }
  }
  if (*seen_ > known) {
    position_ = shared_store::newest_position(changes.changes);
  }
  log_.advance(*seen_);
  log_added();
}

std::optional<shared_store::StorePosition> ViewWriter::position() const {
  for (const auto& known : {position_, told_position_}) {
    if (seen_ && known && known->revision == *seen_) {
      return known;
    }
  }
  return std::nullopt;
}

void ViewWriter::forget_position() {
  position_.reset();
  told_position_.reset();
}

bool ViewWriter::learn_position(const shared_store::StorePosition& told) {
  const auto known = position();
  if (known && known->revision == told.revision) {
    return *known == told;
  }
  const bool is_place = told.revision.value() != 0;
  if (is_place && (!seen_ || told.revision >= *seen_)) {
    told_position_ = told;
  }
  return true;
}

std::vector<ViewUpdate> ViewWriter::make_updates(Duration age) {
  std::vector<ViewUpdate> updates = log_.make_updates(clock_.now(), age);
  updates.back().fingerprint = fingerprint();
  log_.note_told(updates.back().through);
  return updates;
}

/// The same on all nodes that see the same back ends, in whatever order they learnt of them.
std::uint64_t ViewWriter::fingerprint() {
  if (!fingerprint_) {
    fingerprint_ = 0;
    for (const auto& [id, backend] : fleet_.backends()) {
      *fingerprint_ += hash_of(backend);
    }
  }
  return *fingerprint_;
}

UpdateOutcome ViewWriter::take_update(const ViewUpdate& update) {
  if (seen_ && update.through.era() < seen_->era()) {
    return UpdateOutcome::kOutdated;
  }
  if (!seen_ || update.after > *seen_ || update.through.era() > seen_->era()) {
    return UpdateOutcome::kPassed;
  }
  apply(update.changes, *seen_);
  seen_ = std::max(*seen_, update.through);
  log_.advance(*seen_);
  if (!update.is_last()) {
    return UpdateOutcome::kTaken;
  }
  log_.note_told(update.through);
  return check(update.through, *update.fingerprint);
}

void ViewWriter::apply(const std::vector<ViewChange>& changes, shared_store::StoreRevision behind) {
  for (const ViewChange& change : changes) {
    std::visit(
        [&](const auto& alternative) {
          if (alternative.revision > behind) {
            take(alternative);
          }
        },
        change);
  }
  log_added();
}

UpdateOutcome ViewWriter::check(shared_store::StoreRevision through, std::uint64_t fingerprint) {
  const bool comparable = *seen_ == through && *seen_ >= listed_through_;
  return comparable && fingerprint != this->fingerprint() ? UpdateOutcome::kDiffers
                                                          : UpdateOutcome::kTaken;
}

void ViewWriter::take_stored(const shared_store::Change& change) {
  const StoreLayout& layout = codec_.layout();
  if (change.key == layout.configuration_key && change.value) {
    take_configuration(*change.value, change.revision);
    log_.note_configuration(change.revision);
  } else if (change.key.starts_with(layout.backend_prefix)) {
    take_backend_entry(change);
  } else if (change.key.starts_with(layout.node_prefix)) {
    const NodeId id(change.key.substr(layout.node_prefix.size()));
    auto node = change.value ? entries_.read_node(change) : std::nullopt;
    if (node || !change.value) {
      take(NodeChange{change.revision, id, std::move(node)});
    }
  } else if (other_key_) {
    other_key_(change.key, change.value);
  }
}

/// An entry is of one life of a back end. It takes the place of any other life under its name, and
/// one that cannot be understood names no back end to use.
void ViewWriter::take_backend_entry(const shared_store::Change& change) {
  const std::string name = change.key.substr(codec_.layout().backend_prefix.size());
  auto backend = change.value ? entries_.read_backend(change) : std::nullopt;
  for (const gateway::BackendId& life : fleet_.incarnations_of(name)) {
    if (!backend || backend->id != life) {
      take(BackendChange{change.revision, life, std::nullopt});
    }
  }
  if (backend) {
    const gateway::BackendId id = backend->id;
    take(BackendChange{change.revision, id, std::move(backend)});
  }
}

/// A listing's state of it may have been newer than the listing: see `listed_ahead_`.
void ViewWriter::take(BackendChange change) {
  const gateway::Backend* const found = fleet_.find(change.id);
  const bool known = found != nullptr;
  if (!write(change, found)) {
    if (change.revision <= listed_through_ && listed_ahead_.erase(change.id) != 0) {
      log_.note(std::move(change), clock_.now());
    }
    return;
  }
  if (known || change.backend->draining) {
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   change.backend ? "back end changed" : "back end gone",
                   {{"backend", change.id.value()},
                    {"draining", change.backend && change.backend->draining},
                    {"revision", change.revision.value()}}});
  } else {
    ++added_;
  }
  log_.note(std::move(change), clock_.now());
}

bool ViewWriter::write(const BackendChange& change, const gateway::Backend* known) {
  const std::uint64_t before = known != nullptr && fingerprint_ ? hash_of(*known) : 0;
  const bool changed = change.backend ? fleet_.put(*change.backend) : fleet_.remove(change.id);
  if (changed && fingerprint_) {
    *fingerprint_ += (change.backend ? hash_of(*change.backend) : 0) - before;
  }
  return changed;
}

void ViewWriter::log_added() {
  if (added_ != 0) {
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "back ends added",
                   {{"count", std::exchange(added_, 0)}, {"seen_before", seen_->value()}}});
  }
}

void ViewWriter::take(NodeChange change) {
  if (change.record) {
    nodes_.put(*change.record, change.revision);
  } else {
    nodes_.remove(change.id);
  }
  log_.note(std::move(change), clock_.now());
}

std::optional<ViewTransfer> ViewWriter::make_transfer(
    std::optional<shared_store::StoreRevision> after) {
  if (!seen_ || configuration_.empty() || !fleet_.current_at()) {
    return std::nullopt;
  }
  const bool same_life = after && after->era() == seen_->era();
  if (!same_life || !trusted_ || !log_.covers(*after)) {
    return make_snapshot();
  }
  ViewDelta delta;
  delta.after = *after;
  delta.through = *seen_;
  delta.age = clock_.now() - *fleet_.current_at();
  delta.changes = log_.changes_since(*after);
  if (log_.configuration_at() > *after) {
    delta.configuration = configuration_;
  }
  delta.fingerprint = fingerprint();
  return delta;
}

ViewSnapshot ViewWriter::make_snapshot() const {
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

UpdateOutcome ViewWriter::take_transfer(const ViewTransfer& transfer) {
  return std::visit([this](const auto& alternative) { return take(alternative); }, transfer);
}

UpdateOutcome ViewWriter::take(const ViewDelta& delta) {
  if (!seen_ || delta.after > *seen_ || delta.through < *seen_ ||
      delta.through.era() != seen_->era()) {
    return UpdateOutcome::kPassed;
  }
  if (delta.configuration && !take_configuration(*delta.configuration, delta.through)) {
    return UpdateOutcome::kPassed;
  }
  apply(delta.changes, *seen_);
  seen_ = delta.through;
  log_.advance(*seen_);
  if (delta.configuration) {
    log_.note_configuration(*seen_);
  }
  return check(delta.through, delta.fingerprint);
}

UpdateOutcome ViewWriter::take(const ViewSnapshot& snapshot) {
  const bool of_use =
      !seen_ || snapshot.through > *seen_ || (!trusted_ && snapshot.through == *seen_);
  const bool known = snapshot.configuration == configuration_;
  if (!of_use || (!known && !take_configuration(snapshot.configuration, snapshot.through))) {
    return UpdateOutcome::kPassed;
  }
  begin_life(snapshot.through);
  fleet_.replace(snapshot.backends);
  fingerprint_.reset();
  nodes_.replace(snapshot.nodes, snapshot.through);
  seen_ = snapshot.through;
  trusted_ = true;
  log_.restart(snapshot.through);
  return UpdateOutcome::kTaken;
}

void ViewWriter::take_configuration_alone(const shared_store::Change& item) {
  if (!item.value || !take_configuration(*item.value, item.revision)) {
    return;
  }
  // Who joins an update up to what is seen here is not known to have it.
  log_.note_configuration(seen_ ? std::min(item.revision, *seen_) : item.revision);
}

/// As it was at `told_at`. Returns whether the document was understood. In a later life the store
/// may hold another document of the version in force: the operator's word after the one it has
/// lost.
bool ViewWriter::take_configuration(const std::string& value, shared_store::StoreRevision told_at) {
  auto configuration = entries_.read_configuration(value);
  if (!configuration) {
    return false;
  }
  const std::uint64_t version = configuration->version.value();
  const bool reissued = value != configuration_ && told_at > configuration_at_;
  if (fleet_.apply(std::move(*configuration), reissued)) {
    configuration_ = value;
    configuration_at_ = told_at;
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "configuration in force",
                   {{"configuration", version}}});
  } else if (value == configuration_) {
    configuration_at_ = std::max(configuration_at_, told_at);
  }
  return true;
}

}  // namespace ochrespring::discovery
