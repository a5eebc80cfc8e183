// Reads the cache events of the engines assigned to this node, one engine at a time, at the rate
// its share of the group's budget allows. In a large group that share is nothing, and proxies rely
// on what they sent themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/time.h"
#include "digest/messages.h"
#include "digest/poll_assignment.h"
#include "digest/settings.h"
#include "external/engine_control.h"

namespace ochrespring::digest {

/// Used on the control loop only.
class CachePoller {
 public:
  using Sink = std::function<void(const CacheRecord& record)>;

  CachePoller(external::EngineControl& engines, const DigestSettings& settings, Sink sink)
      : engines_(engines), settings_(settings), sink_(std::move(sink)) {}

  /// Replaces the engines, and the size of the group the events are spread in.
  void set_servers(const std::vector<ServerLayout>& servers, std::size_t group_nodes);
  /// Asks the engines whose turn has come.
  void poll(MonotonicTime now);
  std::uint64_t events_dropped() const { return events_dropped_; }

 private:
  struct Engine {
    EngineId id;
    Endpoint endpoint;
    std::uint64_t after = 0;
    Incarnation incarnation;
    MonotonicTime next;
    bool outstanding = false;
  };
  void on_events(Engine& engine, const external::CacheEventBatch& batch);

  external::EngineControl& engines_;
  const DigestSettings& settings_;
  Sink sink_;
  std::map<EngineId, std::shared_ptr<Engine>> polled_;
  double bytes_per_second_ = 0;  ///< This node's share.
  double allowance_ = 0;
  MonotonicTime refilled_;
  std::uint64_t events_dropped_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace ochrespring::digest
