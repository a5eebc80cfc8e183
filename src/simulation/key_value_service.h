// The simulated key-value service: the stand-in's table, with outages and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/timer.h"
#include "external/key_value_store.h"
#include "simulation/fault_window.h"
#include "simulation/network.h"
#include "standin/model/key_value_table.h"

namespace ochrespring::simulation {

/// Name of the service on the network.
inline const HostName kKeyValueHost = "key-value:2379";

/// How the service misbehaves, and until when.
struct KeyValueHealth {
  FaultWindow down;
  FaultWindow slow;           ///< Each call takes up to kLongestSlowCall longer.
  FaultWindow loses_answers;  ///< Calls may take effect without an answer.
  FaultWindow loses_watches;  ///< Watch events may be lost.
};

/// State of the service and its watchers; clients reach it over the network.
class KeyValueService {
 public:
  using WatchCallback = std::function<void(const external::KeyValueEntry&)>;
  using WatchId = std::uint64_t;

  KeyValueService(VirtualTime& time, const standin::KeyValueSettings& settings)
      : table_(time, settings), lapse_timer_(time) {}

  /// The table, for one operation; watchers are told when `operation` returns.
  template <class Operation>
  auto apply(Operation operation) {
    auto result = operation(table_);
    after_change();
    return result;
  }
  const standin::KeyValueTable& table() const { return table_; }

  WatchId add_watch(const std::string& prefix, WatchCallback callback);
  void remove_watch(WatchId watch) { watches_.erase(watch); }

  /// Remembers the present state for a later restore_backup().
  void take_backup() { backup_ = table_.backup(); }
  /// Puts the service back to the backup, as the platform's operators would after a disaster.
  void restore_backup();

  KeyValueHealth health;

 private:
  struct WatchEntry {
    std::string prefix;
    WatchCallback callback;
  };

  void after_change();

  standin::KeyValueTable table_;
  standin::KeyValueBackup backup_;
  std::uint64_t notified_position_ = 1;
  WatchId next_watch_ = 1;
  std::map<WatchId, WatchEntry> watches_;
  Timer lapse_timer_;
};

}  // namespace ochrespring::simulation
