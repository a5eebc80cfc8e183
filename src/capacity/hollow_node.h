// One node's control components in a process shared with many others: real components and real
// encoded messages over an in-memory network, metered.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "capacity/fleet_shape.h"
#include "capacity/hollow_engines.h"
#include "capacity/node_meter.h"
#include "config/config_service.h"
#include "digest/digest_service.h"
#include "ledger/ledger_node.h"
#include "membership/membership_service.h"
#include "router/fleet_view.h"
#include "simulation/in_memory_transport.h"
#include "simulation/local_key_value_store.h"

namespace ochrespring::capacity {

/// Timers of one node; callbacks run under its meter.
class MeteredTimers final : public TimerService {
 public:
  MeteredTimers(simulation::VirtualTime& time, NodeMeter& meter) : time_(time), meter_(meter) {}
  ~MeteredTimers() override;
  MeteredTimers(const MeteredTimers&) = delete;
  MeteredTimers& operator=(const MeteredTimers&) = delete;

  TimerId schedule_after(Duration delay, std::function<void()> callback) override;
  void cancel(TimerId timer) override;

 private:
  simulation::VirtualTime& time_;
  NodeMeter& meter_;
  TimerId next_ = 1;
  struct Scheduled {
    TimerId timer = 0;  ///< Of virtual time.
    std::function<void()> callback;
  };
  std::unordered_map<TimerId, Scheduled> scheduled_;
};

/// Hands messages over in blocks that belong to no node, since the receiver frees them.
class MeteredTransport final : public peer::Transport {
 public:
  explicit MeteredTransport(simulation::InMemoryTransport& transport) : transport_(transport) {}
  void send(const Endpoint& to, peer::Channel channel, std::string payload) override;

 private:
  simulation::InMemoryTransport& transport_;
};

/// The platform's machine list: all nodes and servers.
class HollowMachines {
 public:
  std::map<std::string, external::Machine> machines;
  std::uint64_t reads = 0;
};

/// One node's reads of it, through the JSON form.
class HollowMachineList final : public external::MachineList {
 public:
  HollowMachineList(simulation::VirtualTime& time, HollowMachines& machines, NodeMeter& meter)
      : time_(time), machines_(machines), meter_(meter) {}
  void list(external::ExternalCallback<std::vector<external::Machine>> done) override;
  std::uint64_t bytes_received() const { return bytes_received_; }

 private:
  simulation::VirtualTime& time_;
  HollowMachines& machines_;
  NodeMeter& meter_;
  std::uint64_t bytes_received_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

/// What the nodes of one run share.
struct HollowWorld {
  simulation::VirtualTime& time;
  RandomSource& random;
  simulation::InMemoryNetwork& network;
  simulation::LocalKeyValueService& key_values;
  HollowMachines& machines;
  HollowEngines& engines;
};

/// Bytes between a node and the platform, and between nodes.
struct NodeTraffic {
  simulation::Traffic peers;
  std::uint64_t platform_sent = 0;
  std::uint64_t platform_received = 0;
};

class HollowNode final : private operator_api::RevisionObserver {
 public:
  /// With `publishes_views` the node also builds the proxies' snapshots; that costs the same on
  /// every node, so that a few of them stand for all.
  HollowNode(HollowWorld world, membership::Member self, bool publishes_views);
  ~HollowNode() override;
  HollowNode(const HollowNode&) = delete;
  HollowNode& operator=(const HollowNode&) = delete;

  void start();
  /// An operator's change through this node.
  void mutate(const fleet::Mutation& mutation, std::function<void(bool accepted)> done);

  const membership::Member& member() const { return self_; }
  const membership::MembershipService& membership() const { return membership_; }
  const config::ConfigService& config() const { return config_; }
  const digest::DigestService& digest() const { return digest_; }
  /// When a revision came into force here; none if it has not.
  std::optional<MonotonicTime> in_force_since(Revision revision) const;
  const NodeMeter& meter() const { return meter_; }
  NodeTraffic traffic() const;
  std::uint64_t bytes_sent_on(peer::Channel channel) const {
    return transport_->bytes_sent_on(channel);
  }

 private:
  void on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) override;
  void report_demand();
  void publish_view();

  HollowWorld world_;
  NodeMeter meter_;
  MeteredTimers timers_;
  membership::Member self_;
  logging::NullLogger logger_;
  std::unique_ptr<simulation::InMemoryTransport> transport_;
  MeteredTransport metered_transport_;
  simulation::LocalKeyValueStore store_;
  HollowMachineList machine_list_;
  HollowEngineControl engine_control_;
  membership::MembershipService membership_;
  config::ConfigService config_;
  digest::DigestService digest_;
  ledger::LedgerNode ledger_;
  bool publishes_views_;
  Timer demand_timer_;
  Timer view_timer_;
  router::FleetViewPointer view_;
  std::map<Revision, MonotonicTime> revisions_;
};

}  // namespace ochrespring::capacity
