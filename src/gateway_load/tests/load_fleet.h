// A simulated fleet: several nodes, each with its own Placement and LoadTable, send requests of
// several classes to the same engines and receive each other's load reports with a delay. It runs
// in virtual time; a seed determines the run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/engine_profiles.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/peer_view.h"
#include "gateway/placement.h"
#include "simulated_engine.h"
#include "simulation/virtual_time.h"

namespace ochrespring::gateway_load {

/// A class of requests and the service level that its callers expect.
struct RequestClass {
  std::string name;
  double per_second = 1;  ///< Total over all nodes.
  std::uint32_t prompt_tokens = 1;
  std::uint32_t shared_tokens = 0;  ///< Leading prompt tokens shared with other requests.
  double mean_events = 1;           ///< Mean of a distribution truncated at `max_events`.
  std::uint32_t min_events = 1;
  std::uint32_t max_events = 1;
  Duration first_event{};  ///< Target latency of the first event.
  Duration gap{};          ///< Target gap between events.
  Duration deadline{};
  std::uint32_t priority = 0;
};

struct EngineOptions {
  gateway::EngineRole role = gateway::EngineRole::kDecode;
  double speed = 1;
  std::string zone = "z1";
};

struct FleetOptions {
  std::vector<RequestClass> classes;
  std::vector<EngineOptions> engines;
  std::vector<std::string> node_zones;  ///< One for each node.
  EnginePerformance performance{};
  Duration report_delay{std::chrono::milliseconds(40)};  ///< Delay of load reports between nodes.
  std::uint64_t seed = 1;
};

/// Outcomes of the requests of one class that arrived during the measured period.
struct Tally {
  std::uint32_t offered = 0;
  std::uint32_t on_time = 0;      ///< First event, all gaps and the end were in time.
  std::uint32_t late = 0;         ///< Completed before the deadline, but not on time.
  std::uint32_t rejected = 0;     ///< By the admission or for lack of an engine; not run.
  std::uint32_t cut_off = 0;      ///< Not finished at the deadline.
  std::uint32_t disconnects = 0;  ///< The caller disconnected.
  std::uint32_t interrupted = 0;  ///< The engine or the node terminated.

  double on_time_share() const { return offered == 0 ? 1 : 1.0 * on_time / offered; }
  std::uint32_t ended() const {
    return on_time + late + rejected + cut_off + disconnects + interrupted;
  }
};

using CallId = std::uint64_t;

/// A call that waits for admission. The Admission calls either `send` or `reject` exactly once,
/// immediately or later, and neither after `Admission::left`.
struct Arrival {
  std::size_t node = 0;
  CallId call = 0;
  const RequestClass* request_class = nullptr;
  MonotonicTime deadline;
  bool honored_retry_after = false;  ///< A retry at the time that the rejection named.
  std::function<void()> send;
  std::function<void(Duration retry_after)> reject;
};

/// Decides when each call is sent and which calls are rejected.
class Admission {
 public:
  virtual ~Admission() = default;
  virtual void arrived(const Arrival& arrival) = 0;
  /// A call ended before it was sent: the caller disconnected, the deadline passed or its
  /// node terminated.
  virtual void left(std::size_t node, CallId call) = 0;
  /// A call that was sent ended.
  virtual void ended(std::size_t node, CallId call) = 0;
};

/// Runs the fleet and tallies the outcomes of its calls.
class LoadFleet {
 public:
  explicit LoadFleet(FleetOptions options);
  ~LoadFleet();
  LoadFleet(const LoadFleet&) = delete;
  LoadFleet& operator=(const LoadFleet&) = delete;

