#include "gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

/// An engine that also decodes reads prompts at half the pace.
constexpr double kRunnerReadingCost = 2;
/// Share of the reading cost that each stream of others at the engine adds: between its tokens they
/// all wait for a piece of the prompt to be read.
constexpr double kHarmPerStream = 0.25;
/// Cost in tokens of one request that already runs at an engine: it slows every step a little.
constexpr double kTokensPerRunning = 60;
/// Cost in tokens of one prompt of others that a prefill engine is reading.
constexpr double kTokensPerReading = 2'000;
/// Cost in tokens of one request of others that waits.
constexpr double kTokensPerWaiting = 3'000;
/// Cost in tokens of certain failure.
constexpr double kTokensPerFailure = 60'000;
/// Cost in tokens of a stream that is certainly late: less than that of one that fails, since a
/// late answer is of some use to most callers.
constexpr double kTokensPerLateStream = 40'000;
/// A stream with fewer events is gone within a fraction of a second.
constexpr double kLeastLongEvents = 4;
/// Events that a long stream has still to come, on average, as far as is known.
constexpr double kEventsOfLongStream = 36;
/// Engines whose prefill times differ by less are taken for alike: what is learned of engines that
/// are alike stays within a fifth of their median nearly always.
constexpr double kSpeedNoise = 0.3;
/// Cost in tokens of a request that is certainly turned away: it needs another send, for which the
/// budget may have nothing left.
constexpr double kTokensPerRefusal = 40'000;
/// Cost in tokens of handing a prompt's cache over: a second call and the set-up of the transfer.
constexpr double kHandOverTokens = 1'500;
/// Cost in tokens of transferring one token's cache.
constexpr double kTransferCost = 0.04;
/// Fewer tokens are read sooner than they are fetched from another engine.
constexpr std::uint64_t kLeastFetchTokens = 800;
/// Cost in tokens of a fetch, and of one token fetched.
constexpr double kFetchTokens = 600;
constexpr double kFetchTokenCost = 0.4;
/// Cost in tokens of a new connection.
constexpr double kNewConnectionTokens = 300;
/// How much more a transfer between zones costs.
constexpr double kOtherZoneTransfer = 2;
/// What reading a shared part anew costs besides its time, in parts of its tokens: the engine's
/// pace and memory are gone for others, as far as there are others...
constexpr double kExtraColdCost = 1.5;
/// ...which is whole where half of the prefill engines have prompts to read. Where they are idle a
/// cold prompt of 17,000 tokens is read there in 0.5 s; charged in full, it was left to an engine
/// that also decodes, at half the pace.
constexpr double kBusyHarm = 2;
/// Part of a shared prompt that is believed missing at its home before this node has seen it there.
constexpr double kHomeDoubt = 0.4;
/// Cost of leaving the zone for an ordinary service, in requests per slot.
constexpr double kOtherZoneCost = 0.25;
/// What a back end that has just started costs, in parts of a warm one.
constexpr double kColdBackendCost = 1.6;
/// Cost of certain failure for an ordinary service, in requests per slot.
constexpr double kOrdinaryFailureCost = 6;
/// Cost of a request that is certainly turned away, in requests per slot.
constexpr double kOrdinaryRefusalCost = 3;
constexpr double kTieBreak = 0.02;
/// Requests that may wait at a server of an ordinary service, in parts of its slots: it has work
/// while the news of a free slot is on its way.
constexpr double kOrdinaryWindow = 0.5;

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
                               .gate = request.gate};
  if (request.prompt != nullptr && !finder_.walks_all()) {
    query.holders = finder_.holders(*request.prompt, now);
  }
  if (request.fewest_requests_only) {
    PlacementPlan plan;
    plan.runner = cheapest(finder_.find(query, false, now).backends, [&](const Backend& backend) {
      return PlacementChoice{.cost = 1 + work_at(backend, now).requests};
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
  const CacheSources sources = finder_.walks_all()
                                   ? CacheSources(fleet_, loads_, request.service, prompt, now)
                                   : CacheSources(query.holders, loads_, prompt, now);
  const Candidates runners = finder_.find(query, false, now);
  const PromptView at_runners{.prompt = prompt,
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
  const Candidates readers = finder_.find(query, true, now);
  const double harm = std::min(1.0, kBusyHarm * busy_share(readers.backends, now));
  const PromptView at_readers{.prompt = prompt,
                              .sources = sources,
                              .request = request,
                              .home = readers.home,
                              .cold_cost = kExtraColdCost * harm};
  PlacementPlan apart;
  apart.reader = cheapest(readers.backends, [&](const Backend& backend) {
    return estimate_reader(backend, at_readers, now);
  });
  apart.runner = cheapest(runners.backends, [&](const Backend& backend) {
    return estimate_runner(backend, at_runners, apart.reader.backend, now);
  });
  const bool quicker =
      apart.reader.backend != nullptr && apart.reader.cost + apart.runner.cost < direct.runner.cost;
  return quicker ? apart : direct;
}

bool Placement::has_room(const RoomQuery& query, const PlacementPlan& plan,
                         MonotonicTime now) const {
  const PlacementRequest& request = query.request;
  const bool engine = request.prompt != nullptr;
  const auto has_slot = [&](const Backend* backend) {
    return has_free_slot(*backend, engine, now);
  };
  const auto is_read = [&](const Backend* backend) {
    const std::uint64_t tokens =
        plan.prefill.backend != nullptr ? plan.prefill.unread_tokens : plan.runner.unread_tokens;
    return reads_in_time(*backend, tokens, query, now);
  };
  const Backend* reader =
      plan.prefill.backend != nullptr ? plan.prefill.backend : plan.runner.backend;
  if (has_slot(plan.runner.backend) && (!engine || is_read(reader))) {
    return true;
  }
  const CandidateFinder::Query candidates{.service = request.service,
                                          .prompt = request.prompt,
                                          .avoid = &request.avoid,
                                          .gate = request.gate};
  const Backends runners = finder_.find(candidates, false, now).backends;
  if (!engine) {
    return std::any_of(runners.begin(), runners.end(), has_slot);
  }
  if (std::any_of(runners.begin(), runners.end(),
                  [&](const Backend* backend) { return has_slot(backend) && is_read(backend); })) {
    return true;
  }
  const Backends readers =
      request.allow_separate_prefill ? finder_.find(candidates, true, now).backends : Backends();
  return std::any_of(runners.begin(), runners.end(), has_slot) &&
         std::any_of(readers.begin(), readers.end(), is_read);
}

bool Placement::has_free_slot(const Backend& backend, bool engine, MonotonicTime now) const {
  const double slots = std::max<double>(backend.slots, 1);
  const double window = engine ? 0 : std::max(1.0, kOrdinaryWindow * slots);
  return work_at(backend, now).requests < slots + window;
}

/// A prompt that takes most of its target by itself would never find an engine idle enough: up to
/// half of the target may always pass before it is read.
bool Placement::reads_in_time(const Backend& engine, std::uint64_t tokens, const RoomQuery& query,
                              MonotonicTime now) const {
  const auto profile = query.profiles != nullptr ? query.profiles->find(engine, now) : std::nullopt;
  const double ahead = work_at(engine, now).unread_tokens;
  if (!profile || ahead <= 0) {
    return true;
  }
  const double reading_cost = engine.role == EngineRole::kPrefill ? 1 : kRunnerReadingCost;
  const double seconds_per_token =
      reading_cost * load_of(engine).slowness(now) * to_seconds(profile->prompt_token);
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
    choice.cost *= (backend->cold ? kColdBackendCost : 1) + kTieBreak * random_.unit();
    if (best.backend == nullptr || choice.cost < best.cost) {
      best = choice;
    }
  }
  return best;
}

double Placement::busy_share(const Backends& engines, MonotonicTime now) const {
  const auto busy = std::count_if(engines.begin(), engines.end(), [&](const Backend* engine) {
    return work_at(*engine, now).unread_tokens != 0;
  });
  return engines.empty() ? 0 : static_cast<double>(busy) / static_cast<double>(engines.size());
}

PlacementChoice Placement::estimate_runner(const Backend& backend, const PromptView& view,
                                           const Backend* reader, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const Work work = work_at(backend, now);
  PlacementChoice choice;
  if (reader != nullptr) {
    const double distance = reader->zone == backend.zone ? 1 : kOtherZoneTransfer;
    choice.cost =
        kHandOverTokens + distance * kTransferCost * static_cast<double>(view.prompt.tokens);
  } else {
    const Reading reading = reading_at(backend, view, now);
    choice.unread_tokens = reading.unread_tokens;
    choice.cache_source = reading.cache_source;
    choice.cost = fetch_cost(reading.fetched_tokens) +
                  kRunnerReadingCost * load.slowness(now) *
                      (static_cast<double>(reading.unread_tokens) + work.unread_tokens) *
                      (1 + kHarmPerStream * work.requests);
  }
  choice.cost += stream_cost(backend, view, work, choice.unread_tokens, now);
  choice.cost += connection_cost(backend, view.request) + kTokensPerRunning * work.requests +
                 kTokensPerWaiting * load.reported_waiting(now) +
                 kTokensPerFailure * load.failure_share(now) +
                 kTokensPerRefusal * load.refusal_share(now);
  return choice;
}

PlacementChoice Placement::estimate_reader(const Backend& backend, const PromptView& view,
                                           MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const Reading reading = reading_at(backend, view, now);
  PlacementChoice choice;
  choice.unread_tokens = reading.unread_tokens;
  choice.cache_source = reading.cache_source;
  const double missing = static_cast<double>(choice.unread_tokens - view.prompt.own_tokens());
  choice.cost =
      connection_cost(backend, view.request) + fetch_cost(reading.fetched_tokens) +
      view.cold_cost * missing +
      load.slowness(now) * reading_speed(backend, view.request, now) *
          (static_cast<double>(choice.unread_tokens) + work_at(backend, now).unread_tokens) +
      kTokensPerFailure * load.failure_share(now) + kTokensPerRefusal * load.refusal_share(now);
  return choice;
}

double Placement::reading_speed(const Backend& backend, const PlacementRequest& request,
                                MonotonicTime now) const {
  if (profiles_ == nullptr || !request.stream) {
    return 1;
  }
  const auto own = profiles_->find(backend, now);
  const auto usual = profiles_->usual(request.service, now);
  if (!own || !usual || own->prompt_token.count() == 0 || usual->prompt_token.count() == 0) {
    return 1;
  }
  const double speed = to_seconds(own->prompt_token) / to_seconds(usual->prompt_token);
  return std::abs(speed - 1) < kSpeedNoise ? 1 : speed;
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
    return forecast && !forecast->suits_long_streams(request.stream->shortest_gap);
  });
  return engines.empty() ? 0 : static_cast<double>(unsuited) / static_cast<double>(engines.size());
}

