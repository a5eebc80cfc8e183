// The platform's machine list: the truth, and the older truth that readers are shown.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "external/machine_list.h"

namespace ochrespring::standin {

/// Single-threaded. Readers see the table as it was `lag` ago.
class MachineTable {
 public:
  MachineTable(const Clock& clock, Duration lag) : clock_(clock), lag_(lag) {}

  /// Adds a machine or replaces what is known of it.
  void put(const external::Machine& machine);
  /// Marks a machine as leaving; false if there is none of that name.
  bool mark_leaving(const std::string& name);
  /// Removes a machine; false if there is none of that name.
  bool remove(const std::string& name);
  void set_lag(Duration lag) { lag_ = lag; }

  /// The table as it was `lag` ago, ordered by name.
  std::vector<external::Machine> list();
  /// The table as it is, ordered by name.
  std::vector<external::Machine> truth() const;

 private:
  using Machines = std::map<std::string, external::Machine>;
  struct Snapshot {
    MonotonicTime taken;
    Machines machines;
  };

  void record();
  void forget_old();

  const Clock& clock_;
  Duration lag_;
  Machines machines_;
  std::deque<Snapshot> history_;  ///< Oldest first; the front is the newest one readers may see.
};

}  // namespace ochrespring::standin
