#include "standin/model/relay_log.h"

namespace ochrespring::standin {

std::uint64_t RelayLog::record_run(const std::string& key) {
  ++runs_;
  if (key.empty()) {
    return 1;
  }
  return ++runs_by_key_[key];
}

std::vector<RelayKeyCount> RelayLog::doubled() const {
  std::vector<RelayKeyCount> found;
  for (const auto& [key, runs] : runs_by_key_) {
    if (runs > 1) {
      found.push_back({key, runs});
    }
  }
  return found;
}

std::uint64_t RelayLog::runs_of(const std::string& key) const {
  const auto found = runs_by_key_.find(key);
  return found == runs_by_key_.end() ? 0 : found->second;
}

}  // namespace ochrespring::standin
