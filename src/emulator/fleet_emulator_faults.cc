// Faults and measurement of FleetEmulator.
#include <algorithm>
#include <map>

#include "emulator/fleet_emulator.h"

namespace ochrespring::emulator {

void FleetEmulator::on_fault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kEngineCrash:
      lose_engine(fault.target);
      break;
    case FaultKind::kZoneDown:
      take_zone_down(fault.target, MonotonicTime(fault.until));
      break;
    case FaultKind::kOrdinaryCrash:
      lose_backend(fault.target, MonotonicTime(fault.until));
      break;
  }
  if (fault.kind == FaultKind::kZoneDown) {
    const auto index = static_cast<std::uint64_t>(&fault - options_.faults.faults.data());
    push(EventKind::kFaultEnd, MonotonicTime(fault.until), 0, index, 0);
  }
}

void FleetEmulator::lose_engine(std::uint32_t engine) {
  control_.on_crash(engine, now_);
  engines_.at(engine).model.crash(deployment_.engine.restart, now_);
  engines_.at(engine).cache_read = 0;
  drain_engine_events(engine);
}

void FleetEmulator::lose_backend(std::uint32_t backend, MonotonicTime until) {
  for (const OrdinaryAttempt& lost : backends_.crash(backend, until)) {
    reply(backends_.at(backend).zone, lost.request, lost.attempt, ReplyKind::kUncertain, now_);
  }
}

void FleetEmulator::take_zone_down(std::uint32_t zone, MonotonicTime until) {
  zone_down_[zone] = true;
  // Callers of the zone's proxies see their connections break.
  for (RequestIndex index = 0; index < requests_.size(); ++index) {
    RequestState& state = requests_[index];
    if (state.trace == nullptr || state.outcome != RequestOutcome::kOpen ||
        zone_of_proxy(state.proxy) != zone) {
      continue;
    }
    const bool sent = state.attempt > 0;
    finish(index, !sent                                        ? RequestOutcome::kNotRun
                  : state.tokens_done > 0 || state.first_token ? RequestOutcome::kCut
                                                               : RequestOutcome::kUnknown);
  }
  for (std::uint32_t i = 0; i < proxies_.size(); ++i) {
    if (zone_of_proxy(i) == zone) {
      proxies_[i]->abandon();
    }
  }
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    EmulatedEngine& engine = engines_.at(i);
    if (engine.zone != zone) {
      continue;
    }
    // Its streams fall silent; their proxies give them up after the detection time.
    control_.on_crash(i, now_);
    engine.model.crash(until - now_, now_);
    engine.cache_read = 0;
    for (const engine_model::SequenceEvent& event : engine.model.take_events()) {
      const auto index = static_cast<RequestIndex>(event.sequence >> 16U);
      RequestState& state = requests_[index];
      if (state.outcome != RequestOutcome::kOpen) {
        continue;
      }
      state.gaps.merge(engine.model.finished_gaps(event.sequence));
      state.tokens_done = std::max(state.tokens_done, event.tokens_done);
      state.last_token = now_;
      reply(zone, index, static_cast<std::uint32_t>(event.sequence & 0xFFFFU), ReplyKind::kBroken,
            now_, deployment_.failure_detection);
    }
    engine.silent = true;
    engine.silent_since = now_;
  }
  for (std::uint32_t i = 0; i < backends_.size(); ++i) {
    if (backends_.at(i).zone == zone) {
      lose_backend(i, until);
      backends_.at(i).silent = true;
    }
  }
}

void FleetEmulator::on_fault_end(const Fault& fault) {
  zone_down_[fault.target] = false;
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    EmulatedEngine& engine = engines_.at(i);
    if (engine.zone == fault.target) {
      engine.silent = false;
      engine.model.advance(now_);
      engines_.schedule_wake(i, events_);
    }
  }
  for (std::uint32_t i = 0; i < backends_.size(); ++i) {
    if (backends_.at(i).zone == fault.target) {
      backends_.at(i).silent = false;
    }
  }
}

void FleetEmulator::finish(RequestIndex index, RequestOutcome outcome) {
  RequestState& state = requests_[index];
  state.outcome = outcome;
  state.ended = now_;
  state.route.prompt_blocks = {};
  --open_requests_;
}

