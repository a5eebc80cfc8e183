#include "emulator/fleet_emulator.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace ochrespring::emulator {
namespace {

/// Control ticks: how often drains are checked.
constexpr Duration kControlInterval = std::chrono::milliseconds(100);
/// Length of a slice of the timeline.
constexpr Duration kTimelineSlice = std::chrono::seconds(5);

RunOptions with_faults(RunOptions options) {
  Deployment& deployment = options.deployment;
  if (options.faults.report_lag) {
    deployment.report_lag = *options.faults.report_lag;
  }
  if (options.faults.cache_event_loss) {
    deployment.cache_event_loss = *options.faults.cache_event_loss;
  }
  if (options.policy.omniscient) {
    deployment.report_lag = Duration::zero();
    deployment.cache_event_lag = Duration::zero();
    deployment.cache_event_loss = 0;
    deployment.control_lag = Duration::zero();
    deployment.report_interval = std::chrono::milliseconds(50);
    deployment.view_interval = std::chrono::milliseconds(50);
  }
  return options;
}

engine_model::Distance distance_between(std::uint32_t zone_a, std::uint32_t zone_b) {
  return zone_a == zone_b ? engine_model::Distance::kSameZone : engine_model::Distance::kOtherZone;
}

/// Sequence ids hold the request and the attempt, so that a late event is told apart.
engine_model::SequenceId sequence_id(RequestIndex index, std::uint32_t attempt) {
  return static_cast<engine_model::SequenceId>(index) << 16U | (attempt & 0xFFFFU);
}

}  // namespace

FleetEmulator::FleetEmulator(RunOptions options, const workload::Trace& trace)
    : options_(with_faults(std::move(options))),
      trace_(trace),
      deployment_(options_.deployment),
      requests_(trace.size()),
      engines_(deployment_,
               assign_roles(options_.policy.initial,
                            static_cast<std::uint32_t>(deployment_.zones.size())),
               options_.policy.prefill_chunk_tokens, options_.seed),
      backends_(deployment_),
      control_(deployment_, options_.policy, engines_, *this),
      under_way_(engines_.size()),
      zone_down_(deployment_.zones.size()) {
  const std::size_t proxies = deployment_.proxies_per_zone * deployment_.zones.size();
  for (std::size_t i = 0; i < proxies; ++i) {
    proxies_.push_back(std::make_unique<ProxyModel>(options_.policy, options_.tenants,
                                                    deployment_.model_service.limits.first_token,
                                                    combine_hashes(options_.seed, i), *this));
    next_batch_.emplace_back(engines_.size());
  }
}

void FleetEmulator::push(EventKind kind, MonotonicTime at, std::uint32_t target,
                         std::uint64_t subject, std::uint32_t detail) {
  Event event;
  event.at = at;
  event.kind = kind;
  event.target = target;
  event.subject = subject;
  event.detail = detail;
  events_.push(event);
}

void FleetEmulator::schedule_start() {
  push(EventKind::kReportTick, MonotonicTime{}, 0, 0, 0);
  const auto count = static_cast<std::int64_t>(proxies_.size());
  for (std::uint32_t i = 0; i < proxies_.size(); ++i) {
    // Proxies take their snapshots at different moments.
    push(EventKind::kProxyTick, MonotonicTime(deployment_.view_interval * i / count), i, 0, 0);
    proxies_[i]->on_view(build_view(), MonotonicTime{});
  }
  push(EventKind::kControlTick, MonotonicTime{}, 0, 0, 0);
  for (std::size_t i = 0; i < trace_.size(); ++i) {
    push(EventKind::kArrival, MonotonicTime(trace_[i].arrival), 0, i, 0);
  }
  for (std::size_t i = 0; i < options_.faults.faults.size(); ++i) {
    push(EventKind::kFault, MonotonicTime(options_.faults.faults[i].at), 0, i, 0);
  }
}

RunResult FleetEmulator::run() {
  open_requests_ = trace_.size();
  schedule_start();
  while (open_requests_ > 0 && !events_.empty()) {
    const Event event = events_.pop();
    now_ = event.at;
    handle(event);
  }
  return collect();
}

void FleetEmulator::handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kArrival:
      return on_arrival(static_cast<RequestIndex>(event.subject));
    case EventKind::kEngineWake:
      return on_engine_wake(event);
    case EventKind::kDeliver:
      return on_deliver(event);
    case EventKind::kDeliverCache:
      return on_deliver_cache(event);
    case EventKind::kReply:
      return on_reply(event);
    case EventKind::kOrdinaryDone:
      return on_ordinary_done(event);
    case EventKind::kProxyTick:
      return on_proxy_tick(event.target);
    case EventKind::kReportTick:
      return on_report_tick();
    case EventKind::kControlTick:
      return on_control_tick();
    case EventKind::kFault:
      return on_fault(options_.faults.faults[event.subject]);
    case EventKind::kFaultEnd:
      return on_fault_end(options_.faults.faults[event.subject]);
  }
}