double Placement::stream_cost(const Backend& backend, const PromptView& view, const Work& work,
                              std::uint64_t unread_tokens, MonotonicTime now) const {
  const auto known = forecast_at(backend, view.request, now);
  if (!known) {
    return 0;
  }
  const GapForecast& forecast = *known;
  const EngineProfile& profile = forecast.profile();
  const StreamRequirements& needs = *view.request.stream;
  const double unread = work.unread_tokens;
  const double made_late =
      unread_tokens == 0 ? 0
                         : forecast.late_gap_probability(
                               needs.shortest_gap, unread + static_cast<double>(unread_tokens)) -
                               forecast.late_gap_probability(needs.shortest_gap, unread);
  return kTokensPerLateStream * forecast.late_stream(needs, unread) +
         kTokensPerFailure * forecast.unfinished_stream(needs) +
         kTokensPerLateStream * profile.long_streams * std::max(0.0, made_late) +
         slot_cost(backend, work, profile, forecast) +
         scarce_slot_cost(backend, view, work, forecast);
}

/// While few slots are taken a short stream is gone before they are needed.
double Placement::scarce_slot_cost(const Backend& backend, const PromptView& view, const Work& work,
                                   const GapForecast& forecast) const {
  const StreamRequirements& needs = *view.request.stream;
  if (view.unsuited_share == 0 || needs.expected_events >= kLeastLongEvents ||
      !forecast.suits_long_streams(needs.shortest_gap)) {
    return 0;
  }
  const double taken = std::min(1.0, (work.requests + 1) / std::max<double>(backend.slots, 1));
  return kTokensPerLateStream * view.unsuited_share * taken * taken;
}

