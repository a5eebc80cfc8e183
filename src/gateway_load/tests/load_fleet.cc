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

/// Resolution at which nodes hear of engines; event times are exact.
constexpr Duration kTick = 1ms;
/// Shared prompts of a class; all of them fit into every engine's memory.
constexpr std::uint64_t kSharedPrompts = 12;
/// Output tokens of a stream that counts as long: at least so many events to come.
constexpr std::uint32_t kLongEvents = 4;
/// After a node's last word, as PeerWork::kBelief.
constexpr Duration kForgottenAfter = 2500ms;
constexpr int kSampledCalls = 20'000;
const ServiceName kService("llm");

}  // namespace

/// Work of the other nodes, as of `news_delay` ago.
class LoadFleet::DelayedPeers final : public gateway::PeerView {
 public:
  void hear(std::size_t node, const BackendId& engine, gateway::EngineWorkload work) {
    work_[engine][node] = work;
  }
  void forget(std::size_t node) {
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

/// Tells what is true, which learned profiles come close to.
class LoadFleet::TrueProfiles final : public gateway::EngineProfiles {
 public:
  explicit TrueProfiles(const LoadFleet& fleet) : fleet_(fleet) {}

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
  DelayedPeers peers;
  std::unique_ptr<gateway::Placement> placement;
};

struct LoadFleet::Call {
  CallId id = 0;
  const RequestClass* request_class = nullptr;
  std::size_t node = 0;
  MonotonicTime arrived;
  MonotonicTime came_first;  ///< The caller, with an earlier call if that was rejected.
  MonotonicTime deadline;
  std::uint32_t events = 1;
  gateway::Prompt prompt;
  bool counts = false;
  bool sent = false;
  BackendId runner{};
  BackendId at{};                  ///< Engine that works on it now; empty: none.
  std::uint64_t unread_there = 0;  ///< As told to the LoadTable, not yet read.
  std::uint32_t seen = 0;          ///< Events that the caller has.
  MonotonicTime last_event{};
  bool on_time = true;
};

std::optional<gateway::EngineProfile> LoadFleet::TrueProfiles::find(const gateway::Backend& engine,
                                                                    MonotonicTime /*now*/) const {
  const auto found = fleet_.engines_.find(engine.id);
  if (found == fleet_.engines_.end()) {
    return std::nullopt;
  }
  gateway::EngineProfile profile = found->second->profile();
  for (const auto& [id, call] : fleet_.calls_) {
    profile.long_streams += call.at == engine.id && call.events >= call.seen + kLongEvents;
  }
  return profile;
}

std::optional<gateway::EngineProfile> LoadFleet::TrueProfiles::usual(const ServiceName& /*service*/,
                                                                     MonotonicTime /*now*/) const {
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
      profiles_(std::make_unique<TrueProfiles>(*this)) {
  for (const EngineOptions& engine : options_.engines) {
    gateway::Backend backend;
    backend.id = BackendId("i-" + std::to_string(engine_order_.size()));
    backend.service = kService;
    backend.zone = ZoneName(engine.zone);
    backend.slots = options_.performance.slots;
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
    node.loads.on_change([this, index](const BackendId& id) { tell_peers(index, id); });
    node.loads.on_parts_cached(
        [this, index](const BackendId& id, const std::vector<std::uint64_t>& keys) {
          at(options_.news_delay, [this, index, id, keys] {
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
    living_nodes_.push_back(index);
  }
}

LoadFleet::~LoadFleet() = default;

// The two functions below are the only ones that know what placement is given.
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

void LoadFleet::tell_peers(std::size_t node, const BackendId& engine) {
  const gateway::EngineWorkload work = nodes_[node]->loads.own(engine);
  at(options_.news_delay, [this, node, engine, work] {
    for (std::size_t other = 0; other != nodes_.size(); ++other) {
      if (other != node) {
        nodes_[other]->peers.hear(node, engine, work);
      }
    }
  });
}

void LoadFleet::set_demand(const std::string& name, double factor, const std::string& zone) {
  demand_[{name, zone}] = factor;
}

void LoadFleet::set_demand(const std::string& name, double factor) {
  for (const std::string& zone : options_.node_zones) {
    set_demand(name, factor, zone);
  }
}

void LoadFleet::set_pace(std::size_t engine, double pace) {
  engines_.at(engine_order_.at(engine))->set_pace(pace, time_.now());
}

void LoadFleet::end_engine(std::size_t engine) {
  const BackendId id = engine_order_.at(engine);
  engine_order_.erase(engine_order_.begin() + static_cast<std::ptrdiff_t>(engine));
  for (const auto& node : nodes_) {
    node->fleet.remove(id);
  }
  end_all([&](const Call& call) { return call.at == id || call.runner == id; });
  engines_.erase(id);
}

void LoadFleet::end_node(std::size_t node) {
  std::erase(living_nodes_, node);
  // The others are not told: they count its work until they forget it.
  nodes_.at(node)->loads = gateway::LoadTable();
  end_all([&](const Call& call) { return call.node == node; });
  at(kForgottenAfter, [this, node] {
    for (const auto& other : nodes_) {
      other->peers.forget(node);
    }
  });
}

void LoadFleet::end_all(const std::function<bool(const Call&)>& concerned) {
  std::vector<CallId> ended;
  for (const auto& [id, call] : calls_) {
    if (concerned(call)) {
      ended.push_back(id);
    }
  }
  for (const CallId id : ended) {
    end(id, AttemptOutcome::kAbandoned, &Tally::broken);
  }
}

void LoadFleet::set_patience(const std::string& name, Duration patience) {
  patience_[name] = patience;
}

std::uint32_t LoadFleet::draw_events(const RequestClass& request_class,
                                     RandomSource& random) const {
  const double more = request_class.mean_events - request_class.least_events;
  const auto events = request_class.least_events +
                      static_cast<std::uint32_t>(std::lround(random.exponential(more)));
  return std::min(events, request_class.most_events);
}

double LoadFleet::capacity() const {
  SeededRandom random(options_.seed);
  double prefill = 0;  // Engine-seconds a second at a prefill-only engine of speed 1.
  double decode = 0;   // The same at any other, with all slots in use.
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
  double readers = 0;
  double runners = 0;
  for (const EngineOptions& engine : options_.engines) {
    (engine.role == gateway::EngineRole::kPrefill ? readers : runners) += engine.speed;
  }
  // What prefill-only engines cannot read costs the others twice the time.
  return std::min(runners / decode, (runners + 2 * readers) / (decode + 2 * prefill));
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
  at(from_seconds(random_.exponential(1 / rate)), [this, class_index, node] {
    if (arriving_ && !living_nodes_.empty()) {
      const bool lives = std::ranges::find(living_nodes_, node) != living_nodes_.end();
      arrive(class_index, lives ? node : living_nodes_[random_.below(living_nodes_.size())]);
      schedule_arrival(class_index, node);
    }
  });
}

void LoadFleet::arrive(std::size_t class_index, std::size_t node,
                       std::optional<MonotonicTime> came_first) {
  const RequestClass& request_class = options_.classes[class_index];
  const CallId id = next_call_++;
  Call& call = calls_[id];
  call.id = id;
  call.came_first = came_first.value_or(time_.now());
  call.request_class = &request_class;
  call.node = node;
  call.arrived = time_.now();
  call.deadline = time_.now() + request_class.deadline;
  call.events = draw_events(request_class, random_);
  call.prompt = make_prompt(request_class, call.events, id);
  call.counts = measuring_;
  tallies_[request_class.name].offered += call.counts;
  at(request_class.deadline, [this, id] { end(id, AttemptOutcome::kAbandoned, &Tally::cut_off); });
  const auto patience = patience_.find(request_class.name);
  if (patience != patience_.end()) {
    at(patience->second, [this, id] { end(id, AttemptOutcome::kAbandoned, &Tally::disconnects); });
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
       .came_back = came_first.has_value() && obeys(request_class),
       .send = [this, id] { send(id); },
       .reject = [this, id,
                  class_index](Duration retry_after) { reject(id, class_index, retry_after); }});
}

bool LoadFleet::obeys(const RequestClass& request_class) const {
  const auto retries = retries_.find(request_class.name);
  return retries != retries_.end() && !retries->second.has_value();
}

void LoadFleet::reject(CallId id, std::size_t class_index, Duration retry_after) {
  const std::size_t node = calls_.at(id).node;
  const MonotonicTime came_first = calls_.at(id).came_first;
  end(id, AttemptOutcome::kNotSent, &Tally::rejected);
  const RequestClass& request_class = options_.classes[class_index];
  const auto retries = retries_.find(request_class.name);
  if (retries == retries_.end() || time_.now() - came_first > request_class.deadline) {
    return;
  }
  at(retries->second.value_or(retry_after), [this, class_index, node, came_first] {
    const bool lives = std::ranges::find(living_nodes_, node) != living_nodes_.end();
    if (arriving_ && lives) {
      arrive(class_index, node, came_first);
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
  call.runner = plan.runner.backend->id;
  const bool apart = plan.prefill.backend != nullptr;
  const gateway::PlacementChoice& reader = apart ? plan.prefill : plan.runner;
  // A cache that would be fetched from another engine is read anew: the engine model has no
  // fetches. Shared prompts are few, so that all engines hold them after the warm-up.
  call.unread_there = reader.prefill_tokens;
  gateway::LoadTable& loads = nodes_[call.node]->loads;
  loads.note_prompt(reader.backend->id, call.prompt, time_.now());
  submit(call, apart ? SequenceKind::kPrefill : SequenceKind::kWhole, engine_of(*reader.backend),
         time_.now());
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
  call.at = engine.backend().id;
  nodes_[call.node]->loads.begin(call.at, call.unread_there);
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
  at(kTick, [this] { tick(); });
}

void LoadFleet::take_event(SimulatedEngine& engine, const engine_model::SequenceEvent& event) {
  const auto found = calls_.find(event.sequence);
  if (found == calls_.end() || found->second.at != engine.backend().id) {
    return;  // Cut off meanwhile.
  }
  Call& call = found->second;
  switch (event.kind) {
    case SequenceEventKind::kPrefilled:
      hand_over(call, engine);
      break;
    case SequenceEventKind::kFirstToken:
    case SequenceEventKind::kToken:
      note_output(call, engine, event);
      break;
    case SequenceEventKind::kFinished:
      end(found->first, AttemptOutcome::kSucceeded, call.on_time ? &Tally::on_time : &Tally::late);
      break;
    case SequenceEventKind::kDropped:
      end(found->first, AttemptOutcome::kFailed, &Tally::broken);
      break;
  }
}

void LoadFleet::hand_over(Call& call, SimulatedEngine& reader) {
  nodes_[call.node]->loads.note_report(call.at, reader.report(), time_.now());
  end_attempt(call, AttemptOutcome::kSucceeded);
  SimulatedEngine& runner = *engines_.at(call.runner);
  const bool near = runner.backend().zone == reader.backend().zone;
  const MonotonicTime ready = reader.export_cache(
      call.id, near ? engine_model::Distance::kSameZone : engine_model::Distance::kOtherZone,
      time_.now());
  submit(call, SequenceKind::kImport, runner, ready);
}

void LoadFleet::note_output(Call& call, SimulatedEngine& engine,
                            const engine_model::SequenceEvent& event) {
  if ((event.tokens_done - 1) % options_.performance.tokens_per_event != 0) {
    return;
  }
  if (call.seen == 0) {
    call.on_time = event.at - call.arrived <= call.request_class->first_event;
    nodes_[call.node]->loads.note_prefilled(call.at, std::exchange(call.unread_there, 0));
    nodes_[call.node]->loads.note_report(call.at, engine.report(), time_.now());
  } else {
    call.on_time = call.on_time && event.at - call.last_event <= call.request_class->gap;
  }
  ++call.seen;
  call.last_event = event.at;
}

void LoadFleet::end_attempt(Call& call, AttemptOutcome verdict) {
  gateway::LoadTable& loads = nodes_[call.node]->loads;
  loads.note_prefilled(call.at, std::exchange(call.unread_there, 0));
  loads.end(call.at, verdict, time_.now());
  call.at = BackendId();
}

void LoadFleet::end(CallId id, AttemptOutcome verdict, std::uint32_t Tally::*count) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const bool worked_on = !call.at.value().empty();
  if (worked_on && verdict == AttemptOutcome::kAbandoned) {
    engines_.at(call.at)->cancel(id, time_.now());
  }
  if (worked_on) {
    end_attempt(call, verdict);
  }
  if (call.counts) {
    ++(tallies_.at(call.request_class->name).*count);
  }
  const std::size_t node = call.node;
  const bool sent = call.sent;
  calls_.erase(found);
  if (admission_ != nullptr && sent) {
    admission_->ended(node, id);
  } else if (admission_ != nullptr && verdict == AttemptOutcome::kAbandoned) {
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
  at(warm_up, [this] { measuring_ = true; });
  at(warm_up + measured, [this] { arriving_ = measuring_ = false; });
  Duration longest{};
  for (const RequestClass& request_class : options_.classes) {
    longest = std::max(longest, request_class.deadline);
  }
  time_.run_until(time_.now() + warm_up + measured + longest);
}

}  // namespace ochrespring::gateway_load
