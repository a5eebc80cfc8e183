#include "gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

// Unless stated otherwise, costs are in prefill tokens: the time in which an idle prefill engine
// prefills one token.

/// Prefill cost at an engine that also decodes: it prefills at half the speed.
constexpr double kRunnerPrefillCost = 2;
/// Share of the prefill cost that each other stream at the engine adds: between its tokens each one
/// waits for a chunk of the prefill.
constexpr double kSlowdownPerStream = 0.25;
/// Cost of one request that already runs at an engine: each slows every step a little.
constexpr double kTokensPerRunning = 60;
/// Pending prefill tokens assumed for each request that a prefill engine's load report shows but no
/// node reports.
constexpr double kTokensPerUnreportedPrefill = 2'000;
/// Cost of one waiting request of other nodes.
constexpr double kTokensPerWaiting = 3'000;
/// Cost at a failure share of 1.
constexpr double kTokensPerFailure = 60'000;
/// Cost of a stream that is certainly late: less than that of one that fails, since a late
/// answer is of some use to most callers.
constexpr double kTokensPerLateStream = 40'000;
/// A stream with fewer events counts as short: it ends within a fraction of a second.
constexpr double kMinLongStreamEvents = 4;
/// Average number of remaining events of a long stream.
constexpr double kEventsOfLongStream = 36;
/// Relative prefill times that differ from 1 by less are ignored: estimates for identical engines
/// nearly always stay within a fifth of their median.
constexpr double kPrefillTimeNoise = 0.3;
/// Cost at a refusal share of 1: the request needs a retry, which the retry budget may not allow.
constexpr double kTokensPerRefusal = 40'000;
/// Cost of a separate prefill: a second call and the setup of the cache transfer.
constexpr double kHandOverTokens = 1'500;
/// Cost of transferring one token's cache.
constexpr double kTransferCost = 0.04;
/// Below this number of tokens, prefill is faster than a fetch from another engine.
constexpr std::uint64_t kMinFetchTokens = 800;
/// Cost of a fetch, and of one token fetched.
constexpr double kFetchTokens = 600;
constexpr double kFetchTokenCost = 0.4;
/// Cost of a new connection.
constexpr double kNewConnectionTokens = 300;
/// Factor on the cost of a transfer between zones.
constexpr double kOtherZoneTransfer = 2;
/// Extra cost of prefilling a shared part again, relative to its tokens: it takes engine time and
/// cache memory from other requests. Scaled by the contention at the prefill engines, see
/// kBusyPrefillFactor.
constexpr double kExtraReprefillCost = 1.5;
/// Full contention is reached when half of the prefill engines have pending work. While they are
/// idle, they prefill an uncached prompt of 17,000 tokens in 0.5 s; with the full extra cost it
/// would go to an engine that also decodes, at half the speed.
constexpr double kBusyPrefillFactor = 2;
/// Share of a prompt's uncached shared tokens that is assumed missing at its home, where other
/// nodes may have sent them.
constexpr double kHomeMissingShare = 0.4;
/// Cost of using another zone for an ordinary service, in requests per slot.
constexpr double kOtherZoneCost = 0.25;
/// Cost factor of a back end that has just started.
constexpr double kColdBackendCost = 1.6;
/// Cost at a failure share of 1 for an ordinary service, in requests per slot.
constexpr double kOrdinaryFailureCost = 6;
/// Cost at a refusal share of 1 for an ordinary service, in requests per slot.
constexpr double kOrdinaryRefusalCost = 3;
/// Maximum random addition to the cost factor, so that nodes do not all choose the same one of
/// equal back ends.
constexpr double kMaxRandomCostFactor = 0.02;
/// Requests per slot that may wait at a back end of an ordinary service, so that it has work until
/// the gateway learns of a free slot.
constexpr double kOrdinaryQueuePerSlot = 0.5;

double fetch_cost(std::uint64_t tokens) {
  return tokens == 0 ? 0 : kFetchTokens + kFetchTokenCost * static_cast<double>(tokens);
}

