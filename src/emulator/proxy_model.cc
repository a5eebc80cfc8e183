#include "emulator/proxy_model.h"

#include <algorithm>
#include <bit>

#include "router/least_requests_router.h"

namespace ochrespring::emulator {
namespace {

constexpr std::size_t kLengthClasses = 24;
constexpr double kFirstOutputGuess = 128;
constexpr double kLearningRate = 0.05;
/// Engine seconds a decoded token takes of a full batch, for the tenant queue's cost.
constexpr double kDecodeTokenSeconds = 0.0006;

std::unique_ptr<router::Router> make_router(const PolicyConfiguration& policy, std::uint64_t seed) {
  if (policy.router == RouterKind::kGoodput) {
    return std::make_unique<router::GoodputRouter>(policy.router_parameters, seed);
  }
  return std::make_unique<router::LeastRequestsRouter>(seed);
}

std::size_t length_class(std::uint32_t prompt_tokens) {
  return std::min<std::size_t>(std::bit_width(prompt_tokens), kLengthClasses - 1);
}

}  // namespace

ProxyModel::ProxyModel(const PolicyConfiguration& policy,
                       const std::vector<workload::TenantShare>& tenants,
                       Duration first_token_limit, std::uint64_t seed, ProxyHost& host)
    : policy_(policy),
      first_token_limit_(first_token_limit),
      host_(host),
      router_(make_router(policy, seed)),
      output_means_(kLengthClasses, kFirstOutputGuess) {
  for (Lane* lane : {&model_lane_, &ordinary_lane_}) {
    lane->queue = router::make_tenant_queue(policy.queue, policy.queue_limits);
    for (const workload::TenantShare& tenant : tenants) {
      lane->queue->set_weight(tenant.name, tenant.weight);
    }
  }
}

double ProxyModel::expected_output(std::uint32_t prompt_tokens) const {
  return output_means_[length_class(prompt_tokens)];
}

void ProxyModel::learn_output(std::uint32_t prompt_tokens, std::uint32_t output_tokens) {
  double& mean = output_means_[length_class(prompt_tokens)];
  mean += kLearningRate * (output_tokens - mean);
}

void ProxyModel::on_arrival(RequestIndex index, MonotonicTime now) {
  RequestState& state = host_.request(index);
  const bool ordinary = state.trace->model.empty();
  state.route.expected_output_tokens =
      policy_.omniscient ? state.trace->output_tokens
                         : static_cast<std::uint32_t>(expected_output(state.trace->prompt_tokens));
  router::QueueEntry entry;
  entry.handle = index;
  entry.tenant = state.trace->tenant;
  entry.cost = ordinary
                   ? 1
                   : state.trace->prompt_tokens * policy_.router_parameters.cost.prefill_token +
                         state.route.expected_output_tokens * kDecodeTokenSeconds;
  Lane& lane = ordinary ? ordinary_lane_ : model_lane_;
  if (!lane.queue->push(entry)) {
    host_.finish(index, RequestOutcome::kNotRun);
    return;
  }
  if (policy_.drop_late) {
    lane.order.push_back(index);
  }
  pump_lane(lane, now);
}

void ProxyModel::on_view(router::FleetViewPointer view, MonotonicTime now) {
  router_->update(std::move(view), now);
  pump(now);
}

void ProxyModel::on_cache_events(const EngineId& engine, Incarnation incarnation,
                                 const std::vector<engine::CacheEvent>& events, MonotonicTime now) {
  router_->on_cache_events(engine, incarnation, events, now);
}

void ProxyModel::on_first_token(RequestIndex index, MonotonicTime now) {
  const RequestState& state = host_.request(index);
  router_->on_first_token(state.route.id, now - state.dispatched, now);
}

void ProxyModel::on_finished(RequestIndex index, MonotonicTime now) {
  const RequestState& state = host_.request(index);
  router_->on_finished(state.route.id, state.trace->output_tokens, now);
  if (!state.trace->model.empty()) {
    learn_output(state.trace->prompt_tokens, state.trace->output_tokens);
  }
  pump(now);
}

void ProxyModel::on_broken(RequestIndex index, MonotonicTime now) {
  router_->on_finished(host_.request(index).route.id, 0, now);
  retries_.push_back(index);
  pump_retries(now);
}

void ProxyModel::pump(MonotonicTime now) {
  pump_retries(now);
  for (Lane* lane : {&model_lane_, &ordinary_lane_}) {
    drop_late(*lane, now);
    pump_lane(*lane, now);
  }
}

void ProxyModel::pump_retries(MonotonicTime now) {
  const std::size_t count = retries_.size();
  for (std::size_t i = 0; i < count; ++i) {
    const RequestIndex index = retries_.front();
    retries_.pop_front();
    if (!try_route(index, now)) {
      retries_.push_back(index);
    }
  }
}

void ProxyModel::pump_lane(Lane& lane, MonotonicTime now) {
  while (const router::QueueEntry* entry = lane.queue->front()) {
    const std::uint64_t handle = entry->handle;
    const auto index = static_cast<RequestIndex>(handle);
    if (!try_route(index, now)) {
      return;
    }
    if (host_.request(index).outcome == RequestOutcome::kOpen) {
      lane.queue->pop();
    } else {
      lane.queue->remove(handle);
    }
  }
}

void ProxyModel::drop_late(Lane& lane, MonotonicTime now) {
  while (policy_.drop_late && !lane.order.empty()) {
    const RequestIndex index = lane.order.front();
    const RequestState& state = host_.request(index);
    if (now - state.route.arrived < first_token_limit_) {
      return;
    }
    lane.order.pop_front();
    if (lane.queue->remove(index)) {
      host_.finish(index, RequestOutcome::kNotRun);
    }
  }
}

bool ProxyModel::try_route(RequestIndex index, MonotonicTime now) {
  RequestState& state = host_.request(index);
  const router::RouteDecision decision = router_->route(state.route, now);
  switch (decision.verdict) {
    case router::RouteVerdict::kWait:
      if (!state.route.excluded.empty()) {
        state.route.excluded.clear();  // All others refused too: begin anew next time.
      }
      return false;
    case router::RouteVerdict::kRefuse:
      count_demand(state, decision);
      host_.finish(index, state.tokens_done > 0 ? RequestOutcome::kCut : RequestOutcome::kNotRun);
      return true;
    case router::RouteVerdict::kDispatch:
      break;
  }
  if (state.attempt == 0) {
    count_demand(state, decision);
  }
  router_->on_dispatched(state.route, decision, now);
  host_.dispatch(index, decision);
  return true;
}

void ProxyModel::count_demand(const RequestState& state, const router::RouteDecision& decision) {
  if (state.trace->model.empty()) {
    return;
  }
  demand_.requests += 1;
  demand_.prefill_tokens += state.trace->prompt_tokens - decision.cached_prompt_tokens;
  demand_.decode_tokens += state.route.expected_output_tokens;
}

ProxyDemand ProxyModel::take_demand() {
  return std::exchange(demand_, {});
}

std::size_t ProxyModel::waiting() const {
  return model_lane_.queue->size() + retries_.size();
}

std::vector<RequestIndex> ProxyModel::abandon() {
  std::vector<RequestIndex> waiting(retries_.begin(), retries_.end());
  retries_.clear();
  for (Lane* lane : {&model_lane_, &ordinary_lane_}) {
    while (const router::QueueEntry* entry = lane->queue->front()) {
      waiting.push_back(static_cast<RequestIndex>(entry->handle));
      lane->queue->remove(entry->handle);
    }
    lane->order.clear();
  }
  return waiting;
}

}  // namespace ochrespring::emulator
