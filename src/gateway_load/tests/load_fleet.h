// Several nodes, each with its own Placement and LoadTable, that serve classes of requests at the
// same engines and hear of each other's work with a delay. Virtual time; one seed gives one run.
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

/// One class of requests and what its callers expect.
struct RequestClass {
  std::string name;
  double per_second = 1;  ///< Of all nodes.
  std::uint32_t prompt_tokens = 1;
  std::uint32_t shared_tokens = 0;  ///< Of the prompt; common to many requests.
  double mean_events = 1;           ///< Of a distribution cut off at `most_events`.
  std::uint32_t least_events = 1;
  std::uint32_t most_events = 1;
  Duration first_event{};  ///< Target latency.
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
  Duration news_delay{std::chrono::milliseconds(40)};  ///< Between nodes.
  std::uint64_t seed = 1;
};

/// What callers of one class got of the requests that came while measured.
struct Tally {
  std::uint32_t offered = 0;
  std::uint32_t on_time = 0;      ///< First event, gaps and end.
  std::uint32_t late = 0;         ///< Whole before the deadline, but not on time.
  std::uint32_t rejected = 0;     ///< Told that it has not run.
  std::uint32_t cut_off = 0;      ///< At the deadline.
  std::uint32_t disconnects = 0;  ///< Left by their callers.
  std::uint32_t broken = 0;       ///< Their engine or their node has ended.

  double on_time_share() const { return offered == 0 ? 1 : 1.0 * on_time / offered; }
  std::uint32_t ended() const { return on_time + late + rejected + cut_off + disconnects + broken; }
};

using CallId = std::uint64_t;

/// A call before its send. One of `send` and `reject` is called once, now or later, or none after
/// the call has left.
struct Arrival {
  std::size_t node = 0;
  CallId call = 0;
  const RequestClass* request_class = nullptr;
  MonotonicTime deadline;
  bool came_back = false;  ///< When it was told to, after a rejection.
  std::function<void()> send;
  std::function<void(Duration retry_after)> reject;
};

/// Decides before a send.
class Admission {
 public:
  virtual ~Admission() = default;
  virtual void arrived(const Arrival& arrival) = 0;
  /// The caller has left, or the deadline has passed.
  virtual void left(std::size_t node, CallId call) = 0;
  /// A call that was sent has ended.
  virtual void ended(std::size_t node, CallId call) = 0;
};

class LoadFleet {
 public:
  explicit LoadFleet(FleetOptions options);
  ~LoadFleet();
  LoadFleet(const LoadFleet&) = delete;
  LoadFleet& operator=(const LoadFleet&) = delete;

  /// Null, as at first: everything is sent at once.
  void set_admission(Admission* admission) { admission_ = admission; }
  /// Demand of a class in a zone becomes so many times its usual.
  void set_demand(const std::string& name, double factor, const std::string& zone);
  void set_demand(const std::string& name, double factor);
  /// Work at an engine takes `pace` times as long as usual.
  void set_pace(std::size_t engine, double pace);
  /// Callers of a class leave so long after they came.
  void set_patience(const std::string& name, Duration patience);
  /// Rejected callers of a class come back as new calls until their first deadline: after `wait`,
  /// or, with none, when they are told to.
  void set_retries(const std::string& name, std::optional<Duration> wait) { retries_[name] = wait; }
  /// The engine ends with all that it works on, and leaves the directory of all nodes.
  void end_engine(std::size_t engine);
  /// The node ends: its calls are broken off and its callers go to the other nodes from then on.
  void end_node(std::size_t node);
  void at(Duration delay, std::function<void()> callback) {
    time_.schedule_after(delay, std::move(callback));
  }
  /// Serves for so long; then all calls end. Calls that come in the first `warm_up` do not count.
  void run(Duration warm_up, Duration measured);
  const Tally& of(const std::string& name) const { return tallies_.at(name); }

  /// Requests per second of the mix of classes that would keep all engines busy at their usual
  /// pace, as a multiple of the configured demand: an upper bound of what any placement can serve.
  double capacity() const;

 private:
  class DelayedPeers;
  class TrueProfiles;
  struct Node;
  struct Call;

  gateway::Placement make_placement(Node& node);
  gateway::PlacementRequest placement_request(const Call& call) const;
  std::uint32_t draw_events(const RequestClass& request_class, RandomSource& random) const;
  gateway::Prompt make_prompt(const RequestClass& request_class, std::uint32_t events, CallId id);
  void schedule_arrival(std::size_t class_index, std::size_t node);
  void arrive(std::size_t class_index, std::size_t node,
              std::optional<MonotonicTime> came_first = std::nullopt);
  bool obeys(const RequestClass& request_class) const;
  void reject(CallId id, std::size_t class_index, Duration retry_after);
  void send(CallId id);
  void submit(Call& call, engine_model::SequenceKind kind, SimulatedEngine& engine,
              MonotonicTime import_ready);
  void tick();
  void take_event(SimulatedEngine& engine, const engine_model::SequenceEvent& event);
  void hand_over(Call& call, SimulatedEngine& reader);
  void note_output(Call& call, SimulatedEngine& engine, const engine_model::SequenceEvent& event);
  /// Ends a call with the verdict that its engines get and the count of the tally it belongs to.
  void end(CallId id, gateway::AttemptOutcome verdict, std::uint32_t Tally::*count);
  void end_all(const std::function<bool(const Call&)>& concerned);
  void end_attempt(Call& call, gateway::AttemptOutcome verdict);
  SimulatedEngine& engine_of(const gateway::Backend& backend) { return *engines_.at(backend.id); }
  void tell_peers(std::size_t node, const gateway::BackendId& engine);

  FleetOptions options_;
  SeededRandom random_;
  simulation::VirtualTime time_;
  std::map<gateway::BackendId, std::unique_ptr<SimulatedEngine>> engines_;
  std::vector<gateway::BackendId> engine_order_;
  std::unique_ptr<TrueProfiles> profiles_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<CallId, Call> calls_;
  CallId next_call_ = 1;
  std::map<std::string, Tally> tallies_;
  std::map<std::pair<std::string, std::string>, double> demand_;  ///< By class and zone.
  std::map<std::string, Duration> patience_;
  std::map<std::string, std::optional<Duration>> retries_;
  Admission* admission_ = nullptr;
  std::vector<std::size_t> living_nodes_;
  bool measuring_ = false;
  bool arriving_ = true;
};

}  // namespace ochrespring::gateway_load