double connection_cost(const Backend& backend, const PlacementRequest& request) {
  return request.connected && !request.connected(backend) ? kNewConnectionTokens : 0;
}

}  // namespace

PlacementPlan Placement::choose(const PlacementRequest& request, MonotonicTime now) const {
  CandidateFinder::Query query{.service = request.service,
                               .prompt = request.prompt,
                               .avoid = &request.avoid,
                               .gate = request.gate,
                               .software = request.software};
  if (request.prompt != nullptr && !finder_.considers_all()) {
    query.holders = finder_.holders(*request.prompt, now);
  }
  if (request.fewest_requests_only) {
    PlacementPlan plan;
    plan.runner = cheapest(finder_.find(query, false, now).backends, [&](const Backend& backend) {
      return PlacementChoice{.cost = 1 + workload_at(backend, now).requests};
    });
    return plan;
  }
  if (request.prompt != nullptr) {
    return choose_engines(request, query, now);
  }
  PlacementPlan plan;
  plan.runner = cheapest(finder_.find(query, false, now).backends,
                         [&](const Backend& backend) { return estimate_ordinary(backend, now); });
  return plan;
}

PlacementPlan Placement::choose_engines(const PlacementRequest& request,
                                        const CandidateFinder::Query& query,
                                        MonotonicTime now) const {
  const Prompt& prompt = *request.prompt;
  const CacheSources sources = finder_.considers_all()
                                   ? CacheSources(fleet_, loads_, request.service, prompt, now)
                                   : CacheSources(query.holders, loads_, prompt, now);
  const Candidates runners = finder_.find(query, false, now);
  const PromptContext at_runners{.prompt = prompt,
                                 .sources = sources,
                                 .request = request,
                                 .home = runners.home,
                                 .unsuited_share = unsuited_share(runners.backends, request, now)};
  PlacementPlan direct;
  direct.runner = cheapest(runners.backends, [&](const Backend& backend) {
    return estimate_runner(backend, at_runners, nullptr, now);
  });
  if (!request.allow_separate_prefill || direct.runner.backend == nullptr) {
    return direct;
  }
  const Candidates prefill_engines = finder_.find(query, true, now);
  const double contention =
      std::min(1.0, kBusyPrefillFactor * busy_share(prefill_engines.backends, now));
  const PromptContext at_prefill_engines{.prompt = prompt,
                                         .sources = sources,
                                         .request = request,
                                         .home = prefill_engines.home,
                                         .reprefill_cost = kExtraReprefillCost * contention};
  PlacementPlan split;
  split.prefill = cheapest(prefill_engines.backends, [&](const Backend& backend) {
    return estimate_prefill(backend, at_prefill_engines, now);
  });
  split.runner = cheapest(runners.backends, [&](const Backend& backend) {
    return estimate_runner(backend, at_runners, split.prefill.backend, now);
  });
  const bool quicker = split.prefill.backend != nullptr &&
                       split.prefill.cost + split.runner.cost < direct.runner.cost;
  return quicker ? split : direct;
}

bool Placement::has_room(const CapacityQuery& query, const PlacementPlan& plan,
                         MonotonicTime now) const {
  const PlacementRequest& request = query.request;
  const bool engine = request.prompt != nullptr;
  const auto has_slot = [&](const Backend* backend) {
    return has_free_slot(*backend, engine, now);
  };
  const auto can_prefill = [&](const Backend* backend) {
    const std::uint64_t tokens =
        plan.prefill.backend != nullptr ? plan.prefill.prefill_tokens : plan.runner.prefill_tokens;
    return prefills_in_time(*backend, tokens, query, now);
  };
  const Backend* prefill_engine =
      plan.prefill.backend != nullptr ? plan.prefill.backend : plan.runner.backend;
  if (has_slot(plan.runner.backend) && (!engine || can_prefill(prefill_engine))) {
    return true;
  }
  const CandidateFinder::Query candidates{.service = request.service,
                                          .prompt = request.prompt,
                                          .avoid = &request.avoid,
                                          .gate = request.gate,
                                          .software = request.software};
  const Backends runners = finder_.find(candidates, false, now).backends;
  if (!engine) {
    return std::any_of(runners.begin(), runners.end(), has_slot);
  }
  if (std::any_of(runners.begin(), runners.end(), [&](const Backend* backend) {
        return has_slot(backend) && can_prefill(backend);
      })) {
    return true;
  }
  const Backends prefill_engines =
      request.allow_separate_prefill ? finder_.find(candidates, true, now).backends : Backends();
  return std::any_of(runners.begin(), runners.end(), has_slot) &&
         std::any_of(prefill_engines.begin(), prefill_engines.end(), can_prefill);
}

