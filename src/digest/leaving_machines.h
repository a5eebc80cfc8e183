// Machines the platform says are leaving. The list lags and its readers differ, so a machine that
// was seen leaving is not believed back for a while.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "digest/messages.h"
#include "digest/settings.h"
#include "external/machine_list.h"

namespace ochrespring::digest {

/// Used on the control loop only.
class LeavingMachines {
 public:
  explicit LeavingMachines(const DigestSettings& settings) : settings_(settings) {}

  /// Takes a reading of the list; returns what is news, to be passed on.
  std::vector<LeavingNotice> take(const std::vector<external::Machine>& machines,
                                  MonotonicTime now);
  /// Takes another node's news; returns whether it was news here.
  bool take(const LeavingNotice& notice, MonotonicTime now);

  bool leaving(const std::string& machine) const;
  /// Names of all leaving machines.
  std::vector<std::string> names() const;
  std::size_t size() const { return machines_.size(); }

 private:
  struct Entry {
    bool leaving = true;
    MonotonicTime read;
  };
  void bound(MonotonicTime now);

  const DigestSettings& settings_;
  std::map<std::string, Entry> machines_;
};

}  // namespace ochrespring::digest
