#include "stream_records/software_history.h"

#include <algorithm>
#include <utility>

#include "stream_records/route_succession.h"

namespace ochrespring::stream_records {

namespace {

/// How far back a node knows all software once it has read the store.
constexpr Duration kUnlimited = std::chrono::hours(24 * 365);
/// How long a removal is remembered after its streams have ended, so that the store forgets it too.
constexpr Duration kRetention = std::chrono::minutes(10);

Duration round_up(Duration lifetime) {
  Duration rounded = SoftwareHistory::kMinStreamLifetime;
  while (rounded < lifetime && rounded < SoftwareHistory::kMaxStreamLifetime) {
    rounded *= 2;
  }
  return rounded;
}

std::set<ServiceName> services_of(const gateway::Route& route) {
  std::set<ServiceName> services;
  for (const gateway::TrafficShare& share : route.shares) {
    services.insert(share.service);
  }
  return services;
}

}  // namespace

void SoftwareHistory::note_view_current() {
  const MonotonicTime at = fleet_.current_at().value_or(clock_.now());
  if (view_current_at_ && at - *view_current_at_ > kMaxViewGap) {
    forget_completeness();
  }
  view_current_at_ = std::max(view_current_at_.value_or(at), at);
  if (!complete_since_) {
    complete_since_ = clock_.now();
  }
}

void SoftwareHistory::note_view_replaced() {
  forget_completeness();
}

void SoftwareHistory::forget_completeness() {
  ++gaps_;
  complete_since_.reset();
  store_read_ = false;
  informed_ = false;
}

void SoftwareHistory::note_removed(const gateway::Backend& backend) {
  if (backend.role != gateway::EngineRole::kPrefill) {
    services_[backend.service].removed[software_of(backend)] = {clock_.now()};
  }
}

void SoftwareHistory::note_stream(const ServiceName& service, Duration lifetime) {
  Duration& longest = services_[service].stream_lifetime;
  longest = std::max(longest, round_up(lifetime));
}

bool SoftwareHistory::is_view_current() const {
  const auto current_at = fleet_.current_at();
  return current_at && clock_.now() - *current_at <= kMaxViewAge;
}

bool SoftwareHistory::is_confirmed(MonotonicTime as_of) const {
  const auto confirmed_at = fleet_.confirmed_at();
  return confirmed_at && *confirmed_at >= as_of && entry_read_at_ && *entry_read_at_ >= as_of;
}

SoftwareHistory::SoftwareSet SoftwareHistory::present(const ServiceName& service) const {
  SoftwareSet software;
  if (const gateway::BackendGroup* group = fleet_.index().find(service, /*prefill=*/false)) {
    for (const gateway::Backend* backend : group->all([](const auto& /*any*/) { return true; })) {
      software.insert(software_of(*backend));
    }
  }
  return software;
}

bool SoftwareHistory::may_have_streams(const ServiceHistory& service,
                                       const Removal& removal) const {
  return !removal.confirmed || clock_.now() - removal.at < service.stream_lifetime;
}

/// Everything that a caller has received was sent before its request arrived, and a back end is
/// registered before any node sends to it. So a view that contains what the store held at the
/// arrival, with all removals until then, names all software that can have begun the stream. The
/// history in the store adds what came and went unseen: nodes that have seen it write it at once.
gateway::StreamOrigin SoftwareHistory::conclude(const ServiceName& service,
                                                MonotonicTime as_of) const {
  static const ServiceHistory nothing_noted;
  const auto found = services_.find(service);
  const ServiceHistory& history = found != services_.end() ? found->second : nothing_noted;
  // Before it is informed, callers may wait longer than any that this node has seen.
  const bool is_complete = informed_ && !rolled_back_at_ && complete_since_ &&
                           clock_.now() - *complete_since_ >= history.stream_lifetime;
  if (!is_complete || routes_ != fleet_.routes()) {
    return {{}, gateway::OriginEvidence::kUnknownHistory};
  }
  SoftwareSet software = present(service);
  software.insert(history.last_present.begin(), history.last_present.end());
  for (const auto& [id, removal] : history.removed) {
    if (may_have_streams(history, removal)) {
      software.insert(id);
    }
  }
  if (software.size() != 1) {
    return {{}, gateway::OriginEvidence::kSeveralSoftware};
  }
  if (!is_confirmed(as_of)) {
    return {{}, gateway::OriginEvidence::kOutdatedView};
  }
  return {*software.begin(), gateway::OriginEvidence::kSoleSoftware};
}

std::optional<SoftwareHistoryReport> SoftwareHistory::report(MonotonicTime as_of) const {
  if (!is_informed() || !is_confirmed(as_of)) {
    return std::nullopt;
  }
  const MonotonicTime now = clock_.now();
  SoftwareHistoryReport report{.complete_for = now - *complete_since_, .removed = {}};
  for (const auto& [name, service] : services_) {
    for (const auto& [id, removal] : service.removed) {
      report.removed.push_back({name, id, now - removal.at});
    }
  }
  return report;
}

/// Other nodes are asked once, when this one starts, and know nothing of what a later listing hid.
void SoftwareHistory::receive(const SoftwareHistoryReport& report) {
  if (gaps_ != 0) {
    return;
  }
  const MonotonicTime now = clock_.now();
  complete_since_ = std::min(complete_since_.value_or(now), now - report.complete_for);
  informed_ = true;
  for (const RemovedSoftware& removed : report.removed) {
    auto& known = services_[removed.service].removed;
    const auto [entry, added] = known.try_emplace(removed.software, Removal{now - removed.ago});
    if (!added && now - removed.ago > entry->second.at) {
      entry->second = {now - removed.ago};
    }
  }
}

bool SoftwareHistory::needs_store(MonotonicTime written_before) const {
  if (!is_view_current()) {
    return false;  // The store is probably out of reach.
  }
  if (!store_read_ || (rolled_back_at_ && *rolled_back_at_ <= written_before)) {
    return true;
  }
  return std::any_of(services_.begin(), services_.end(), [&](const auto& service) {
    const auto& removed = service.second.removed;
    return std::any_of(removed.begin(), removed.end(), [&](const auto& item) {
      return !item.second.confirmed && item.second.at <= written_before;
    });
  });
}

void SoftwareHistory::apply(const StoredHistory& stored, MonotonicTime written_before) {
  const MonotonicTime now = clock_.now();
  for (const StoredServiceHistory& entry : stored.services) {
    ServiceHistory& service = services_[entry.service];
    service.stream_lifetime = std::max(service.stream_lifetime, entry.stream_lifetime);
    const SoftwareSet running = present(entry.service);
    for (const gateway::SoftwareId software : entry.software) {
      const bool is_known = store_read_ && service.removed.contains(software);
      if (!running.contains(software) && !is_known) {
        service.removed[software] = {now};
      }
    }
  }
  complete_since_ = now - kUnlimited;
  note_store_read(written_before);
}

void SoftwareHistory::apply_nothing_stored(MonotonicTime written_before) {
  note_store_read(written_before);
}

void SoftwareHistory::note_store_read(MonotonicTime written_before) {
  // Until then this node writes what it knows, but does not take the store's history for complete.
  if (rolled_back_at_ && written_before >= *rolled_back_at_) {
    rolled_back_at_.reset();
  }
  store_read_ = true;
  informed_ = true;
  for (auto& [name, service] : services_) {
    for (auto& [id, removal] : service.removed) {
      removal.confirmed |= removal.at <= written_before;
    }
  }
}

void SoftwareHistory::on_store_rolled_back() {
  store_read_ = false;
  rolled_back_at_ = clock_.now();
}

void SoftwareHistory::note_routes() {
  const std::shared_ptr<const gateway::RouteTable> former = std::exchange(routes_, fleet_.routes());
  if (routes_ == former) {
    return;
  }
  resumable_.clear();
  for (const gateway::Route& route : routes_->configuration().routes) {
    if (route.resumable) {
      resumable_.merge(services_of(route));
    }
  }
  if (former) {
    for (const RouteSuccession& paths : find_successions(*former, *routes_)) {
      if (services_of(*paths.former) != services_of(*paths.current)) {
        note_moved_route(*paths.former, *paths.current);
      }
    }
  }
}

void SoftwareHistory::note_moved_route(const gateway::Route& former, const gateway::Route& route) {
  for (const ServiceName& from : services_of(former)) {
    const ServiceHistory& left = services_[from];
    SoftwareSet begun = present(from);
    for (const auto& [software, removal] : left.removed) {
      begun.insert(software);
    }
    for (const ServiceName& to : services_of(route)) {
      if (to == from) {
        continue;
      }
      ServiceHistory& reached = services_[to];
      reached.stream_lifetime = std::max(reached.stream_lifetime, left.stream_lifetime);
      for (const gateway::SoftwareId software : begun) {
        reached.removed[software] = {clock_.now()};
      }
    }
  }
}

void SoftwareHistory::record_present() {
  std::set<ServiceName> names = resumable_;
  for (const auto& [name, service] : services_) {
    names.insert(name);
  }
  for (const ServiceName& name : names) {
    ServiceHistory& service = services_[name];
    SoftwareSet running = present(name);
    for (const gateway::SoftwareId software : service.last_present) {
      if (!running.contains(software)) {
        service.removed.try_emplace(software, Removal{clock_.now()});
      }
    }
    std::erase_if(service.removed, [&](const auto& item) {
      const bool forgotten = item.second.confirmed &&
                             clock_.now() - item.second.at >= service.stream_lifetime + kRetention;
      return forgotten || running.contains(item.first);
    });
    service.last_present = std::move(running);
  }
}

StoredHistory SoftwareHistory::update(const StoredHistory& stored) {
  if (!store_read_ || !is_view_current() || fleet_.routes() == nullptr) {
    return stored;
  }
  record_present();
  std::map<ServiceName, StoredServiceHistory> entries;
  for (const ServiceName& name : resumable_) {
    entries[name] = {name, kMinStreamLifetime, {}};
  }
  for (const StoredServiceHistory& entry : stored.services) {
    entries[entry.service] = entry;
  }
  StoredHistory updated;
  for (auto& [name, entry] : entries) {
    update_entry(entry, resumable_.contains(name));
    if (!entry.software.empty()) {
      updated.services.push_back(entry);
    }
  }
  return stored.services.empty() && !knows_all_streams() ? stored : updated;
}

/// Whether this node, without the store, knows all software whose streams callers still take up.
bool SoftwareHistory::knows_all_streams() const {
  Duration longest = kMinStreamLifetime;
  for (const auto& [name, service] : services_) {
    longest = std::max(longest, service.stream_lifetime);
  }
  return complete_since_ && clock_.now() - *complete_since_ >= longest;
}

/// Forgets software only if this node has seen it leave: it may be missing in the view because
/// another node has seen it first.
void SoftwareHistory::update_entry(StoredServiceHistory& entry, bool resumable) {
  ServiceHistory& service = services_[entry.service];
  entry.stream_lifetime = std::max(entry.stream_lifetime, service.stream_lifetime);
  std::erase_if(entry.software, [&](gateway::SoftwareId software) {
    const auto removed = service.removed.find(software);
    return removed != service.removed.end() && !may_have_streams(service, removed->second);
  });
  SoftwareSet added;
  if (resumable) {
    added = service.last_present;
    for (const auto& [software, removal] : service.removed) {
      if (may_have_streams(service, removal)) {
        added.insert(software);
      }
    }
  }
  for (const gateway::SoftwareId software : added) {
    const bool listed =
        std::find(entry.software.begin(), entry.software.end(), software) != entry.software.end();
    if (!listed && entry.software.size() < StoredServiceHistory::kMaxSoftware) {
      entry.software.push_back(software);
    }
  }
  std::sort(entry.software.begin(), entry.software.end());
}

}  // namespace ochrespring::stream_records
