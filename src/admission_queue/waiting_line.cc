#include "admission_queue/waiting_line.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ochrespring::admission_queue {

using gateway::QueueRequest;

namespace {

/// A cost that is no positive number would give its tenant all places.
double charge_of(const QueueRequest& request) {
  return std::isfinite(request.cost) ? std::max(request.cost, 1.0) : 1.0;
}

}  // namespace

WaitingLine::ClassKey WaitingLine::class_of(const QueueRequest& request) {
  return {request.priority, request.route};
}

WaitingLine::Band WaitingLine::band_of(const QueueRequest& request, MonotonicTime now) {
  if (request.begun) {
    return Band::kBegun;
  }
  if (request.target <= now) {
    return Band::kLate;
  }
  return request.returned ? Band::kReturned : Band::kNew;
}

int WaitingLine::stage_of(Band band) {
  return band == Band::kBegun ? 0 : band == Band::kLate ? 2 : 1;
}

WaitingLine::Order WaitingLine::order_of(Handle handle, const Item& item) {
  const bool on_time = item.band == Band::kReturned || item.band == Band::kNew;
  return {on_time ? item.request.target : item.request.deadline, handle};
}

/// Late requests are ordered by deadline, whatever their priority.
WaitingLine::Rank WaitingLine::rank_of(Handle handle) const {
  const Item& item = items_.at(handle);
  const int stage = stage_of(item.band);
  const bool by_priority = stage == 1;
  return {.stage = stage,
          .priority = by_priority ? item.request.priority : 0,
          .is_new = item.band == Band::kNew,
          .pass = tenants_.at(item.request.tenant).pass,
          .order = order_of(handle, item)};
}

void WaitingLine::push(Handle handle, const QueueRequest& request, MonotonicTime now) {
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
  add_to_lane(handle, item);
}

void WaitingLine::add_to_lane(Handle handle, const Item& item) {
  Lane& lane = classes_.at(class_of(item.request)).lanes.at(static_cast<std::size_t>(item.band));
  lane[item.request.tenant].insert(order_of(handle, item));
}

void WaitingLine::take_from_lane(Handle handle, const Item& item) {
  Lane& lane = classes_.at(class_of(item.request)).lanes.at(static_cast<std::size_t>(item.band));
  const auto found = lane.find(item.request.tenant);
  found->second.erase(order_of(handle, item));
  if (found->second.empty()) {
    lane.erase(found);
  }
}

bool WaitingLine::remove(Handle handle) {
  const auto found = items_.find(handle);
  if (found == items_.end()) {
    return false;
  }
  erase(found);
  return true;
}

bool WaitingLine::serve(Handle handle) {
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

void WaitingLine::erase(std::map<Handle, Item>::iterator found) {
  const auto& [handle, item] = *found;
  take_from_lane(handle, item);
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
  sweep_tenants();
}

/// A tenant without requests is kept while it is ahead of its share: forgotten sooner, one that
/// sends one request at a time would be first each time.
void WaitingLine::sweep_tenants() {
  if (items_.empty()) {
    tenants_.clear();
    pass_ = 0;
  } else if (tenants_.size() > 2 * active_tenants_ + kLeastSweep) {
    std::erase_if(tenants_, [&](const auto& entry) {
      return entry.second.waiting == 0 && entry.second.pass <= pass_;
    });
  }
}

void WaitingLine::move_late(MonotonicTime now) {
  while (!by_target_.empty() && by_target_.begin()->first <= now) {
    const Handle handle = by_target_.begin()->second;
    by_target_.erase(by_target_.begin());
    Item& item = items_.at(handle);
    take_from_lane(handle, item);
    item.band = Band::kLate;
    add_to_lane(handle, item);
  }
}

/// `lane` is not empty.
Handle WaitingLine::head_of(const Lane& lane) const {
  const auto least =
      std::min_element(lane.begin(), lane.end(), [&](const auto& left, const auto& right) {
        return std::pair(tenants_.at(left.first).pass, *left.second.begin()) <
               std::pair(tenants_.at(right.first).pass, *right.second.begin());
      });
  return least->second.begin()->second;
}

std::optional<Handle> WaitingLine::head_of(const RequestClass& members) const {
  for (const Lane& lane : members.lanes) {
    if (!lane.empty()) {
      return head_of(lane);
    }
  }
  return std::nullopt;
}

std::vector<Handle> WaitingLine::heads(MonotonicTime now) {
  move_late(now);
  struct Head {
    Rank rank;
    std::uint64_t last_served = 0;
    Handle handle = 0;
  };
  std::vector<Head> found;
  for (const auto& [key, members] : classes_) {
    if (const auto head = head_of(members)) {
      found.push_back({rank_of(*head), members.last_served, *head});
    }
  }
  std::sort(found.begin(), found.end(),
            [](const Head& left, const Head& right) { return left.rank < right.rank; });
  const bool shares = (served_ + 1) % kShareEvery == 0;
  if (shares && found.size() > 1 && found.front().rank.stage != 0) {
    const auto least = std::min_element(
        found.begin(), found.end(),
        [](const Head& left, const Head& right) { return left.last_served < right.last_served; });
    std::rotate(found.begin(), least, least + 1);
  }
  std::vector<Handle> handles;
  handles.reserve(found.size());
  for (const Head& head : found) {
    handles.push_back(head.handle);
  }
  return handles;
}

/// Of tenants of equal rank, each is served as often as the new request's own before it is.
std::size_t WaitingLine::ahead_of(const QueueRequest& request, MonotonicTime now) const {
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
      for (const auto& [tenant, requests] : members.lanes.at(i)) {
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

std::vector<Handle> WaitingLine::due_by(MonotonicTime until) const {
  std::vector<Handle> due;
  for (auto next = by_deadline_.begin(); next != by_deadline_.end() && next->first <= until;
       ++next) {
    due.push_back(next->second);
  }
  return due;
}

std::optional<MonotonicTime> WaitingLine::next_due_after(MonotonicTime time) const {
  const auto next = by_deadline_.upper_bound({time, ~Handle{0}});
  return next == by_deadline_.end() ? std::nullopt : std::optional(next->first);
}

std::optional<Handle> WaitingLine::displaced_by(const QueueRequest& request) const {
  const RequestClass* largest = nullptr;
  TenantName tenant;
  std::size_t most = 0;
  std::size_t own = 0;
  for (const auto& [key, members] : classes_) {
    std::map<TenantName, std::size_t> counts;
    for (const Band band : kDisplacedFirst) {
      for (const auto& [name, requests] : members.lanes.at(static_cast<std::size_t>(band))) {
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

std::optional<Handle> WaitingLine::last_rejectable(const RequestClass& members,
                                                   const TenantName& tenant) const {
  for (const Band band : kDisplacedFirst) {
    const Lane& lane = members.lanes.at(static_cast<std::size_t>(band));
    const auto found = lane.find(tenant);
    if (found == lane.end()) {
      continue;
    }
    const auto last = std::find_if(
        found->second.rbegin(), found->second.rend(),
        [&](const Order& order) { return items_.at(order.second).request.may_be_rejected(); });
    if (last != found->second.rend()) {
      return last->second;
    }
  }
  return std::nullopt;
}

std::vector<Handle> WaitingLine::rejectable() const {
  std::vector<Handle> handles;
  for (const auto& [handle, item] : items_) {
    if (item.request.may_be_rejected()) {
      handles.push_back(handle);
    }
  }
  return handles;
}

std::optional<MonotonicTime> WaitingLine::oldest() const {
  return items_.empty() ? std::nullopt : std::optional(items_.begin()->second.joined);
}

}  // namespace ochrespring::admission_queue
