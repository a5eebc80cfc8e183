// What a node knows of load, demand and leaving machines, and the exchange that keeps it fresh at a
// bounded cost.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "base/timer.h"
#include "digest/cache_poller.h"
#include "digest/demand_collector.h"
#include "digest/leaving_machines.h"
#include "digest/outbox.h"
#include "digest/server_poller.h"
#include "digest/topology.h"
#include "external/machine_list.h"
#include "peer/transport.h"

namespace ochrespring::digest {

/// What the service is built from; everything outlives it. `machine_list` may be null.
struct DigestDependencies {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  external::EngineControl& engine_control;
  const membership::MemberView& members;
  external::MachineList* machine_list = nullptr;
};

/// Told on the control loop.
class DigestObserver {
 public:
  virtual ~DigestObserver() = default;
  /// The platform says a machine (node or server) is leaving, or is not any more.
  virtual void on_machine_leaving(const std::string& machine, bool leaving) = 0;
  /// Cache events of an engine, read by this node or another.
  virtual void on_cache_events(const EngineId& engine, Incarnation incarnation,
                               const std::vector<engine::CacheEvent>& events) = 0;
};

/// Counters since the start, and gauges.
struct DigestStatistics {
  std::uint64_t polls = 0;
  std::uint64_t poll_failures = 0;
  std::uint64_t batches_sent = 0;
  std::uint64_t batches_received = 0;
  std::uint64_t bytes_sent = 0;  ///< Payload.
  std::uint64_t bytes_received = 0;
  std::uint64_t records_received = 0;
  std::uint64_t records_repeated = 0;  ///< Received though known.
  std::uint64_t machine_list_reads = 0;
  std::uint64_t malformed_messages = 0;
  BudgetStatistics budget;
  std::uint64_t servers_assigned = 0;    ///< Gauge.
  std::uint64_t group_nodes = 0;         ///< Gauge.
  std::uint64_t cycle_milliseconds = 0;  ///< Gauge; above the setting when stretched by the budget.
  bool coarse = false;                   ///< Gauge; the budget does not allow full detail.
};

/// One per node, on the control loop; the node passes messages of Channel::kDigest in.
class DigestService final : public peer::Receiver {
 public:
  DigestService(DigestSettings settings, DigestDependencies dependencies);

  void start();
  void set_observer(DigestObserver* observer) { observer_ = observer; }
  /// A new document is in force.
  void on_document(std::shared_ptr<const fleet::FleetDocument> document);
  /// Demand at this node's proxies over the last interval, replacing what was reported before.
  void on_demand(const std::vector<planner::DemandSample>& samples);

  /// Freshest load of an engine of the document: its own in this node's group, else its zone's mean
  /// for its kind; none if nothing recent is known.
  std::optional<LoadReading> load(const fleet::Engine& engine) const;
  /// Demand per model over the fleet, or over one region, as last reported.
  std::vector<planner::DemandSample> demand(const std::optional<RegionName>& region = {}) const;
  /// Whether the platform says a machine is leaving.
  bool leaving(const std::string& machine) const { return leaving_machines_.leaving(machine); }
  std::vector<std::string> leaving_machines() const { return leaving_machines_.names(); }

  void on_message(const Endpoint& from, std::string_view payload) override;

  DigestStatistics statistics() const;

 private:
  void run_slot();
  void arm_next_slot();
  void begin_cycle();
  void refresh_topology();
  void run_demand(MonotonicTime now);
  void run_links(MonotonicTime now);
  ZoneAggregate aggregate_of(const ZoneKey& zone, MonotonicTime now) const;
  void run_machine_list(MonotonicTime now);
  void send_batch(std::size_t dimension);
  void follow_pace(const Endpoint& from, const Batch& batch);
  void publish_group_demand(MonotonicTime now);

  void on(const Endpoint& from, const Batch& message);
  void on(const Endpoint& from, const DemandReport& message);
  void on(const Endpoint& from, const ZoneLink& message);
  void on(const Endpoint& from, const LeavingNotice& message);
  void flood(const LeavingNotice& notice, const Endpoint& except);
  void on_own_record(const LoadRecord& record);
  void on_cache_record(const CacheRecord& record, std::size_t range);
  ZoneKey group_zone() const;
  void send(const Endpoint& to, const Message& message);

  DigestSettings settings_;
  const Clock& clock_;
  RandomSource& random_;
  peer::Transport& transport_;
  const membership::MemberView& members_;
  external::MachineList* machine_list_;
  DigestObserver* observer_ = nullptr;
  Timer slot_timer_;

  std::shared_ptr<const fleet::FleetDocument> document_;
  std::vector<ServerLayout> layouts_;
  Topology topology_;
  std::uint64_t members_version_ = UINT64_MAX;
  std::uint64_t members_fingerprint_ = 0;
  bool document_changed_ = true;
  LoadTable loads_;
  ZoneAggregates aggregates_;
  Outbox outbox_;
  ServerPoller poller_;
  CachePoller cache_poller_;
  DemandCollector demand_;
  LeavingMachines leaving_machines_;

  std::size_t slot_ = 0;  ///< Next to run; zero begins a cycle.
  MonotonicTime cycle_start_;
  MonotonicTime next_demand_;
  MonotonicTime next_publication_;
  MonotonicTime next_near_link_;
  MonotonicTime next_far_link_;
  MonotonicTime next_machine_list_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< Guards late callbacks.
  DigestStatistics statistics_;
};

}  // namespace ochrespring::digest
