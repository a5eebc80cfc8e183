// A fleet before a store that names no era.
#pragma once

#include <string>

#include "gateway_node/tests/large_fleet.h"

namespace ochrespring::gateway_node::testing {

/// Of a bound of 4 s: as long as a change may take to all nodes while the store answers.
inline constexpr Duration kToAllNodes = 3400ms;

struct UnnamedFleet : LargeFleet {
  explicit UnnamedFleet(int node_count, bool heartbeats = false, double loss = 0.0)
      : LargeFleet(node_count, loss) {
    state.names_era = false;
    start();
    servers_write = heartbeats;
    advance(kToAllNodes);
  }
  /// The store is out, and comes back as it was at the copy; what is written from then on is there
  /// before anybody reads it.
  template <class Writes>
  void come_back_as(const StoreState::Copy& copy, const Writes& writes) {
    state.down = true;
    advance(2s);
    state.set_back_to(copy);
    writes();
    state.down = false;
  }
  void write_others(const std::string& prefix, int count) {
    for (int i = 0; i != count; ++i) {
      state.put(prefix + std::to_string(i), "value");
    }
  }
  std::size_t count_draining(const std::string& backend) const {
    return count([&](const FleetNode& node) {
      const gateway::Backend* known = node.fleet.find(gateway::BackendId(backend));
      return known != nullptr && known->draining;
    });
  }
  std::size_t count_in_second_life() const {
    return count([](const FleetNode& node) { return node.watcher.statistics().eras_begun == 1; });
  }
  bool views_are_of_the_store() const {
    return count([&](const FleetNode& node) { return is_of_the_store(node.fleet); }) ==
           nodes.size();
  }
  bool is_of_the_store(const gateway::FleetState& view) const {
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
