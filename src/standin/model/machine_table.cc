#include "standin/model/machine_table.h"

namespace ochrespring::standin {

using external::Machine;
using external::MachineState;

namespace {

/// Longest lag that can be set; older states are forgotten.
constexpr Duration kLongestLag = std::chrono::minutes(10);

std::vector<Machine> values(const std::map<std::string, Machine>& machines) {
  std::vector<Machine> list;
  list.reserve(machines.size());
  for (const auto& [name, machine] : machines) {
    list.push_back(machine);
  }
  return list;
}

}  // namespace

void MachineTable::put(const Machine& machine) {
  machines_[machine.name] = machine;
  record();
}

bool MachineTable::mark_leaving(const std::string& name) {
  const auto found = machines_.find(name);
  if (found == machines_.end()) {
    return false;
  }
  found->second.state = MachineState::kLeaving;
  record();
  return true;
}

bool MachineTable::remove(const std::string& name) {
  if (machines_.erase(name) == 0) {
    return false;
  }
  record();
  return true;
}

std::vector<Machine> MachineTable::list() {
  forget_old();
  const MonotonicTime visible = clock_.now() - lag_;
  const Snapshot* shown = nullptr;
  for (const Snapshot& snapshot : history_) {
    if (snapshot.taken <= visible) {
      shown = &snapshot;
    }
  }
  return shown == nullptr ? std::vector<Machine>{} : values(shown->machines);
}

std::vector<Machine> MachineTable::truth() const {
  return values(machines_);
}

void MachineTable::record() {
  history_.push_back({clock_.now(), machines_});
  forget_old();
}

void MachineTable::forget_old() {
  const MonotonicTime horizon = clock_.now() - kLongestLag;
  while (history_.size() > 1 && history_[1].taken <= horizon) {
    history_.pop_front();
  }
}

}  // namespace ochrespring::standin