Duration FleetEmulator::delay(std::uint32_t zone_a, std::uint32_t zone_b) const {
  return zone_a == zone_b ? deployment_.own_zone_delay : deployment_.other_zone_delay;
}

std::uint32_t FleetEmulator::zone_of_proxy(std::uint32_t proxy) const {
  return proxy % static_cast<std::uint32_t>(deployment_.zones.size());
}

void FleetEmulator::on_arrival(RequestIndex index) {
  // Callers are spread over the proxies; those of a dead zone turn to another.
  do {
    next_proxy_ = (next_proxy_ + 1) % static_cast<std::uint32_t>(proxies_.size());
  } while (zone_down_[zone_of_proxy(next_proxy_)]);
  RequestState& state = requests_[index];
  state.trace = &trace_[index];
  state.proxy = next_proxy_;
  router::RouteRequest& route = state.route;
  route.id = RequestId(std::to_string(state.trace->id));
  route.tenant = state.trace->tenant;
  route.service = state.trace->service;
  route.model = state.trace->model;
  route.prompt_tokens = state.trace->prompt_tokens;
  route.prompt_blocks = workload::prompt_blocks(*state.trace);
  route.session = state.trace->session;
  route.priority = state.trace->priority;
  route.origin = deployment_.zones[zone_of_proxy(state.proxy)];
  route.arrived = now_;
  route.deadline = now_ + deployment_.model_service.limits.deadline;
  proxies_[state.proxy]->on_arrival(index, now_);
}

void FleetEmulator::dispatch(RequestIndex index, const router::RouteDecision& decision) {
  RequestState& state = requests_[index];
  ++state.attempt;
  state.dispatched = now_;
  const auto find = [this](const EngineId& id) {
    const std::size_t dash = id.value().rfind('-');
    return static_cast<std::uint32_t>(std::stoul(id.value().substr(dash + 1)));
  };
  const std::uint32_t zone = zone_of_proxy(state.proxy);
  state.engine = find(decision.engine);
  state.prefill_engine = decision.prefill_engine ? find(*decision.prefill_engine) : kNoEngine;
  if (state.trace->model.empty()) {
    push(EventKind::kDeliver, now_ + delay(zone, backends_.at(state.engine).zone), state.engine,
         index, state.attempt);
    return;
  }
  const std::uint32_t first =
      state.prefill_engine == kNoEngine ? state.engine : state.prefill_engine;
  ++under_way_[first];
  push(EventKind::kDeliver, now_ + delay(zone, engines_.at(first).zone), first, index,
       state.attempt);
}

void FleetEmulator::on_deliver(const Event& event) {
  const auto index = static_cast<RequestIndex>(event.subject);
  RequestState& state = requests_[index];
  if (state.trace->model.empty()) {
    OrdinaryBackend& backend = backends_.at(event.target);
    if (backend.silent) {
      reply(backend.zone, index, event.detail, ReplyKind::kUncertain, now_,
            deployment_.failure_detection);
    } else if (!backends_.accept(event.target, {index, event.detail}, now_, events_)) {
      reply(backend.zone, index, event.detail, ReplyKind::kRefused, now_);
    }
    return;
  }
  --under_way_[event.target];
  EmulatedEngine& engine = engines_.at(event.target);
  if (engine.silent) {
    reply(engine.zone, index, event.detail, ReplyKind::kBroken, now_,
          deployment_.failure_detection);
    return;
  }
  engine_model::SequenceSpec spec;
  spec.id = sequence_id(index, event.detail);
  spec.kind = state.prefill_engine == kNoEngine ? engine_model::SequenceKind::kWhole
                                                : engine_model::SequenceKind::kPrefill;
  spec.prompt_tokens = state.trace->prompt_tokens;
  spec.output_tokens = state.trace->output_tokens;
  spec.resume_offset = state.tokens_done;
  spec.priority = state.trace->priority;
  spec.blocks = state.route.prompt_blocks;
  if (engine.model.submit(spec, now_) != engine_model::SubmitResult::kAccepted) {
    reply(engine.zone, index, event.detail, ReplyKind::kRefused, now_);
  }
  drain_engine_events(event.target);
}