bool Placement::has_free_slot(const Backend& backend, bool engine, MonotonicTime now) const {
  const double slots = std::max<double>(backend.slots, 1);
  const double allowed_queue = engine ? 0 : std::max(1.0, kOrdinaryQueuePerSlot * slots);
  return workload_at(backend, now).requests < slots + allowed_queue;
}

/// Allows up to half of the target latency as waiting time in any case: otherwise a prompt whose
/// prefill takes most of the target would never find an engine idle enough.
bool Placement::prefills_in_time(const Backend& engine, std::uint64_t tokens,
                                 const CapacityQuery& query, MonotonicTime now) const {
  const auto profile = query.profiles != nullptr ? query.profiles->find(engine, now) : std::nullopt;
  const double ahead = workload_at(engine, now).pending_prefill_tokens;
  if (!profile || ahead <= 0) {
    return true;
  }
  const double prefill_cost = engine.role == EngineRole::kPrefill ? 1 : kRunnerPrefillCost;
  const double seconds_per_token =
      prefill_cost * load_of(engine).slowness(now) * to_seconds(profile->prompt_token);
  const double target = to_seconds(query.target_latency);
  const double left = target - seconds_per_token * static_cast<double>(tokens);
  return seconds_per_token * ahead <= std::max(left, target / 2);
}

template <class Estimate>
PlacementChoice Placement::cheapest(const Backends& backends, const Estimate& estimate) const {
  PlacementChoice best;
  for (const Backend* backend : backends) {
    PlacementChoice choice = estimate(*backend);
    choice.backend = backend;
    choice.cost *= (backend->cold ? kColdBackendCost : 1) + kMaxRandomCostFactor * random_.unit();
    if (best.backend == nullptr || choice.cost < best.cost) {
      best = choice;
    }
  }
  return best;
}

double Placement::busy_share(const Backends& engines, MonotonicTime now) const {
  const auto busy = std::count_if(engines.begin(), engines.end(), [&](const Backend* engine) {
    return workload_at(*engine, now).pending_prefill_tokens != 0;
  });
  return engines.empty() ? 0 : static_cast<double>(busy) / static_cast<double>(engines.size());
}

PlacementChoice Placement::estimate_runner(const Backend& backend,
                                           const PromptContext& prompt_context,
                                           const Backend* prefill_engine, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const TotalWorkload work = workload_at(backend, now);
  PlacementChoice choice;
  if (prefill_engine != nullptr) {
    const double distance = prefill_engine->zone == backend.zone ? 1 : kOtherZoneTransfer;
    choice.cost = kHandOverTokens +
                  distance * kTransferCost * static_cast<double>(prompt_context.prompt.tokens);
  } else {
    const PrefillWork prefill_work = prefill_work_at(backend, prompt_context, now);
    choice.prefill_tokens = prefill_work.prefill_tokens;
    choice.fetch_source = prefill_work.fetch_source;
    choice.cost =
        fetch_cost(prefill_work.fetched_tokens) +
        kRunnerPrefillCost * load.slowness(now) *
            (static_cast<double>(prefill_work.prefill_tokens) + work.pending_prefill_tokens) *
            (1 + kSlowdownPerStream * work.requests);
  }
  choice.cost += stream_cost(backend, prompt_context, work, choice.prefill_tokens, now);
  choice.cost +=
      connection_cost(backend, prompt_context.request) + kTokensPerRunning * work.requests +
      kTokensPerWaiting * load.reported_waiting(now) + kTokensPerFailure * load.failure_share(now) +
      kTokensPerRefusal * load.refusal_share(now);
  return choice;
}

