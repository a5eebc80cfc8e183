#include "gateway/fleet_state.h"

#include <utility>

#include "gateway/backend_incarnation.h"

namespace ochrespring::gateway {

bool FleetState::apply(Configuration configuration, bool same_version_allowed) {
  if (routes_) {
    const ConfigurationVersion in_force = routes_->configuration().version;
    if (configuration.version < in_force ||
        (configuration.version == in_force && !same_version_allowed)) {
      return false;
    }
  }
  routes_ = std::make_shared<const RouteTable>(std::move(configuration));
  if (applied_) {
    applied_();
  }
  return true;
}

bool FleetState::put(Backend backend) {
  const auto former = backends_.find(backend.id);
  if (former != backends_.end() && former->second.version != backend.version) {
    // Another process has started under the id.
    remove(backend.id);
  }
  const auto [found, fresh] = backends_.try_emplace(backend.id);
  Backend& known = found->second;
  if (!fresh && known == backend) {
    return false;
  }
  if (fresh) {
    removed_ids_.erase(backend.id);
  } else {
    index_.remove(known);
  }
  const Backend former_state = std::exchange(known, std::move(backend));
  if (known.draining) {
    note_leaving(known.id);
  }
  index_.add(known);
  if (fresh) {
    note_added(known);
  } else {
    note_replaced(former_state, known);
  }
  return true;
}

void FleetState::note_replaced(const Backend& former, const Backend& now) {
  const bool changed = (former.role == EngineRole::kPrefill) != (now.role == EngineRole::kPrefill);
  if (changed && role_changed_) {
    role_changed_(former, now);
  }
}

void FleetState::note_added(const Backend& backend) {
  if (added_) {
    added_(backend);
  }
}

bool FleetState::remove(const BackendId& id) {
  auto node = backends_.extract(id);
  if (node.empty()) {
    return false;
  }
  index_.remove(node.mapped());
  note_removed(node.mapped());
  return true;
}

/// At the limit the whole set is cleared: distrust is best effort.
void FleetState::note_removed(const Backend& backend) {
  if (removed_ids_.size() >= kMaxRememberedIds) {
    removed_ids_.clear();
  }
  removed_ids_.insert(backend.id);
  if (removed_) {
    removed_(backend);
  }
}

void FleetState::distrust_removed(MonotonicTime until) {
  distrusted_ = std::exchange(removed_ids_, {});
  distrusted_until_ = until;
}

void FleetState::replace(std::vector<Backend> listed) {
  std::map<BackendId, Backend> replaced;
  for (Backend& backend : listed) {
    BackendId id = backend.id;
    replaced.emplace(std::move(id), std::move(backend));
  }
  backends_.swap(replaced);  // Now `replaced` holds the previous back ends.
  index_.clear();
  for (const auto& [id, backend] : backends_) {
    if (backend.draining) {
      note_leaving(id);
    }
    index_.add(backend);
  }
  const auto has = [](const std::map<BackendId, Backend>& backends, const Backend& backend) {
    const auto found = backends.find(backend.id);
    return found != backends.end() && found->second.version == backend.version;
  };
  for (const auto& [id, backend] : replaced) {
    if (!has(backends_, backend)) {
      note_removed(backend);
    } else {
      note_replaced(backend, backends_.at(id));
    }
  }
  for (const auto& [id, backend] : backends_) {
    removed_ids_.erase(id);
    if (!has(replaced, backend)) {
      note_added(backend);
    }
  }
}

bool FleetState::is_leaving(const BackendId& id) const {
  const Backend* backend = find(id);
  return leaving_.contains(id) || (backend != nullptr && backend->draining);
}

void FleetState::note_leaving(const BackendId& id) {
  if (!leaving_.insert(id).second || leaving_.size() <= kMaxRememberedIds) {
    return;
  }
  std::erase_if(leaving_, [this](const BackendId& old) { return !backends_.contains(old); });
}

std::vector<BackendId> FleetState::incarnations_of(std::string_view name) const {
  std::vector<BackendId> incarnations;
  const BackendId plain{std::string(name)};
  if (backends_.contains(plain) && backend_name(plain) == name) {
    incarnations.push_back(plain);
  }
  for (auto found = backends_.lower_bound(BackendId(plain.value() + '@'));
       found != backends_.end() && found->first.value().starts_with(plain.value() + '@'); ++found) {
    if (backend_name(found->first) == name) {
      incarnations.push_back(found->first);
    }
  }
  return incarnations;
}

const Backend* FleetState::find(const BackendId& id) const {
  const auto found = backends_.find(id);
  return found == backends_.end() ? nullptr : &found->second;
}

}  // namespace ochrespring::gateway