bool FleetEmulator::first_token_in_time(const RequestState& state) const {
  const bool ordinary = state.trace->model.empty();
  const fleet::ServiceLimits& limits =
      ordinary ? deployment_.ordinary_service.limits : deployment_.model_service.limits;
  const MonotonicTime sent = MonotonicTime(state.trace->arrival) - deployment_.client_delay;
  const MonotonicTime seen = *state.first_token + deployment_.client_delay;
  return seen - sent <= limits.first_token;
}

bool FleetEmulator::is_good(const RequestState& state) const {
  if (state.outcome != RequestOutcome::kAnswered || !first_token_in_time(state)) {
    return false;
  }
  return state.trace->model.empty() ||
         state.gaps.quantile(0.95) <= deployment_.model_service.limits.between_tokens;
}

void FleetEmulator::sample_timeline() {
  TimelineSlice slice;
  slice.at_seconds = to_seconds(now_.time_since_epoch());
  for (EmulatedEngine& engine : engines_.all()) {
    if (engine.model.phase() != engine::EnginePhase::kServing || engine.silent) {
      ++slice.out_of_service;
    } else if (engine.model.role() == fleet::EngineRole::kPrefill) {
      ++slice.prefill_engines;
    } else if (engine.model.role() == fleet::EngineRole::kDecode) {
      ++slice.decode_engines;
    } else {
      ++slice.mixed_engines;
    }
  }
  timeline_.push_back(slice);
}

void FleetEmulator::count(const RequestState& state, RequestCounts& counts) const {
  ++counts.offered;
  counts.answered += state.outcome == RequestOutcome::kAnswered ? 1 : 0;
  counts.not_run += state.outcome == RequestOutcome::kNotRun ? 1 : 0;
  counts.unknown += state.outcome == RequestOutcome::kUnknown ? 1 : 0;
  counts.cut += state.outcome == RequestOutcome::kCut ? 1 : 0;
  const bool good = is_good(state);
  counts.good += good ? 1 : 0;
  if (state.outcome == RequestOutcome::kAnswered && !good) {
    ++(first_token_in_time(state) ? counts.late_between_tokens : counts.late_first_token);
  }
}

RunResult FleetEmulator::collect() {
  RunResult result;
  result.duration_seconds = to_seconds(options_.duration);
  result.role_changes = control_.role_changes();
  result.timeline = timeline_;
  std::map<TenantName, TenantResult> tenants;
  for (const RequestState& state : requests_) {
    if (state.trace->model.empty()) {
      count(state, result.ordinary);
      result.doubled += state.runs > 1 ? 1 : 0;
      continue;
    }
    count(state, result.model);
    TenantResult& tenant = tenants[state.trace->tenant];
    tenant.tenant = state.trace->tenant;
    count(state, tenant.counts);
    const bool good = is_good(state);
    if (good) {
      const engine_model::CostModel& cost = deployment_.engine.cost;
      tenant.engine_seconds += state.trace->prompt_tokens * cost.prefill_token +
                               state.trace->output_tokens * cost.decode_sequence;
    }
    if (state.outcome == RequestOutcome::kAnswered) {
      result.first_token_seconds.push_back(to_seconds(
          *state.first_token - MonotonicTime(state.trace->arrival) + 2 * deployment_.client_delay));
      result.gaps.merge(state.gaps);
    }
    const auto slice = static_cast<std::size_t>(state.trace->arrival / std::chrono::seconds(5));
    if (slice < result.timeline.size()) {
      ++result.timeline[slice].offered;
      result.timeline[slice].good += good ? 1 : 0;
      result.timeline[slice].prompt_tokens += state.trace->prompt_tokens;
      result.timeline[slice].output_tokens += state.trace->output_tokens;
    }
  }
  std::sort(result.first_token_seconds.begin(), result.first_token_seconds.end());
  for (auto& [name, tenant] : tenants) {
    result.tenants.push_back(tenant);
  }
  double busy = 0;
  double prefilled = 0;
  double cached = 0;
  for (EmulatedEngine& engine : engines_.all()) {
    busy += to_seconds(engine.model.statistics().busy);
    prefilled += static_cast<double>(engine.model.statistics().prefill_tokens);
    cached += static_cast<double>(engine.model.statistics().cached_prompt_tokens);
  }
  result.engine_busy_fraction =
      busy / (to_seconds(now_.time_since_epoch()) * static_cast<double>(engines_.size()));
  result.cached_prompt_fraction = cached + prefilled == 0 ? 0 : cached / (cached + prefilled);
  return result;
}

}  // namespace ochrespring::emulator
