#include "admission_queue/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ochrespring::admission_queue {

using gateway::QueueRequest;

namespace {

/// Costs below 1 and costs that are not finite are charged as 1; otherwise their tenant could take
/// all slots.
double charge_of(const QueueRequest& request) {
  return std::isfinite(request.cost) ? std::max(request.cost, 1.0) : 1.0;
}

}  // namespace

FairQueue::ClassKey FairQueue::class_of(const QueueRequest& request) {
  return {request.priority, request.route};
}

FairQueue::Band FairQueue::band_of(const QueueRequest& request, MonotonicTime now) {
  if (request.begun) {
    return Band::kBegun;
  }
  if (request.target <= now) {
    return Band::kLate;
  }
  return request.returned ? Band::kReturned : Band::kNew;
}

int FairQueue::stage_of(Band band) {
  return band == Band::kBegun ? 0 : band == Band::kLate ? 2 : 1;
}

FairQueue::SortKey FairQueue::order_of(Handle handle, const Item& item) {
  const bool on_time = item.band == Band::kReturned || item.band == Band::kNew;
  return {on_time ? item.request.target : item.request.deadline, handle};
}

/// Late requests ignore priority; they are ordered by tenant pass, then by deadline.
FairQueue::Rank FairQueue::rank_of(Handle handle) const {
  const Item& item = items_.at(handle);
  const int stage = stage_of(item.band);
  const bool by_priority = stage == 1;
  return {.stage = stage,
          .priority = by_priority ? item.request.priority : 0,
          .is_new = item.band == Band::kNew,
          .pass = tenants_.at(item.request.tenant).pass,
          .order = order_of(handle, item)};
}

void FairQueue::push(Handle handle, const QueueRequest& request, MonotonicTime now) {
  Item& item = items_[handle];
  item = {.request = request, .joined = now, .band = band_of(request, now)};
  TenantState& tenant = tenants_[request.tenant];
  if (tenant.waiting++ == 0) {
    ++active_tenants_;
    tenant.pass = std::max(tenant.pass, pass_);
  }
  bytes_ += request.bytes;
  by_deadline_.insert({request.deadline, handle});
  if (stage_of(item.band) == 1) {
    by_target_.insert({request.target, handle});
  }
  RequestClass& members = classes_[class_of(request)];
  if (members.size++ == 0) {
    members.last_served = std::max(members.last_served, served_);
  }
  add_to_band(handle, item);
}

void FairQueue::add_to_band(Handle handle, const Item& item) {
  TenantRequests& requests_of_band =
      classes_.at(class_of(item.request)).bands.at(static_cast<std::size_t>(item.band));
  requests_of_band[item.request.tenant].insert(order_of(handle, item));
}

void FairQueue::remove_from_band(Handle handle, const Item& item) {
  TenantRequests& requests_of_band =
      classes_.at(class_of(item.request)).bands.at(static_cast<std::size_t>(item.band));
  const auto found = requests_of_band.find(item.request.tenant);
  found->second.erase(order_of(handle, item));
  if (found->second.empty()) {
    requests_of_band.erase(found);
  }
}

bool FairQueue::remove(Handle handle) {
  const auto found = items_.find(handle);
  if (found == items_.end()) {
    return false;
  }
  erase(found);
  return true;
}

bool FairQueue::serve(Handle handle) {
  const auto found = items_.find(handle);
  if (found == items_.end()) {
    return false;
  }
  const QueueRequest& request = found->second.request;
  TenantState& tenant = tenants_.at(request.tenant);
  pass_ = std::max(pass_, tenant.pass);
  tenant.pass += charge_of(request);
  classes_.at(class_of(request)).last_served = ++served_;
  erase(found);
  return true;
}

void FairQueue::erase(std::map<Handle, Item>::iterator found) {
  const auto& [handle, item] = *found;
  remove_from_band(handle, item);
  by_target_.erase({item.request.target, handle});
  by_deadline_.erase({item.request.deadline, handle});
  bytes_ -= item.request.bytes;
  const auto members = classes_.find(class_of(item.request));
  if (--members->second.size == 0) {
    classes_.erase(members);
  }
  if (--tenants_.at(item.request.tenant).waiting == 0) {
    --active_tenants_;
  }
  items_.erase(found);
  remove_idle_tenants();
}

/// A tenant without requests is kept while it is ahead of its share. Otherwise a tenant that sends
/// one request at a time would be first each time.
void FairQueue::remove_idle_tenants() {
  if (items_.empty()) {
    tenants_.clear();
    pass_ = 0;
  } else if (tenants_.size() > 2 * active_tenants_ + kIdleTenantSlack) {
    std::erase_if(tenants_, [&](const auto& entry) {
      return entry.second.waiting == 0 && entry.second.pass <= pass_;
    });
  }
}

void FairQueue::move_late_requests(MonotonicTime now) {
  while (!by_target_.empty() && by_target_.begin()->first <= now) {
    const Handle handle = by_target_.begin()->second;
    by_target_.erase(by_target_.begin());
    Item& item = items_.at(handle);
    remove_from_band(handle, item);
    item.band = Band::kLate;
    add_to_band(handle, item);
  }
}

/// `requests_of_band` must not be empty.
Handle FairQueue::first_of(const TenantRequests& requests_of_band) const {
  const auto least = std::min_element(
      requests_of_band.begin(), requests_of_band.end(), [&](const auto& left, const auto& right) {
        return std::pair(tenants_.at(left.first).pass, *left.second.begin()) <
               std::pair(tenants_.at(right.first).pass, *right.second.begin());
      });
  return least->second.begin()->second;
}