PlacementChoice Placement::estimate_prefill(const Backend& backend,
                                            const PromptContext& prompt_context,
                                            MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const PrefillWork prefill_work = prefill_work_at(backend, prompt_context, now);
  PlacementChoice choice;
  choice.prefill_tokens = prefill_work.prefill_tokens;
  choice.fetch_source = prefill_work.fetch_source;
  const double missing =
      static_cast<double>(choice.prefill_tokens - prompt_context.prompt.own_tokens());
  choice.cost = connection_cost(backend, prompt_context.request) +
                fetch_cost(prefill_work.fetched_tokens) + prompt_context.reprefill_cost * missing +
                load.slowness(now) * relative_prefill_time(backend, prompt_context.request, now) *
                    (static_cast<double>(choice.prefill_tokens) +
                     workload_at(backend, now).pending_prefill_tokens) +
                kTokensPerFailure * load.failure_share(now) +
                kTokensPerRefusal * load.refusal_share(now);
  return choice;
}

double Placement::relative_prefill_time(const Backend& backend, const PlacementRequest& request,
                                        MonotonicTime now) const {
  if (profiles_ == nullptr || !request.stream) {
    return 1;
  }
  const auto own = profiles_->find(backend, now);
  const auto usual = profiles_->usual(request.service, now);
  if (!own || !usual || own->prompt_token.count() == 0 || usual->prompt_token.count() == 0) {
    return 1;
  }
  const double relative_time = to_seconds(own->prompt_token) / to_seconds(usual->prompt_token);
  return std::abs(relative_time - 1) < kPrefillTimeNoise ? 1 : relative_time;
}

std::optional<GapForecast> Placement::forecast_at(const Backend& backend,
                                                  const PlacementRequest& request,
                                                  MonotonicTime now) const {
  const auto profile =
      profiles_ != nullptr && request.stream ? profiles_->find(backend, now) : std::nullopt;
  if (!profile) {
    return std::nullopt;
  }
  return GapForecast(
      *profiles_,
      {.service = request.service, .profile = *profile, .pace = load_of(backend).pace(now)},
      request.stream->tokens_per_event, now);
}

double Placement::unsuited_share(const Backends& engines, const PlacementRequest& request,
                                 MonotonicTime now) const {
  const auto unsuited = std::count_if(engines.begin(), engines.end(), [&](const Backend* engine) {
    const auto forecast = forecast_at(*engine, request, now);
    return forecast && !forecast->suits_long_streams(request.stream->min_target_gap);
  });
  return engines.empty() ? 0 : static_cast<double>(unsuited) / static_cast<double>(engines.size());
}

double Placement::stream_cost(const Backend& backend, const PromptContext& prompt_context,
                              const TotalWorkload& work, std::uint64_t prefill_tokens,
                              MonotonicTime now) const {
  const auto known = forecast_at(backend, prompt_context.request, now);
  if (!known) {
    return 0;
  }
  const GapForecast& forecast = *known;
  const EngineProfile& profile = forecast.profile();
  const StreamRequirements& needs = *prompt_context.request.stream;
  const double pending = work.pending_prefill_tokens;
  const double made_late =
      prefill_tokens == 0
          ? 0
          : forecast.late_gap_probability(needs.min_target_gap,
                                          pending + static_cast<double>(prefill_tokens)) -
                forecast.late_gap_probability(needs.min_target_gap, pending);
  return kTokensPerLateStream * forecast.late_stream_probability(needs, pending) +
         kTokensPerFailure * forecast.missed_deadline_probability(needs) +
         kTokensPerLateStream * profile.long_streams * std::max(0.0, made_late) +
         slot_cost(backend, work, profile, forecast) +
         scarce_slot_cost(backend, prompt_context, work, forecast);
}