/// Long streams keep their slots for seconds.
double Placement::slot_cost(const Backend& backend, const Work& work, const EngineProfile& profile,
                            const GapForecast& forecast) const {
  const double over = work.requests + 1 - std::max<double>(backend.slots, 1);
  if (over <= 0 || profile.prompt_token.count() == 0) {
    return 0;
  }
  const double long_part = std::min(1.0, profile.long_streams / work.requests);
  const double events = long_part * kEventsOfLongStream + (1 - long_part);
  const double wait = over * events * to_seconds(forecast.event_time(0)) / backend.slots;
  return wait / to_seconds(profile.prompt_token);
}

Placement::Reading Placement::reading_at(const Backend& backend, const PromptView& view,
                                         MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const std::uint64_t shared = view.prompt.shared_tokens();
  std::uint64_t held = 0;
  for (const PromptPart& part : view.prompt.parts) {
    // A part is of use only behind all parts before it.
    if (!load.holds(part.key, now)) {
      break;
    }
    held += part.tokens;
  }
  held = std::min(held, shared);
  Reading reading;
  const std::uint64_t kept = std::min(view.sources.tokens_for(backend), shared);
  if (kept >= held + kLeastFetchTokens) {
    reading.cache_source = view.sources.best_for(backend);
    reading.fetched_tokens = kept - held;
    held = kept;
  }
  double missing = static_cast<double>(shared - held);
  if (&backend == view.home) {
    missing *= kHomeDoubt;
  }
  reading.unread_tokens = static_cast<std::uint64_t>(missing) + view.prompt.own_tokens();
  return reading;
}