void FleetEmulator::hand_over_cache(std::uint32_t engine, RequestIndex index) {
  RequestState& state = requests_[index];
  const std::uint32_t from = engines_.at(engine).zone;
  const std::uint32_t to = engines_.at(state.engine).zone;
  state.cache_ready = engines_.at(engine).model.export_cache(sequence_id(index, state.attempt),
                                                             distance_between(from, to), now_);
  ++under_way_[state.engine];
  push(EventKind::kDeliverCache, now_ + delay(from, to), state.engine, index, state.attempt);
}

void FleetEmulator::on_deliver_cache(const Event& event) {
  --under_way_[event.target];
  const auto index = static_cast<RequestIndex>(event.subject);
  RequestState& state = requests_[index];
  if (state.attempt != event.detail || state.outcome != RequestOutcome::kOpen) {
    return;
  }
  EmulatedEngine& engine = engines_.at(event.target);
  if (engine.silent) {
    reply(engine.zone, index, event.detail, ReplyKind::kBroken, now_,
          deployment_.failure_detection);
    return;
  }
  engine_model::SequenceSpec spec;
  spec.id = sequence_id(index, event.detail);
  spec.kind = engine_model::SequenceKind::kImport;
  spec.prompt_tokens = state.trace->prompt_tokens;
  spec.output_tokens = state.trace->output_tokens;
  spec.resume_offset = state.tokens_done;
  spec.priority = state.trace->priority;
  spec.blocks = state.route.prompt_blocks;
  spec.import_ready = state.cache_ready;
  if (engine.model.submit(spec, now_) != engine_model::SubmitResult::kAccepted) {
    reply(engine.zone, index, event.detail, ReplyKind::kRefused, now_);
  }
  drain_engine_events(event.target);
}

void FleetEmulator::on_engine_wake(const Event& event) {
  EmulatedEngine& engine = engines_.at(event.target);
  if (event.subject != engine.wake_generation) {
    return;
  }
  engine.wake_at.reset();
  engine.model.advance(now_);
  drain_engine_events(event.target);
}

void FleetEmulator::drain_engine_events(std::uint32_t engine) {
  for (const engine_model::SequenceEvent& event : engines_.at(engine).model.take_events()) {
    on_engine_event(engine, event);
  }
  engines_.schedule_wake(engine, events_);
}

void FleetEmulator::on_engine_event(std::uint32_t engine,
                                    const engine_model::SequenceEvent& event) {
  const auto index = static_cast<RequestIndex>(event.sequence >> 16U);
  RequestState& state = requests_[index];
  EmulatedEngine& source = engines_.at(engine);
  if (sequence_id(index, state.attempt) != event.sequence ||
      state.outcome != RequestOutcome::kOpen || source.silent) {
    return;
  }
  const MonotonicTime at_caller = event.at + delay(source.zone, zone_of_proxy(state.proxy));
  switch (event.kind) {
    case engine_model::SequenceEventKind::kFirstToken:
      if (state.first_token) {
        state.gaps.add(at_caller - state.last_token);
      } else {
        state.first_token = at_caller;
      }
      reply(source.zone, index, state.attempt, ReplyKind::kFirstToken, event.at);
      break;
    case engine_model::SequenceEventKind::kPrefilled:
      hand_over_cache(engine, index);
      break;
    case engine_model::SequenceEventKind::kFinished:
      state.gaps.merge(source.model.finished_gaps(event.sequence));
      state.tokens_done = event.tokens_done;
      reply(source.zone, index, state.attempt, ReplyKind::kFinished, event.at);
      break;
    case engine_model::SequenceEventKind::kDropped:
      state.gaps.merge(source.model.finished_gaps(event.sequence));
      state.tokens_done = event.tokens_done;
      state.last_token = at_caller;
      reply(source.zone, index, state.attempt, ReplyKind::kBroken, event.at);
      break;
    case engine_model::SequenceEventKind::kToken:
      break;
  }
}

void FleetEmulator::reply(std::uint32_t zone, RequestIndex index, std::uint32_t attempt,
                          ReplyKind kind, MonotonicTime at, Duration extra) {
  const Duration way = delay(zone, zone_of_proxy(requests_[index].proxy));
  push(EventKind::kReply, std::max(now_, at + way + extra), 0, index, pack_reply(attempt, kind));
}

