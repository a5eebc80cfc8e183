#include "simulation/key_value_service.h"

#include <utility>

namespace ochrespring::simulation {

KeyValueService::WatchId KeyValueService::add_watch(const std::string& prefix,
                                                    WatchCallback callback) {
  const WatchId watch = next_watch_++;
  watches_.emplace(watch, WatchEntry{prefix, std::move(callback)});
  return watch;
}

void KeyValueService::after_change() {
  const standin::ChangeBatch batch = table_.changes_after("", notified_position_);
  notified_position_ = batch.position;
  for (const external::KeyValueEntry& entry : batch.changes) {
    for (const auto& [id, watch] : watches_) {
      if (entry.key.starts_with(watch.prefix)) {
        watch.callback(entry);
      }
    }
  }
  if (const auto next = table_.expire()) {
    lapse_timer_.arm(*next, [this] { after_change(); });
  }
}

void KeyValueService::restore_backup() {
  table_.restore(backup_);
  after_change();
}

}  // namespace ochrespring::simulation
