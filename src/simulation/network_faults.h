// Partitions and bad links that heal by themselves.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "simulation/callers.h"
#include "simulation/reachability.h"

namespace ochrespring::simulation {

class NetworkFaults {
 public:
  NetworkFaults(Surroundings surroundings, NodeSlots& nodes, Reachability& reachability)
      : surroundings_(surroundings), nodes_(nodes), reachability_(reachability) {}

  /// Back ends that partitions may cut off along with nodes of their side.
  void set_backends(std::vector<HostName> backends) { backends_ = std::move(backends); }

  /// Cuts every link between the nodes and back ends whose bit is set in `side` and the others. The
  /// platform's services stay with one side or the other by the bit after the last back end.
  void partition(std::uint64_t side, Duration span);
  /// Cuts one direction between two nodes.
  void cut_one_way(std::uint32_t from, std::uint32_t to, Duration span);
  /// Cuts a node from all back ends.
  void cut_from_backends(std::uint32_t node, Duration span);
  void cut_from_key_value(std::uint32_t node, Duration span);
  void lose_messages(Duration span);
  void delay_messages(Duration span);
  /// Ends all of these now.
  void heal();

 private:
  using Link = std::pair<HostName, HostName>;

  void cut(std::vector<Link> links, Duration span);
  void apply_quality();
  HostName host_of(std::uint32_t node) const;

  Surroundings surroundings_;
  NodeSlots& nodes_;
  Reachability& reachability_;
  std::vector<HostName> backends_;
  std::uint64_t healed_generation_ = 0;
  FaultWindow lossy_;
  FaultWindow slow_;
};

}  // namespace ochrespring::simulation
