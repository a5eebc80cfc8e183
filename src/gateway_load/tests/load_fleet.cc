#include "load_fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace ochrespring::gateway_load {

using namespace std::chrono_literals;
using engine_model::SequenceEventKind;
using engine_model::SequenceKind;
using gateway::AttemptOutcome;
using gateway::BackendId;

namespace {

/// Interval at which nodes receive the events of engines; the times of events are exact.
constexpr Duration kTick = 1ms;
/// Distinct shared prompts of a class; all of them fit into the cache of every engine.
constexpr std::uint64_t kSharedPrompts = 12;
/// A stream counts as long while at least this many events remain.
constexpr std::uint32_t kLongStreamMinEvents = 4;
/// Time after which nodes discard the last report of a node, as PeerWork::kReportLifetime.
constexpr Duration kReportLifetime = 2500ms;
constexpr int kSampledCalls = 20'000;
const ServiceName kService("llm");

}  // namespace

/// Work of the other nodes as of `report_delay` ago.
class LoadFleet::DelayedPeerLoads final : public gateway::PeerView {
 public:
  void receive(std::size_t node, const BackendId& engine, gateway::EngineWorkload work) {
    work_[engine][node] = work;
  }
  void expire(std::size_t node) {
    for (auto& [engine, work] : work_) {
      work.erase(node);
    }
  }
  gateway::EngineWorkload work_at(const BackendId& engine, MonotonicTime /*now*/) const override {
    gateway::EngineWorkload sum;
    const auto found = work_.find(engine);
    if (found != work_.end()) {
      for (const auto& [node, work] : found->second) {
        sum += work;
      }
    }
    return sum;
  }

 private:
  std::map<BackendId, std::map<std::size_t, gateway::EngineWorkload>> work_;
};

/// Returns the exact profiles of the engines; the profiles that a real node learns approach them.
class LoadFleet::ExactProfiles final : public gateway::EngineProfiles {
 public:
  explicit ExactProfiles(const LoadFleet& fleet) : fleet_(fleet) {}

  std::optional<gateway::EngineProfile> find(const gateway::Backend& engine,
                                             MonotonicTime /*now*/) const override;
  double share_slower_than(const ServiceName& /*service*/, double factor,
                           MonotonicTime /*now*/) const override {
    double slower = 0;
    double all = 0;
    for (const auto& [percent, ticks] : ticks_at_pace_) {
      all += ticks;
      slower += percent > 100 * factor ? ticks : 0;
    }
    return all == 0 ? 0 : slower / all;
  }
  std::optional<gateway::EngineProfile> usual(const ServiceName& service,
                                              MonotonicTime now) const override;
  void note_pace(std::uint32_t percent) { ++ticks_at_pace_[percent]; }

 private:
  const LoadFleet& fleet_;
  std::map<std::uint32_t, std::uint32_t> ticks_at_pace_;
};

struct LoadFleet::Node {
  Node(std::string in_zone, std::uint64_t seed) : zone(std::move(in_zone)), random(seed) {}

  std::string zone;
  SeededRandom random;
  gateway::FleetState fleet;
  gateway::LoadTable loads;
  DelayedPeerLoads peers;
  std::unique_ptr<gateway::Placement> placement;
};

struct LoadFleet::Call {
  CallId id = 0;
  const RequestClass* request_class = nullptr;
  std::size_t node = 0;
  MonotonicTime arrived;
  MonotonicTime first_arrival;  ///< Arrival of the caller's first call, before any retry.
  MonotonicTime deadline;
  std::uint32_t events = 1;
  gateway::Prompt prompt;
  bool counted = false;
  bool sent = false;
  BackendId decode_engine{};
  BackendId current_engine{};            ///< Engine that processes the call now; empty: none.
  std::uint64_t unprefilled_tokens = 0;  ///< Counted in the LoadTable, not yet prefilled.
  std::uint32_t events_sent = 0;         ///< Events sent to the caller.
  MonotonicTime last_event{};
  bool on_time = true;
};

std::optional<gateway::EngineProfile> LoadFleet::ExactProfiles::find(const gateway::Backend& engine,
                                                                     MonotonicTime /*now*/) const {
  const auto found = fleet_.engines_.find(engine.id);
  if (found == fleet_.engines_.end()) {
    return std::nullopt;
  }
  gateway::EngineProfile profile = found->second->profile();
  for (const auto& [id, call] : fleet_.calls_) {
    profile.long_streams +=
        call.current_engine == engine.id && call.events >= call.events_sent + kLongStreamMinEvents;
  }
  return profile;
}