/// Grows with the share of occupied slots: while few are occupied, a short stream ends before its
/// slot is needed.
double Placement::scarce_slot_cost(const Backend& backend, const PromptContext& prompt_context,
                                   const TotalWorkload& work, const GapForecast& forecast) const {
  const StreamRequirements& needs = *prompt_context.request.stream;
  if (prompt_context.unsuited_share == 0 || needs.expected_events >= kMinLongStreamEvents ||
      !forecast.suits_long_streams(needs.min_target_gap)) {
    return 0;
  }
  const double taken = std::min(1.0, (work.requests + 1) / std::max<double>(backend.slots, 1));
  return kTokensPerLateStream * prompt_context.unsuited_share * taken * taken;
}

/// Cost of waiting for a slot, which long streams occupy for seconds.
double Placement::slot_cost(const Backend& backend, const TotalWorkload& work,
                            const EngineProfile& profile, const GapForecast& forecast) const {
  const double over = work.requests + 1 - std::max<double>(backend.slots, 1);
  if (over <= 0 || profile.prompt_token.count() == 0) {
    return 0;
  }
  const double long_part = std::min(1.0, profile.long_streams / work.requests);
  const double events = long_part * kEventsOfLongStream + (1 - long_part);
  const double wait = over * events * to_seconds(forecast.event_time(0)) / backend.slots;
  return wait / to_seconds(profile.prompt_token);
}

Placement::PrefillWork Placement::prefill_work_at(const Backend& backend,
                                                  const PromptContext& prompt_context,
                                                  MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const std::uint64_t shared = prompt_context.prompt.shared_tokens();
  std::uint64_t cached = 0;
  for (const PromptPart& part : prompt_context.prompt.parts) {
    // A cached part is usable only if all parts before it are cached.
    if (!load.holds(part.key, now)) {
      break;
    }
    cached += part.tokens;
  }
  cached = std::min(cached, shared);
  PrefillWork prefill_work;
  const std::uint64_t fetchable = std::min(prompt_context.sources.tokens_for(backend), shared);
  if (fetchable >= cached + kMinFetchTokens) {
    prefill_work.fetch_source = prompt_context.sources.best_for(backend);
    prefill_work.fetched_tokens = fetchable - cached;
    cached = fetchable;
  }
  double missing = static_cast<double>(shared - cached);
  if (&backend == prompt_context.home) {
    missing *= kHomeMissingShare;
  }
  prefill_work.prefill_tokens =
      static_cast<std::uint64_t>(missing) + prompt_context.prompt.own_tokens();
  return prefill_work;
}

PlacementChoice Placement::estimate_ordinary(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  PlacementChoice choice;
  choice.cost = load.slowness(now) * (1 + workload_at(backend, now).requests) /
                    std::max<double>(backend.slots, 1) +
                (backend.zone == zone_ ? 0 : kOtherZoneCost) +
                kOrdinaryFailureCost * load.failure_share(now) +
                kOrdinaryRefusalCost * load.refusal_share(now);
  return choice;
}

/// Prefers the workload that other nodes report, which is exact when it arrives. Requests that only
/// the back end's load report shows are added, since reports of a node may be lost.
Placement::TotalWorkload Placement::workload_at(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const EngineWorkload peers = loads_.others(backend.id, now);
  const double reported = load.reported_others(now);
  const double unreported = std::max(0.0, reported - peers.requests);
  TotalWorkload work;
  work.requests = load.in_flight() + peers.requests + unreported;
  work.pending_prefill_tokens =
      static_cast<double>(load.pending_prefill_tokens() + peers.pending_prefill_tokens);
  if (backend.role == EngineRole::kPrefill) {
    work.pending_prefill_tokens += kTokensPerUnreportedPrefill * unreported;
  }
  return work;
}

const BackendLoad& Placement::load_of(const Backend& backend) const {
  static const BackendLoad idle;
  const BackendLoad* known = loads_.find(backend.id);
  return known == nullptr ? idle : *known;
}

}  // namespace ochrespring::gateway
