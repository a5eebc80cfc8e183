#include "router/goodput_router.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace ochrespring::router {
namespace {

/// Score added per between-token limit by which a plan exceeds it: seconds.
constexpr double kExcessSeconds = 5;
/// Makes the order of slots the order of scores where nothing else differs; below any real time.
constexpr double kOrderSeconds = 1e-6;
/// A mixed engine keeps room in its steps for at least this much prompt.
constexpr double kLeastChunkTokens = 128;

/// Next value of a splitmix64 sequence.
std::uint64_t next_random(std::uint64_t& state) {
  state += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

bool is_excluded(const RouteRequest& request, const EngineId& engine) {
  return std::find(request.excluded.begin(), request.excluded.end(), engine) !=
         request.excluded.end();
}

}  // namespace

GoodputRouter::GoodputRouter(const GoodputRouterParameters& parameters, std::uint64_t seed)
    : parameters_(parameters),
      random_state_(seed),
      table_(EngineTable::Parameters{parameters.cost, parameters.others_share,
                                     parameters.own_weight, parameters.outstanding_weight,
                                     parameters.correct_lag}),
      belief_(parameters.belief_entries) {}

void GoodputRouter::update(FleetViewPointer view, MonotonicTime now) {
  view_ = std::move(view);
  table_.update(*view_, now);
}

void GoodputRouter::on_cache_events(const EngineId& engine, Incarnation incarnation,
                                    const std::vector<engine::CacheEvent>& events,
                                    MonotonicTime /*now*/) {
  const EngineSlot slot = table_.find(engine);
  if (slot == kNoSlot || table_.at(slot).view.load.incarnation != incarnation) {
    return;  // Of an engine that left, or of an earlier life of it.
  }
  std::uint64_t& last = table_.at(slot).last_cache_event;
  for (const engine::CacheEvent& event : events) {
    if (last != 0 && event.sequence > last + 1) {
      ++statistics_.cache_event_gaps;
    }
    last = event.sequence;
    switch (event.change) {
      case engine::CacheChange::kStored:
        belief_.add(slot, table_.at(slot).epoch, event.blocks);
        break;
      case engine::CacheChange::kEvicted:
        belief_.remove(slot, event.blocks);
        break;
      case engine::CacheChange::kCleared:
        ++table_.at(slot).epoch;
        break;
    }
  }
}

const fleet::Service* GoodputRouter::find_service(const ServiceName& name) const {
  for (const fleet::Service& service : view_->services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

RouteDecision GoodputRouter::refuse(RefusalReason reason) {
  ++statistics_.refused;
  RouteDecision decision;
  decision.verdict = RouteVerdict::kRefuse;
  decision.reason = reason;
  return decision;
}

RouteDecision GoodputRouter::route(const RouteRequest& request, MonotonicTime now) {
  if (!view_) {
    return {};
  }
  const fleet::Service* service = find_service(request.service);
  if (service == nullptr) {
    return refuse(RefusalReason::kUnknownService);
  }
  if (now >= request.deadline) {
    return refuse(RefusalReason::kDeadline);
  }
  const EngineTable::Group* group = table_.group(request.service, request.model);
  if (group == nullptr) {
    return refuse(table_.knows_service(request.service) ? RefusalReason::kUnknownModel
                                                        : RefusalReason::kNoEngine);
  }
  if (service->kind == fleet::ServiceKind::kOrdinary) {
    return route_ordinary(*group, request, now);
  }
  std::vector<PrefixHolder> holders;
  if (parameters_.use_prefix_belief) {
    holders = belief_.find(request.prompt_blocks);
  }
  const auto engines = candidates(*group, request, holders, now);
  const auto plan = best_plan(engines, request, service->limits, holders, now);
  if (!plan) {
    ++statistics_.waited;
    return {};
  }
  RouteDecision decision = decide(*plan, request, service->limits, now);
  if (decision.verdict == RouteVerdict::kWait) {
    ++statistics_.waited;
  } else if (decision.verdict == RouteVerdict::kRefuse) {
    ++statistics_.refused;
  }
  return decision;
}

RouteDecision GoodputRouter::route_ordinary(const EngineTable::Group& group,
                                            const RouteRequest& request, MonotonicTime now) {
  EngineSlot best = kNoSlot;
  double best_score = 0;
  const std::size_t first = next_random(random_state_) % group.size();
  for (std::size_t i = 0; i < group.size(); ++i) {
    const EngineSlot slot = group[(first + i) % group.size()];
    const TrackedEngine& engine = table_.at(slot);
    if (!table_.dispatchable(slot, now) || is_excluded(request, engine.view.id)) {
      continue;
    }
    const double score =
        table_.estimate(slot, now).running + (engine.view.zone == request.origin ? 0.0 : 0.5);
    if (best == kNoSlot || score < best_score) {
      best = slot;
      best_score = score;
    }
  }
  RouteDecision decision;
  if (best == kNoSlot) {
    ++statistics_.waited;
    return decision;
  }
  decision.verdict = RouteVerdict::kDispatch;
  decision.engine = table_.at(best).view.id;
  decision.endpoint = table_.at(best).view.endpoint;
  return decision;
}

std::vector<EngineSlot> GoodputRouter::candidates(const EngineTable::Group& group,
                                                  const RouteRequest& request,
                                                  const std::vector<PrefixHolder>& holders,
                                                  MonotonicTime now) {
  std::vector<EngineSlot> chosen;
  const auto consider = [&](EngineSlot slot) {
    if (table_.dispatchable(slot, now) && !is_excluded(request, table_.at(slot).view.id) &&
        std::find(chosen.begin(), chosen.end(), slot) == chosen.end()) {
      chosen.push_back(slot);
    }
  };
  const std::size_t scanned = std::min(group.size(), parameters_.scanned_engines);
  chosen.reserve(scanned + holders.size());
  for (const PrefixHolder& holder : holders) {
    const EngineView& view = table_.at(holder.slot).view;
    if (view.service == request.service && view.model == request.model) {
      consider(holder.slot);
    }
  }
  // A random start breaks ties; in a large group the picks are a random sample.
  const bool sample = scanned < group.size();
  const std::size_t first = next_random(random_state_) % group.size();
  for (std::size_t i = 0; i < scanned; ++i) {
    const std::size_t pick = sample ? next_random(random_state_) : first + i;
    consider(group[pick % group.size()]);
  }
  return chosen;
}

std::uint32_t GoodputRouter::cached_tokens(EngineSlot slot, const RouteRequest& request,
                                           const std::vector<PrefixHolder>& holders) const {
  for (const PrefixHolder& holder : holders) {
    if (holder.slot == slot && holder.epoch == table_.at(slot).epoch) {
      return std::min(holder.blocks * engine::kTokensPerBlock, request.prompt_tokens);
    }
  }
  return 0;
}

double GoodputRouter::distance_seconds(EngineSlot slot, const RouteRequest& request) const {
  return table_.at(slot).view.zone == request.origin ? 0 : parameters_.zone_seconds;
}

double GoodputRouter::pressure(double between_tokens, const fleet::ServiceLimits& limits) const {
  const double limit = to_seconds(limits.between_tokens) * parameters_.between_token_margin;
  const double used = between_tokens / limit;
  return parameters_.decode_balance_seconds * used + kExcessSeconds * std::max(0.0, used - 1);
}

std::optional<GoodputRouter::Plan> GoodputRouter::best_plan(
    const std::vector<EngineSlot>& engines, const RouteRequest& request,
    const fleet::ServiceLimits& limits, const std::vector<PrefixHolder>& holders,
    MonotonicTime now) {
  std::optional<Plan> best;
  const auto consider = [&best](const std::optional<Plan>& plan) {
    if (plan && (!best || plan->score < best->score)) {
      best = plan;
    }
  };
  for (const EngineSlot slot : engines) {
    consider(plan_whole(slot, request, limits, holders, now));
  }
  if (parameters_.disaggregate) {
    consider(plan_split(engines, request, limits, holders, now));
  }
  return best;
}

std::optional<GoodputRouter::Plan> GoodputRouter::plan_whole(
    EngineSlot slot, const RouteRequest& request, const fleet::ServiceLimits& limits,
    const std::vector<PrefixHolder>& holders, MonotonicTime now) {
  const LoadEstimate load = table_.estimate(slot, now);
  const std::uint32_t cached = cached_tokens(slot, request, holders);
  const double uncached = std::max(1.0, static_cast<double>(request.prompt_tokens) - cached);
  const double needed = request.prompt_tokens + request.expected_output_tokens - cached;
  if (load.role == fleet::EngineRole::kPrefill ||
      (load.role == fleet::EngineRole::kDecode &&
       uncached > parameters_.decode_role_prompt_tokens) ||
      needed > load.kv_tokens_free) {
    return std::nullopt;
  }
  const EngineForecast expected = forecast(parameters_.cost, load, request.prompt_tokens, uncached);
  // While decodes are packed, a whole request must not open another engine to them.
  const bool opens = parameters_.pack_decodes && load.role == fleet::EngineRole::kMixed &&
                     (load.context_tokens <= 0 || !fits_packing(expected, limits));
  if (opens) {
    return std::nullopt;
  }
  const double least_chunk = kLeastChunkTokens * parameters_.cost.prefill_token;
  Plan plan;
  plan.engine = slot;
  plan.cached_tokens = cached;
  plan.first_token = expected.first_token + distance_seconds(slot, request);
  plan.between_tokens = expected.decode_step + least_chunk;
  plan.queueing = load.backlog_tokens / prefill_rate(parameters_.cost, load);
  plan.score = plan.first_token + pressure(plan.between_tokens, limits);
  return plan;
}

bool GoodputRouter::fits_packing(const EngineForecast& expected,
                                 const fleet::ServiceLimits& limits) const {
  return expected.decode_step <= to_seconds(limits.between_tokens) * parameters_.packing_share;
}

std::optional<GoodputRouter::Plan> GoodputRouter::choose_prefill(
    const std::vector<EngineSlot>& engines, EngineSlot decode, const RouteRequest& request,
    const std::vector<PrefixHolder>& holders, MonotonicTime now) {
  std::optional<Plan> best;
  for (const EngineSlot slot : engines) {
    const LoadEstimate load = table_.estimate(slot, now);
    const bool takes = load.role == fleet::EngineRole::kPrefill ||
                       (parameters_.pack_decodes && load.role == fleet::EngineRole::kMixed);
    if (!takes || slot == decode) {
      continue;
    }
    const std::uint32_t cached = cached_tokens(slot, request, holders);
    const double uncached = std::max(1.0, static_cast<double>(request.prompt_tokens) - cached);
    const EngineForecast expected =
        forecast(parameters_.cost, load, request.prompt_tokens, uncached);
    const double score = expected.first_token + distance_seconds(slot, request);
    if (!best || score < best->score) {
      best = Plan{};
      best->score = score;
      best->prefill = slot;
      best->first_token = expected.first_token;
      best->queueing = load.backlog_tokens / prefill_rate(parameters_.cost, load);
      best->cached_tokens = cached;
    }
  }
  return best;
}

std::optional<GoodputRouter::Plan> GoodputRouter::choose_decode(
    const std::vector<EngineSlot>& engines, const RouteRequest& request,
    const fleet::ServiceLimits& limits, MonotonicTime now) {
  std::optional<Plan> best;
  bool best_fits = false;
  for (const EngineSlot slot : engines) {
    const LoadEstimate load = table_.estimate(slot, now);
    const bool mixed = parameters_.pack_decodes && load.role == fleet::EngineRole::kMixed;
    const double needed = request.prompt_tokens + request.expected_output_tokens;
    if ((load.role != fleet::EngineRole::kDecode && !mixed) || needed > load.kv_tokens_free) {
      continue;
    }
    const EngineForecast expected = forecast(parameters_.cost, load, request.prompt_tokens, 0);
    const bool fits = mixed && fits_packing(expected, limits);
    Plan plan;
    plan.engine = slot;
    plan.between_tokens = expected.decode_step;
    plan.score = pressure(expected.decode_step, limits) + distance_seconds(slot, request);
    // Among mixed engines with room the first in the order all proxies of a zone share: decodes
    // stay on few engines and the others keep their steps for prompts.
    if (fits) {
      plan.score = distance_seconds(slot, request) + kOrderSeconds * slot;
    }
    const bool better = !best || (fits == best_fits ? plan.score < best->score : fits);
    if (better) {
      best = plan;
      best_fits = fits;
    }
  }
  return best;
}

std::optional<GoodputRouter::Plan> GoodputRouter::plan_split(
    const std::vector<EngineSlot>& engines, const RouteRequest& request,
    const fleet::ServiceLimits& limits, const std::vector<PrefixHolder>& holders,
    MonotonicTime now) {
  const auto decode = choose_decode(engines, request, limits, now);
  if (!decode) {
    return std::nullopt;
  }
  const auto prefill = choose_prefill(engines, decode->engine, request, holders, now);
  if (!prefill) {
    return std::nullopt;
  }
  const bool same_zone =
      table_.at(prefill->prefill).view.zone == table_.at(decode->engine).view.zone;
  const auto distance =
      same_zone ? engine_model::Distance::kSameZone : engine_model::Distance::kOtherZone;
  constexpr std::uint64_t kBytesPerToken = 131'072;
  const double transfer =
      parameters_.transfer.transfer_seconds(request.prompt_tokens * kBytesPerToken, distance);
  Plan plan = *decode;
  plan.prefill = prefill->prefill;
  plan.cached_tokens = prefill->cached_tokens;
  plan.queueing = prefill->queueing;
  plan.first_token = prefill->first_token + transfer + 1.5 * decode->between_tokens;
  plan.score += plan.first_token;
  return plan;
}

RouteDecision GoodputRouter::decide(const Plan& plan, const RouteRequest& request,
                                    const fleet::ServiceLimits& limits, MonotonicTime now) const {
  RouteDecision decision;
  decision.predicted_first_token = from_seconds(plan.first_token);
  decision.predicted_between_tokens = from_seconds(plan.between_tokens);
  decision.cached_prompt_tokens = plan.cached_tokens;
  const double waited = to_seconds(now - request.arrived);
  if (parameters_.admit_by_prediction && !request.started) {
    const double limit = to_seconds(limits.first_token) * parameters_.first_token_margin;
    const double doubt = parameters_.queue_doubt * plan.queueing;
    if (waited + plan.first_token + doubt > limit) {
      decision.verdict = RouteVerdict::kRefuse;
      decision.reason = RefusalReason::kLimitsNotMet;
      return decision;
    }
    const double between = to_seconds(limits.between_tokens) * parameters_.between_token_margin;
    if (plan.between_tokens > between) {
      return decision;  // Wait: a slot frees when a stream ends.
    }
  }
  if (plan.queueing > to_seconds(parameters_.dispatch_window) && !request.started) {
    return decision;
  }
  decision.verdict = RouteVerdict::kDispatch;
  decision.engine = table_.at(plan.engine).view.id;
  decision.endpoint = table_.at(plan.engine).view.endpoint;
  if (plan.prefill != kNoSlot) {
    decision.prefill_engine = table_.at(plan.prefill).view.id;
    decision.prefill_endpoint = table_.at(plan.prefill).view.endpoint;
  }
  return decision;
}

void GoodputRouter::on_dispatched(const RouteRequest& request, const RouteDecision& decision,
                                  MonotonicTime now) {
  Outstanding sent;
  sent.engine = table_.find(decision.engine);
  if (sent.engine == kNoSlot) {
    return;
  }
  on_finished(request.id, 0, now);  // An earlier attempt of the same request is over.
  ++statistics_.dispatched;
  const double uncached =
      std::max(0.0, static_cast<double>(request.prompt_tokens) - decision.cached_prompt_tokens);
  sent.backlog_tokens = uncached;
  sent.context_tokens = request.prompt_tokens + request.expected_output_tokens / 2.0;
  if (decision.prefill_engine) {
    ++statistics_.disaggregated;
    sent.prefill = table_.find(*decision.prefill_engine);
  }
  if (sent.prefill != kNoSlot) {
    table_.on_sent(sent.prefill, uncached, 0, now);
    belief_.add(sent.prefill, table_.at(sent.prefill).epoch, request.prompt_blocks);
  }
  table_.on_sent(sent.engine, sent.prefill == kNoSlot ? uncached : 0, sent.context_tokens, now);
  belief_.add(sent.engine, table_.at(sent.engine).epoch, request.prompt_blocks);
  outstanding_[request.id] = sent;
}

void GoodputRouter::settle_prefill(Outstanding& sent) {
  table_.on_prefilled(sent.prefill == kNoSlot ? sent.engine : sent.prefill, sent.backlog_tokens);
  sent.backlog_tokens = 0;
  if (sent.prefill != kNoSlot) {
    table_.on_ended(sent.prefill, 0);
    sent.prefill = kNoSlot;
  }
}

void GoodputRouter::on_first_token(const RequestId& request, Duration /*elapsed*/,
                                   MonotonicTime /*now*/) {
  const auto found = outstanding_.find(request);
  if (found != outstanding_.end()) {
    settle_prefill(found->second);
  }
}

void GoodputRouter::on_finished(const RequestId& request, std::uint32_t /*output_tokens*/,
                                MonotonicTime /*now*/) {
  const auto found = outstanding_.find(request);
  if (found == outstanding_.end()) {
    return;
  }
  settle_prefill(found->second);
  table_.on_ended(found->second.engine, found->second.context_tokens);
  outstanding_.erase(found);
}

}  // namespace ochrespring::router