void FleetEmulator::on_reply(const Event& event) {
  const auto index = static_cast<RequestIndex>(event.subject);
  RequestState& state = requests_[index];
  if (attempt_of(event.detail) != state.attempt || state.outcome != RequestOutcome::kOpen) {
    return;
  }
  ProxyModel& proxy = *proxies_[state.proxy];
  switch (reply_of(event.detail)) {
    case ReplyKind::kFirstToken:
      state.route.started = true;
      proxy.on_first_token(index, now_);
      break;
    case ReplyKind::kFinished:
      finish(index, RequestOutcome::kAnswered);
      proxy.on_finished(index, now_);
      break;
    case ReplyKind::kRefused:
      ++state.refusals;
      state.route.excluded.push_back(state.trace->model.empty()
                                         ? backends_.at(state.engine).id
                                         : engines_.at(state.engine).model.id());
      if (state.prefill_engine != kNoEngine) {
        state.route.excluded.push_back(engines_.at(state.prefill_engine).model.id());
      }
      proxy.on_broken(index, now_);
      break;
    case ReplyKind::kBroken:
      proxy.on_broken(index, now_);
      break;
    case ReplyKind::kUncertain:
      // A send must not run twice, and this one may have run.
      finish(index, RequestOutcome::kUnknown);
      proxy.on_finished(index, now_);
      break;
  }
}

void FleetEmulator::on_ordinary_done(const Event& event) {
  const auto index = static_cast<RequestIndex>(event.subject);
  if (!backends_.complete(event.target, {index, event.detail}, now_, events_)) {
    return;
  }
  RequestState& state = requests_[index];
  ++state.runs;
  if (!state.first_token) {
    const std::uint32_t zone = backends_.at(event.target).zone;
    state.first_token = now_ + delay(zone, zone_of_proxy(state.proxy));
  }
  reply(backends_.at(event.target).zone, index, event.detail, ReplyKind::kFinished, now_);
}

router::FleetViewPointer FleetEmulator::build_view() const {
  auto view = std::make_shared<router::FleetView>();
  view->sequence = view_sequence_;
  view->services = {deployment_.model_service, deployment_.ordinary_service};
  view->models = {deployment_.model};
  view->policy = deployment_.policy;
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    view->engines.push_back(engines_.view(i, now_));
  }
  for (std::uint32_t i = 0; i < backends_.size(); ++i) {
    view->engines.push_back(backends_.view(i, now_));
  }
  return view;
}

void FleetEmulator::on_proxy_tick(std::uint32_t proxy) {
  push(EventKind::kProxyTick, now_ + deployment_.view_interval, proxy, 0, 0);
  if (zone_down_[zone_of_proxy(proxy)]) {
    return;
  }
  ++view_sequence_;
  proxies_[proxy]->on_view(build_view(), now_);
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    for (const CacheBatch* batch : engines_.visible_batches(i, next_batch_[proxy][i], now_)) {
      proxies_[proxy]->on_cache_events(engines_.at(i).model.id(), batch->incarnation, batch->events,
                                       now_);
    }
  }
}

void FleetEmulator::on_report_tick() {
  push(EventKind::kReportTick, now_ + deployment_.report_interval, 0, 0, 0);
  engines_.publish(now_);
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    drain_engine_events(i);
  }
}

DemandTotals FleetEmulator::collect_demand() {
  DemandTotals totals;
  totals.seconds = to_seconds(now_ - planned_at_);
  for (const auto& proxy : proxies_) {
    const ProxyDemand demand = proxy->take_demand();
    totals.requests += demand.requests;
    totals.prefill_tokens += demand.prefill_tokens;
    totals.decode_tokens += demand.decode_tokens;
    totals.waiting += static_cast<double>(proxy->waiting());
  }
  return totals;
}

void FleetEmulator::on_control_tick() {
  push(EventKind::kControlTick, now_ + kControlInterval, 0, 0, 0);
  if (now_ - planned_at_ >= deployment_.plan_interval || now_ == MonotonicTime{}) {
    control_.plan(collect_demand(), now_);
    planned_at_ = now_;
  }
  control_.advance_changes(now_);
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    drain_engine_events(i);
  }
  if (now_.time_since_epoch() % kTimelineSlice < kControlInterval) {
    sample_timeline();
  }
}

void FleetEmulator::move_streams(std::uint32_t engine) {
  EmulatedEngine& source = engines_.at(engine);
  for (RequestIndex index = 0; index < requests_.size(); ++index) {
    RequestState& state = requests_[index];
    if (state.trace == nullptr || state.outcome != RequestOutcome::kOpen) {
      continue;
    }
    const engine_model::SequenceId id = sequence_id(index, state.attempt);
    const auto progress = source.model.progress(id);
    if (!progress) {
      continue;
    }
    state.gaps.merge(source.model.gaps(id));
    state.tokens_done = progress->tokens_done;
    state.last_token = now_ + delay(source.zone, zone_of_proxy(state.proxy));
    source.model.cancel(id, now_);
    reply(source.zone, index, state.attempt, ReplyKind::kBroken, now_);
  }
}

}  // namespace ochrespring::emulator