PlacementChoice Placement::estimate_ordinary(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  PlacementChoice choice;
  choice.cost = load.slowness(now) * (1 + work_at(backend, now).requests) /
                    std::max<double>(backend.slots, 1) +
                (backend.zone == zone_ ? 0 : kOtherZoneCost) +
                kOrdinaryFailureCost * load.failure_share(now) +
                kOrdinaryRefusalCost * load.refusal_share(now);
  return choice;
}

/// What other nodes tell of their work is exact; a back end's own report stands in where it shows
/// more, as it does when a node cannot be heard.
Placement::Work Placement::work_at(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const EngineWorkload told = loads_.others(backend.id, now);
  const double reported = load.reported_others(now);
  const double unheard = std::max(0.0, reported - told.requests);
  Work work;
  work.requests = load.in_flight() + told.requests + unheard;
  work.unread_tokens = static_cast<double>(load.unread_tokens() + told.unread_tokens);
  if (backend.role == EngineRole::kPrefill) {
    work.unread_tokens += kTokensPerReading * unheard;
  }
  return work;
}

const BackendLoad& Placement::load_of(const Backend& backend) const {
  static const BackendLoad idle;
  const BackendLoad* known = loads_.find(backend.id);
  return known == nullptr ? idle : *known;
}

}  // namespace ochrespring::gateway