  /// Null, the default, sends every call immediately.
  void set_admission(Admission* admission) { admission_ = admission; }
  /// Multiplies the configured demand of a class in one zone by `factor`.
  void set_demand_factor(const std::string& name, double factor, const std::string& zone);
  void set_demand_factor(const std::string& name, double factor);
  /// Makes work at an engine take `factor` times as long as usual.
  void set_slowdown(std::size_t engine, double factor);
  /// Callers of the class disconnect this long after their call arrives.
  void set_disconnect_after(const std::string& name, Duration disconnect_after);
  /// Callers of the class retry a call that the admission rejects before the deadline of their
  /// first call: at the same node, after `wait` or, if it is empty, after the time that the
  /// rejection named; not if that node has terminated or arrivals have stopped. Each retry is a new
  /// call with a full deadline of its own.
  void set_retries(const std::string& name, std::optional<Duration> wait) { retries_[name] = wait; }
  /// Terminates the engine: its calls break off and all nodes remove it.
  void terminate_engine(std::size_t engine);
  /// Terminates the node: its calls break off and later callers use the other nodes.
  void terminate_node(std::size_t node);
  void schedule_after(Duration delay, std::function<void()> callback) {
    time_.schedule_after(delay, std::move(callback));
  }
  /// Generates calls for `warm_up` + `measured`, then runs until all calls have ended. Calls that
  /// arrive during `warm_up` are not tallied.
  void run(Duration warm_up, Duration measured);
  const Tally& tally(const std::string& name) const { return tallies_.at(name); }

  /// Demand that keeps all engines busy at their usual speed, as a multiple of the configured
  /// demand: an upper bound of what any placement can serve.
  double capacity() const;

 private:
  class DelayedPeerLoads;
  class ExactProfiles;
  struct Node;
  struct Call;

  gateway::Placement make_placement(Node& node);
  gateway::PlacementRequest placement_request(const Call& call) const;
  std::uint32_t draw_events(const RequestClass& request_class, RandomSource& random) const;
  gateway::Prompt make_prompt(const RequestClass& request_class, std::uint32_t events, CallId id);
  void schedule_arrival(std::size_t class_index, std::size_t node);
  void arrive(std::size_t class_index, std::size_t node,
              std::optional<MonotonicTime> first_arrival = std::nullopt);
  bool honors_retry_after(const RequestClass& request_class) const;
  void reject(CallId id, std::size_t class_index, Duration retry_after);
  void send(CallId id);
  void submit(Call& call, engine_model::SequenceKind kind, SimulatedEngine& engine,
              MonotonicTime import_ready);
  void tick();
  void take_event(SimulatedEngine& engine, const engine_model::SequenceEvent& event);
  void transfer_to_decode_engine(Call& call, SimulatedEngine& prefill_engine);
  void note_output(Call& call, SimulatedEngine& engine, const engine_model::SequenceEvent& event);
  /// Ends a call: `outcome` goes to the load table, `count` is the tally to increment.
  void end(CallId id, gateway::AttemptOutcome outcome, std::uint32_t Tally::*count);
  void end_calls_if(const std::function<bool(const Call&)>& affected);
  void end_attempt(Call& call, gateway::AttemptOutcome outcome);
  SimulatedEngine& engine_of(const gateway::Backend& backend) { return *engines_.at(backend.id); }
  void send_report_to_peers(std::size_t node, const gateway::BackendId& engine);

  FleetOptions options_;
  SeededRandom random_;
  simulation::VirtualTime time_;
  std::map<gateway::BackendId, std::unique_ptr<SimulatedEngine>> engines_;
  std::vector<gateway::BackendId> engine_order_;
  std::unique_ptr<ExactProfiles> profiles_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<CallId, Call> calls_;
  CallId next_call_ = 1;
  std::map<std::string, Tally> tallies_;
  std::map<std::pair<std::string, std::string>, double> demand_;  ///< By class and zone.
  std::map<std::string, Duration> disconnect_after_;
  std::map<std::string, std::optional<Duration>> retries_;
  Admission* admission_ = nullptr;
  std::vector<std::size_t> running_nodes_;
  bool measuring_ = false;
  bool arriving_ = true;
};

}  // namespace ochrespring::gateway_load