std::optional<gateway::EngineProfile> LoadFleet::ExactProfiles::usual(
    const ServiceName& /*service*/, MonotonicTime /*now*/) const {
  std::vector<gateway::EngineProfile> all;
  for (const auto& [id, engine] : fleet_.engines_) {
    all.push_back(engine->profile());
  }
  const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
  std::nth_element(all.begin(), middle, all.end(), [](const auto& one, const auto& other) {
    return one.output_token < other.output_token;
  });
  return *middle;
}

LoadFleet::LoadFleet(FleetOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      profiles_(std::make_unique<ExactProfiles>(*this)) {
  for (const EngineOptions& engine : options_.engines) {
    gateway::Backend backend;
    backend.id = BackendId("i-" + std::to_string(engine_order_.size()));
    backend.service = kService;
    backend.zone = ZoneName(engine.zone);
    backend.slots = options_.performance.slots;
    backend.version = gateway::SoftwareVersion("v1");
    backend.role = engine.role;
    engine_order_.push_back(backend.id);
    engines_[backend.id] =
        std::make_unique<SimulatedEngine>(backend, options_.performance, engine.speed);
  }
  for (const std::string& zone : options_.node_zones) {
    const std::size_t index = nodes_.size();
    nodes_.push_back(std::make_unique<Node>(zone, random_.next()));
    Node& node = *nodes_.back();
    for (const auto& [id, engine] : engines_) {
      node.fleet.put(engine->backend());
    }
    node.loads.set_peers(&node.peers);
    node.loads.on_change([this, index](const BackendId& id) { send_report_to_peers(index, id); });
    node.loads.on_parts_cached(
        [this, index](const BackendId& id, const std::vector<std::uint64_t>& keys) {
          schedule_after(options_.report_delay, [this, index, id, keys] {
            for (std::size_t other = 0; other != nodes_.size(); ++other) {
              if (other != index) {
                for (const std::uint64_t key : keys) {
                  nodes_[other]->loads.note_cached(id, key, time_.now());
                }
              }
            }
          });
        });
    node.placement = std::make_unique<gateway::Placement>(make_placement(node));
    running_nodes_.push_back(index);
  }
}

LoadFleet::~LoadFleet() = default;

// Only the two functions below depend on the inputs of Placement.
gateway::Placement LoadFleet::make_placement(Node& node) {
  return {node.fleet, node.loads, node.random, ZoneName(node.zone), profiles_.get()};
}

gateway::PlacementRequest LoadFleet::placement_request(const Call& call) const {
  gateway::PlacementRequest request;
  request.service = kService;
  request.prompt = &call.prompt;
  const RequestClass& request_class = *call.request_class;
  Duration shortest_gap = request_class.gap;
  for (const RequestClass& other : options_.classes) {
    shortest_gap = std::min(shortest_gap, other.gap);
  }
  const std::uint32_t tokens = options_.performance.tokens_per_event;
  request.stream = gateway::StreamRequirements{
      .target_gap = request_class.gap,
      .min_target_gap = shortest_gap,
      .time_left = call.deadline - time_.now(),
      .tokens_per_event = tokens,
      .expected_events =
          std::ceil(static_cast<double>(call.prompt.expected_output_tokens) / tokens),
      .max_events = std::ceil(static_cast<double>(call.prompt.output_tokens) / tokens)};
  return request;
}

void LoadFleet::send_report_to_peers(std::size_t node, const BackendId& engine) {
  const gateway::EngineWorkload work = nodes_[node]->loads.own(engine);
  schedule_after(options_.report_delay, [this, node, engine, work] {
    for (std::size_t other = 0; other != nodes_.size(); ++other) {
      if (other != node) {
        nodes_[other]->peers.receive(node, engine, work);
      }
    }
  });
}

void LoadFleet::set_demand_factor(const std::string& name, double factor, const std::string& zone) {
  demand_[{name, zone}] = factor;
}

void LoadFleet::set_demand_factor(const std::string& name, double factor) {
  for (const std::string& zone : options_.node_zones) {
    set_demand_factor(name, factor, zone);
  }
}

void LoadFleet::set_slowdown(std::size_t engine, double factor) {
  engines_.at(engine_order_.at(engine))->set_slowdown(factor, time_.now());
}

void LoadFleet::terminate_engine(std::size_t engine) {
  const BackendId id = engine_order_.at(engine);
  engine_order_.erase(engine_order_.begin() + static_cast<std::ptrdiff_t>(engine));
  for (const auto& node : nodes_) {
    node->fleet.remove(id);
  }
  end_calls_if(
      [&](const Call& call) { return call.current_engine == id || call.decode_engine == id; });
  engines_.erase(id);
}

void LoadFleet::terminate_node(std::size_t node) {
  std::erase(running_nodes_, node);
  // The other nodes receive no notice: they count its work until its report expires.
  nodes_.at(node)->loads = gateway::LoadTable();
  end_calls_if([&](const Call& call) { return call.node == node; });
  schedule_after(kReportLifetime, [this, node] {
    for (const auto& other : nodes_) {
      other->peers.expire(node);
    }
  });
}

void LoadFleet::end_calls_if(const std::function<bool(const Call&)>& affected) {
  std::vector<CallId> ended;
  for (const auto& [id, call] : calls_) {
    if (affected(call)) {
      ended.push_back(id);
    }
  }
  for (const CallId id : ended) {
    end(id, AttemptOutcome::kAbandoned, &Tally::interrupted);
  }
}

void LoadFleet::set_disconnect_after(const std::string& name, Duration disconnect_after) {
  disconnect_after_[name] = disconnect_after;
}

std::uint32_t LoadFleet::draw_events(const RequestClass& request_class,
                                     RandomSource& random) const {
  const double more = request_class.mean_events - request_class.min_events;
  const auto events =
      request_class.min_events + static_cast<std::uint32_t>(std::lround(random.exponential(more)));
  return std::min(events, request_class.max_events);
}

double LoadFleet::capacity() const {
  SeededRandom random(options_.seed);
  double prefill = 0;  // Engine-seconds per second at a prefill-only engine of speed 1.
  double decode = 0;   // The same at any other engine with all slots in use.
  const EnginePerformance& performance = options_.performance;
  for (const RequestClass& request_class : options_.classes) {
    double gaps = 0;
    for (int i = 0; i != kSampledCalls; ++i) {
      gaps += draw_events(request_class, random) - 1;
    }
    const double tokens = gaps / kSampledCalls * performance.tokens_per_event;
    prefill += request_class.per_second *
               (request_class.prompt_tokens - request_class.shared_tokens) * 1e-3 /
               performance.prompt_tokens_per_ms;
    decode += request_class.per_second * tokens * to_seconds(performance.output_token) /
              performance.slots;
  }
  double prefill_speed = 0;
  double decode_speed = 0;
  for (const EngineOptions& engine : options_.engines) {
    (engine.role == gateway::EngineRole::kPrefill ? prefill_speed : decode_speed) += engine.speed;
  }
  // Prefill that exceeds the prefill-only engines takes twice the time at the others.
  return std::min(decode_speed / decode,
                  (decode_speed + 2 * prefill_speed) / (decode + 2 * prefill));
}

gateway::Prompt LoadFleet::make_prompt(const RequestClass& request_class, std::uint32_t events,
                                       CallId id) {
  const std::uint32_t shared = request_class.shared_tokens;
  const std::string own =
      "own" + std::to_string(id) + ":" + std::to_string(request_class.prompt_tokens - shared);
  const std::string parts = shared == 0 ? own
                                        : request_class.name +
                                              std::to_string(random_.below(kSharedPrompts)) + ":" +
                                              std::to_string(shared) + "," + own;
  const std::uint32_t output = events * options_.performance.tokens_per_event;
  return gateway::parse_prompt(
      parts, std::to_string(request_class.prompt_tokens) + "," + std::to_string(output));
}

void LoadFleet::schedule_arrival(std::size_t class_index, std::size_t node) {
  const RequestClass& request_class = options_.classes[class_index];
  const auto found = demand_.find({request_class.name, nodes_[node]->zone});
  const double factor = found == demand_.end() ? 1 : found->second;
  const double rate = request_class.per_second * factor / static_cast<double>(nodes_.size());
  schedule_after(from_seconds(random_.exponential(1 / rate)), [this, class_index, node] {
    if (arriving_ && !running_nodes_.empty()) {
      const bool running = std::ranges::find(running_nodes_, node) != running_nodes_.end();
      arrive(class_index, running ? node : running_nodes_[random_.below(running_nodes_.size())]);
      schedule_arrival(class_index, node);
    }
  });
}

void LoadFleet::arrive(std::size_t class_index, std::size_t node,
                       std::optional<MonotonicTime> first_arrival) {
  const RequestClass& request_class = options_.classes[class_index];
  const CallId id = next_call_++;
  Call& call = calls_[id];
  call.id = id;
  call.first_arrival = first_arrival.value_or(time_.now());
  call.request_class = &request_class;
  call.node = node;
  call.arrived = time_.now();
  call.deadline = time_.now() + request_class.deadline;
  call.events = draw_events(request_class, random_);
  call.prompt = make_prompt(request_class, call.events, id);
  call.counted = measuring_;
  tallies_[request_class.name].offered += call.counted;
  schedule_after(request_class.deadline,
                 [this, id] { end(id, AttemptOutcome::kAbandoned, &Tally::cut_off); });
  const auto disconnect_after = disconnect_after_.find(request_class.name);
  if (disconnect_after != disconnect_after_.end()) {
    schedule_after(disconnect_after->second,
                   [this, id] { end(id, AttemptOutcome::kAbandoned, &Tally::disconnects); });
  }
  if (admission_ == nullptr) {
    send(id);
    return;
  }
  admission_->arrived(
      {.node = node,
       .call = id,
       .request_class = &request_class,
       .deadline = call.deadline,
       .honored_retry_after = first_arrival.has_value() && honors_retry_after(request_class),
       .send = [this, id] { send(id); },
       .reject = [this, id,
                  class_index](Duration retry_after) { reject(id, class_index, retry_after); }});
}

bool LoadFleet::honors_retry_after(const RequestClass& request_class) const {
  const auto retries = retries_.find(request_class.name);
  return retries != retries_.end() && !retries->second.has_value();
}

void LoadFleet::reject(CallId id, std::size_t class_index, Duration retry_after) {
  const std::size_t node = calls_.at(id).node;
  const MonotonicTime first_arrival = calls_.at(id).first_arrival;
  end(id, AttemptOutcome::kNotSent, &Tally::rejected);
  const RequestClass& request_class = options_.classes[class_index];
  const auto retries = retries_.find(request_class.name);
  if (retries == retries_.end() || time_.now() - first_arrival > request_class.deadline) {
    return;
  }
  schedule_after(retries->second.value_or(retry_after), [this, class_index, node, first_arrival] {
    const bool running = std::ranges::find(running_nodes_, node) != running_nodes_.end();
    if (arriving_ && running) {
      arrive(class_index, node, first_arrival);
    }
  });
}

void LoadFleet::send(CallId id) {
  Call& call = calls_.at(id);
  call.sent = true;
  const gateway::PlacementPlan plan =
      nodes_[call.node]->placement->choose(placement_request(call), time_.now());
  if (plan.runner.backend == nullptr) {
    end(id, AttemptOutcome::kNotSent, &Tally::rejected);
    return;
  }
  call.decode_engine = plan.runner.backend->id;
  const bool separate_prefill = plan.prefill.backend != nullptr;
  const gateway::PlacementChoice& prefill_engine = separate_prefill ? plan.prefill : plan.runner;
  // The engine model has no cache fetches: a part that placement plans to fetch from another engine
  // is prefilled again. Shared prompts are few, so that all engines hold them after the warm-up.
  call.unprefilled_tokens = prefill_engine.prefill_tokens;
  gateway::LoadTable& loads = nodes_[call.node]->loads;
  loads.note_prompt(prefill_engine.backend->id, call.prompt, time_.now());
  submit(call, separate_prefill ? SequenceKind::kPrefill : SequenceKind::kWhole,
         engine_of(*prefill_engine.backend), time_.now());
}

void LoadFleet::submit(Call& call, SequenceKind kind, SimulatedEngine& engine,
                       MonotonicTime import_ready) {
  engine_model::SequenceSpec spec;
  spec.id = call.id;
  spec.kind = kind;
  spec.prompt_tokens = call.request_class->prompt_tokens;
  spec.output_tokens = 1 + (call.events - 1) * options_.performance.tokens_per_event;
  spec.import_ready = import_ready;
  if (kind != SequenceKind::kImport) {
    const std::uint64_t blocks = call.prompt.shared_tokens() / engine::kTokensPerBlock;
    for (std::uint64_t block = 0; block != blocks; ++block) {
      spec.blocks.push_back(combine_hashes(stable_hash(call.prompt.shared_prefix_id()), block));
    }
  }
  call.current_engine = engine.backend().id;
  nodes_[call.node]->loads.begin(call.current_engine, call.unprefilled_tokens);
  engine.submit(std::move(spec), time_.now());
}

void LoadFleet::tick() {
  for (const BackendId& id : engine_order_) {
    SimulatedEngine& engine = *engines_.at(id);
    profiles_->note_pace(engine.report().pace_percent);
    for (const engine_model::SequenceEvent& event : engine.advance(time_.now())) {
      take_event(engine, event);
    }
  }
  schedule_after(kTick, [this] { tick(); });
}

void LoadFleet::take_event(SimulatedEngine& engine, const engine_model::SequenceEvent& event) {
  const auto found = calls_.find(event.sequence);
  if (found == calls_.end() || found->second.current_engine != engine.backend().id) {
    return;  // The call has ended or has moved to another engine.
  }
  Call& call = found->second;
  switch (event.kind) {
    case SequenceEventKind::kPrefilled:
      transfer_to_decode_engine(call, engine);
      break;
    case SequenceEventKind::kFirstToken:
    case SequenceEventKind::kToken:
      note_output(call, engine, event);
      break;
    case SequenceEventKind::kFinished:
      end(found->first, AttemptOutcome::kSucceeded, call.on_time ? &Tally::on_time : &Tally::late);
      break;
    case SequenceEventKind::kDropped:
      end(found->first, AttemptOutcome::kFailed, &Tally::interrupted);
      break;
  }
}

void LoadFleet::transfer_to_decode_engine(Call& call, SimulatedEngine& prefill_engine) {
  nodes_[call.node]->loads.note_report(call.current_engine, prefill_engine.report(), time_.now());
  end_attempt(call, AttemptOutcome::kSucceeded);
  SimulatedEngine& decode_engine = *engines_.at(call.decode_engine);
  const bool same_zone = decode_engine.backend().zone == prefill_engine.backend().zone;
  const MonotonicTime ready = prefill_engine.export_cache(
      call.id, same_zone ? engine_model::Distance::kSameZone : engine_model::Distance::kOtherZone,
      time_.now());
  submit(call, SequenceKind::kImport, decode_engine, ready);
}

void LoadFleet::note_output(Call& call, SimulatedEngine& engine,
                            const engine_model::SequenceEvent& event) {
  if ((event.tokens_done - 1) % options_.performance.tokens_per_event != 0) {
    return;
  }
  if (call.events_sent == 0) {
    call.on_time = event.at - call.arrived <= call.request_class->first_event;
    nodes_[call.node]->loads.note_prefilled(call.current_engine,
                                            std::exchange(call.unprefilled_tokens, 0));
    nodes_[call.node]->loads.note_report(call.current_engine, engine.report(), time_.now());
  } else {
    call.on_time = call.on_time && event.at - call.last_event <= call.request_class->gap;
  }
  ++call.events_sent;
  call.last_event = event.at;
}

void LoadFleet::end_attempt(Call& call, AttemptOutcome outcome) {
  gateway::LoadTable& loads = nodes_[call.node]->loads;
  loads.note_prefilled(call.current_engine, std::exchange(call.unprefilled_tokens, 0));
  loads.end(call.current_engine, outcome, time_.now());
  call.current_engine = BackendId();
}

void LoadFleet::end(CallId id, AttemptOutcome outcome, std::uint32_t Tally::*count) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const bool in_progress = !call.current_engine.value().empty();
  if (in_progress && outcome == AttemptOutcome::kAbandoned) {
    engines_.at(call.current_engine)->cancel(id, time_.now());
  }
  if (in_progress) {
    end_attempt(call, outcome);
  }
  if (call.counted) {
    ++(tallies_.at(call.request_class->name).*count);
  }
  const std::size_t node = call.node;
  const bool sent = call.sent;
  calls_.erase(found);
  if (admission_ != nullptr && sent) {
    admission_->ended(node, id);
  } else if (admission_ != nullptr && outcome == AttemptOutcome::kAbandoned) {
    admission_->left(node, id);
  }
}

void LoadFleet::run(Duration warm_up, Duration measured) {
  for (std::size_t index = 0; index != options_.classes.size(); ++index) {
    tallies_[options_.classes[index].name];
    for (std::size_t node = 0; node != nodes_.size(); ++node) {
      schedule_arrival(index, node);
    }
  }
  tick();
  schedule_after(warm_up, [this] { measuring_ = true; });
  schedule_after(warm_up + measured, [this] { arriving_ = measuring_ = false; });
  Duration longest{};
  for (const RequestClass& request_class : options_.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  time_.run_until(time_.now() + warm_up + measured + longest);
}

}  // namespace ochrespring::gateway_load
