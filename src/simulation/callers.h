// The population of callers: sends requests, repeats keys through other nodes, goes away.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "simulation/caller.h"
#include "simulation/node_slot.h"

namespace ochrespring::simulation {

using NodeSlots = std::vector<std::unique_ptr<NodeSlot>>;

class Callers {
 public:
  Callers(Surroundings surroundings, NodeSlots& nodes)
      : surroundings_(surroundings), nodes_(nodes) {}

  /// Asks for a completion of `tokens` tokens through a node.
  void submit_completion(std::uint32_t node, std::uint32_t tokens, bool streaming);
  /// Sends a request that may not be repeated, under a key of its own.
  void send_once(std::uint32_t node);
  /// Sends the latest keys again, `back` keys ago, through a node.
  void repeat_key(std::uint32_t node, std::uint64_t back);
  /// One open caller closes its connection.
  void leave(std::uint64_t which);

  std::uint64_t submitted() const { return next_request_ - 1; }

 private:
  void submit(std::uint32_t node, CallerRequest request);
  CallerRequest relay_request(const std::string& key);
  RequestId next_id();

  Surroundings surroundings_;
  NodeSlots& nodes_;
  std::uint64_t next_request_ = 1;
  std::vector<std::string> keys_;
  std::vector<std::shared_ptr<CallerRecord>> open_;
};

}  // namespace ochrespring::simulation
