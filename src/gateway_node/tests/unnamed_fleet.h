// A fleet whose store names no era in its answers.
#pragma once

#include <string>

#include "gateway_node/tests/large_fleet.h"

namespace ochrespring::gateway_node::testing {

/// Maximum time for a change to reach all nodes while the store is available, as part of the
/// staleness bound of 4 s.
inline constexpr Duration kPropagationBound = 3400ms;

struct UnnamedEraFleet : LargeFleet {
  explicit UnnamedEraFleet(int node_count, bool heartbeats = false, double loss = 0.0)
      : LargeFleet(node_count, loss) {
    state.names_era = false;
    start();
    heartbeats_enabled = heartbeats;
    advance(kPropagationBound);
  }
  /// The store is unavailable for 2 s and is then restored from the copy. Calls `writes` before any
  /// node reads the store.
  template <class Writes>
  void restore_from(const FakeStoreState::Copy& copy, const Writes& writes) {
    state.down = true;
    advance(2s);
    state.roll_back_to(copy);
    writes();
    state.down = false;
  }
  void write_other_keys(const std::string& prefix, int count) {
    for (int i = 0; i != count; ++i) {
      state.put(prefix + std::to_string(i), "value");
    }
  }
  std::size_t count_draining(const std::string& backend) const {
    return count([&](const FleetNode& node) {
      const gateway::Backend* known = node.view.find(gateway::BackendId(backend));
      return known != nullptr && known->draining;
    });
  }
  std::size_t count_in_second_era() const {
    return count([](const FleetNode& node) { return node.watcher.statistics().eras_begun == 1; });
  }
  bool views_match_store() const {
    return count([&](const FleetNode& node) { return matches_store(node.view); }) == nodes.size();
  }
  bool matches_store(const gateway::FleetState& view) const {
    std::size_t live = 0;
    for (const auto& [key, item] : state.items) {
      if (!item.value || !key.starts_with("backends/")) {
        continue;
      }
      ++live;
      const gateway::Backend* known = view.find(gateway::BackendId(key.substr(9)));
      if (known == nullptr || (*item.value == "draining" && !known->draining)) {
        return false;
      }
    }
    return view.backends().size() == live;
  }
};

}  // namespace ochrespring::gateway_node::testing
