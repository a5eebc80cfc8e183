#include "digest/leaving_machines.h"

#include <algorithm>

namespace ochrespring::digest {

std::vector<LeavingNotice> LeavingMachines::take(const std::vector<external::Machine>& machines,
                                                 MonotonicTime now) {
  std::vector<LeavingNotice> news;
  for (const external::Machine& machine : machines) {
    const LeavingNotice notice{machine.name, machine.state == external::MachineState::kLeaving, 0};
    if (take(notice, now)) {
      news.push_back(notice);
    }
  }
  return news;
}

bool LeavingMachines::take(const LeavingNotice& notice, MonotonicTime now) {
  const MonotonicTime read = now - std::chrono::milliseconds(notice.age_milliseconds);
  const auto found = machines_.find(notice.machine);
  const bool known = found != machines_.end();
  if (!known && !notice.leaving) {
    return false;
  }
  if (!known) {
    machines_[notice.machine] = {true, read};
    bound(now);
    return true;
  }
  Entry& entry = found->second;
  if (entry.leaving == notice.leaving) {
    entry.read = std::max(entry.read, read);
    return false;
  }
  const Duration hold = notice.leaving ? Duration::zero() : settings_.leaving_hold;
  if (read - entry.read <= hold) {
    return false;
  }
  entry = {notice.leaving, read};
  return true;
}

void LeavingMachines::bound(MonotonicTime now) {
  std::erase_if(machines_, [&](const auto& machine) {
    return now - machine.second.read > settings_.leaving_expiry;
  });
  while (machines_.size() > settings_.leaving_machines) {
    machines_.erase(std::min_element(
        machines_.begin(), machines_.end(),
        [](const auto& left, const auto& right) { return left.second.read < right.second.read; }));
  }
}

bool LeavingMachines::leaving(const std::string& machine) const {
  const auto found = machines_.find(machine);
  return found != machines_.end() && found->second.leaving;
}

std::vector<std::string> LeavingMachines::names() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : machines_) {
    if (entry.leaving) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace ochrespring::digest