std::optional<Handle> FairQueue::first_of(const RequestClass& members) const {
  for (const TenantRequests& requests_of_band : members.bands) {
    if (!requests_of_band.empty()) {
      return first_of(requests_of_band);
    }
  }
  return std::nullopt;
}

std::vector<Handle> FairQueue::first_of_each_class(MonotonicTime now) {
  move_late_requests(now);
  struct ClassHead {
    Rank rank;
    std::uint64_t last_served = 0;
    Handle handle = 0;
  };
  std::vector<ClassHead> heads;
  for (const auto& [key, members] : classes_) {
    if (const auto head = first_of(members)) {
      heads.push_back({rank_of(*head), members.last_served, *head});
    }
  }
  std::sort(heads.begin(), heads.end(),
            [](const ClassHead& left, const ClassHead& right) { return left.rank < right.rank; });
  const bool serves_least_recent = (served_ + 1) % kShareInterval == 0;
  if (serves_least_recent && heads.size() > 1 && heads.front().rank.stage != 0) {
    const auto least_recent = std::min_element(heads.begin(), heads.end(),
                                               [](const ClassHead& left, const ClassHead& right) {
                                                 return left.last_served < right.last_served;
                                               });
    std::rotate(heads.begin(), least_recent, least_recent + 1);
  }
  std::vector<Handle> handles;
  handles.reserve(heads.size());
  for (const ClassHead& head : heads) {
    handles.push_back(head.handle);
  }
  return handles;
}

/// Assumes that each tenant of equal rank is served as often as the new request's tenant before the
/// new request is sent.
std::size_t FairQueue::ahead_of(const QueueRequest& request, MonotonicTime now) const {
  const Band band = band_of(request, now);
  const auto rank_in = [](Band at, std::uint32_t priority) {
    const int stage = stage_of(at);
    return std::tuple(stage, stage == 1 ? priority : 0, at == Band::kNew);
  };
  const auto own = rank_in(band, request.priority);
  std::size_t ahead = 0;
  std::map<TenantName, std::size_t> equals;
  for (const auto& [key, members] : classes_) {
    for (std::size_t i = 0; i != kBands; ++i) {
      const auto other = rank_in(static_cast<Band>(i), key.first);
      for (const auto& [tenant, requests] : members.bands.at(i)) {
        if (other < own) {
          ahead += requests.size();
        } else if (other == own) {
          equals[tenant] += requests.size();
        }
      }
    }
  }
  const auto mine = equals.find(request.tenant);
  const std::size_t turn = (mine == equals.end() ? 0 : mine->second) + 1;
  for (const auto& [tenant, count] : equals) {
    ahead += tenant == request.tenant ? count : std::min(count, turn);
  }
  return ahead;
}

std::vector<Handle> FairQueue::due_by(MonotonicTime until) const {
  std::vector<Handle> due;
  for (auto next = by_deadline_.begin(); next != by_deadline_.end() && next->first <= until;
       ++next) {
    due.push_back(next->second);
  }
  return due;
}

std::optional<MonotonicTime> FairQueue::next_due_after(MonotonicTime time) const {
  const auto next = by_deadline_.upper_bound({time, ~Handle{0}});
  return next == by_deadline_.end() ? std::nullopt : std::optional(next->first);
}

std::optional<Handle> FairQueue::find_displaceable(const QueueRequest& request) const {
  const RequestClass* largest = nullptr;
  TenantName tenant;
  std::size_t most = 0;
  std::size_t own = 0;
  for (const auto& [key, members] : classes_) {
    std::map<TenantName, std::size_t> counts;
    for (const Band band : kDisplacementOrder) {
      for (const auto& [name, requests] : members.bands.at(static_cast<std::size_t>(band))) {
        counts[name] += requests.size();
      }
    }
    for (const auto& [name, count] : counts) {
      if (count > most) {
        largest = &members;
        tenant = name;
        most = count;
      }
      own = key == class_of(request) && name == request.tenant ? count : own;
    }
  }
  return largest == nullptr || most < own + 2 ? std::nullopt : last_rejectable(*largest, tenant);
}

std::optional<Handle> FairQueue::last_rejectable(const RequestClass& members,
                                                 const TenantName& tenant) const {
  for (const Band band : kDisplacementOrder) {
    const TenantRequests& requests_of_band = members.bands.at(static_cast<std::size_t>(band));
    const auto found = requests_of_band.find(tenant);
    if (found == requests_of_band.end()) {
      continue;
    }
    const auto last = std::find_if(
        found->second.rbegin(), found->second.rend(),
        [&](const SortKey& order) { return items_.at(order.second).request.may_be_rejected(); });
    if (last != found->second.rend()) {
      return last->second;
    }
  }
  return std::nullopt;
}

std::vector<Handle> FairQueue::rejectable() const {
  std::vector<Handle> handles;
  for (const auto& [handle, item] : items_) {
    if (item.request.may_be_rejected()) {
      handles.push_back(handle);
    }
  }
  return handles;
}

std::optional<MonotonicTime> FairQueue::oldest() const {
  return items_.empty() ? std::nullopt : std::optional(items_.begin()->second.joined);
}

}  // namespace ochrespring::admission_queue
