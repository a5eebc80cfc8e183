#include "gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"

namespace ochrespring::gateway {

namespace {

/// Loss of worth of certain failure, in a whole request's.
constexpr double kFailureLoss = 1.5;
/// Price of an engine's time, in worth for an objective's length: others wait for it.
constexpr double kEngineTimePrice = 2.0;
/// Price of a token fetched, in tokens read: a copy pushes other parts out.
constexpr double kCopyPrice = 0.25;
/// Loss of worth of a new connection, of a call to an engine in another zone, and of an engine that
/// has just started.
constexpr double kNewConnectionLoss = 0.03;
constexpr double kOtherZoneLoss = 0.002;
constexpr double kColdEngineLoss = 0.05;
/// Loss of handing a cache over to another zone, besides the time it takes.
constexpr double kOtherZoneHandOverLoss = 0.2;
/// A fetch that saves less than this part of the objective is not worth a transfer.
constexpr double kLeastFetchGain = 0.01;
/// Tokens of one prompt of others that only an answer's report of load tells of.
constexpr double kTokensPerUnheard = 2'000;
/// How sharply the loss rises as an engine's slots fill.
constexpr double kCrowdSteepness = 20;
/// A stream of so many events is long: it has pauses in which prompts may be read.
constexpr double kExposedEvents = 3;
/// Part of what a long stream loses where prompts are read all the time that it is taken to lose at
/// an engine where no other keeps them away.
constexpr double kUnprotectedShare = 0.3;
/// Loss for each long stream at an engine that reads for an objective's length.
constexpr double kHarmPerStream = 0.5;
/// Loss where all slots are taken by streams that slow each other's steps.
constexpr double kRunningLoss = 0.6;
/// A prompt is in time if it is expected within this part of what is left until it is late: the
/// rest is for what comes between.
constexpr double kMostQueueShare = 0.65;
/// At an engine with fewer requests none is given up as late: too little is known.
constexpr double kFewRequests = 5;
/// Part of a shared prompt that is believed missing at its home before this node has seen it there.
constexpr double kHomeDoubt = 0.4;
/// Cost of leaving the zone for an ordinary service, in requests per slot.
constexpr double kOtherZoneCost = 0.25;
/// What a back end that has just started costs, in parts of a warm one.
constexpr double kColdBackendCost = 1.6;
/// Cost of certain failure for an ordinary service, in requests per slot.
constexpr double kOrdinaryFailureCost = 6;
constexpr double kTieBreak = 0.02;

/// The back end that all nodes take for the home of `key`, or null.
const Backend* find_home(const std::vector<const Backend*>& backends, std::string_view key) {
  if (key.empty() || backends.empty()) {
    return nullptr;
  }
  return *std::max_element(
      backends.begin(), backends.end(), [&](const Backend* left, const Backend* right) {
        return rendezvous_weight(key, left->id.value()) < rendezvous_weight(key, right->id.value());
      });
}

}  // namespace

PlacementPlan Placement::choose(const PlacementRequest& request, MonotonicTime now) const {
  if (request.prompt != nullptr) {
    return choose_engines(request, now);
  }
  PlacementPlan plan;
  plan.runner = cheapest(candidates(request, false, now),
                         [&](const Backend& backend) { return estimate_ordinary(backend, now); });
  return plan;
}

PlacementPlan Placement::choose_engines(const PlacementRequest& request, MonotonicTime now) const {
  const Prompt& prompt = *request.prompt;
  const EngineModel& model = models_.of(request.service, request.shape,
                                        {.tokens = static_cast<double>(prompt.tokens),
                                         .time = request.objective.target_latency,
                                         .gap = request.objective.target_gap});
  const CacheSources sources(fleet_, loads_, request.service, prompt, now);
  const Backends runners = candidates(request, false, now);
  const PromptView at_runners{prompt, sources, request,
                              model,  now,     find_home(runners, prompt.shared_key())};
  PlacementPlan direct;
  direct.runner = cheapest(
      runners, [&](const Backend& backend) { return estimate_direct(backend, at_runners); });
  if (!request.may_read_apart || direct.runner.backend == nullptr) {
    return direct;
  }
  const Backends readers = candidates(request, true, now);
  const PromptView at_readers{prompt, sources, request,
                              model,  now,     find_home(readers, prompt.shared_key())};
  PlacementPlan apart;
  apart.reader = cheapest(
      readers, [&](const Backend& backend) { return estimate_reader(backend, at_readers); });
  if (apart.reader.backend == nullptr) {
    return direct;
  }
  apart.runner = choose_runner(runners, at_runners, apart.reader);
  return apart.runner.cost < direct.runner.cost ? apart : direct;
}

PlacementChoice Placement::choose_runner(const Backends& runners, const PromptView& view,
                                         const PlacementChoice& reader) const {
  return cheapest(runners,
                  [&](const Backend& backend) { return estimate_runner(backend, view, reader); });
}

template <class Estimate>
PlacementChoice Placement::cheapest(const Backends& backends, const Estimate& estimate) const {
  PlacementChoice best;
  for (const Backend* backend : backends) {
    PlacementChoice choice = estimate(*backend);
    choice.backend = backend;
    choice.cost *= 1 + kTieBreak * random_.unit();
    if (best.backend == nullptr || choice.cost < best.cost) {
      best = choice;
    }
  }
  return best;
}

/// Back ends that may take the request; those left alone for now only if there is no other.
Placement::Backends Placement::candidates(const PlacementRequest& request, bool readers,
                                          MonotonicTime now) const {
  Backends healthy;
  Backends ejected;
  for (const auto& [id, backend] : fleet_.backends()) {
    const bool reader = backend.role == EngineRole::kPrefill;
    if (backend.service != request.service || backend.draining || reader != readers ||
        request.avoid.contains(id)) {
      continue;
    }
    (load_of(backend).ejected(now) ? ejected : healthy).push_back(&backend);
  }
  return healthy.empty() ? ejected : healthy;
}

PlacementChoice Placement::estimate_direct(const Backend& backend, const PromptView& view) const {
  PlacementChoice choice = estimate_reading(backend, view);
  choice.long_stream = is_long(view);
  choice.cost = expected_loss(choice.time, view.request.objective) +
                engine_price(backend, view, static_cast<double>(choice.unread_tokens),
                             static_cast<double>(choice.fetched_tokens)) +
                run_loss(backend, view, static_cast<double>(choice.unread_tokens)) +
                side_loss(backend, view);
  return choice;
}

PlacementChoice Placement::estimate_reader(const Backend& backend, const PromptView& view) const {
  PlacementChoice choice = estimate_reading(backend, view);
  choice.cost = expected_loss(choice.time, view.request.objective) +
                engine_price(backend, view, static_cast<double>(choice.unread_tokens),
                             static_cast<double>(choice.fetched_tokens)) +
                side_loss(backend, view);
  return choice;
}

PlacementChoice Placement::estimate_runner(const Backend& backend, const PromptView& view,
                                           const PlacementChoice& reader) const {
  const bool same_zone = reader.backend->zone == backend.zone;
  PlacementChoice choice;
  double copied = static_cast<double>(view.prompt.shared_tokens() - held_tokens(backend, view));
  copied *= &backend == view.home ? kHomeDoubt : 1;
  choice.urgent = reader.urgent;
  choice.long_stream = is_long(view);
  choice.time =
      reader.time + view.model.hand_over_time(static_cast<double>(view.prompt.tokens), same_zone);
  // The reader's cost without its lateness is that of its engine's time and of its side losses.
  choice.cost = reader.cost - expected_loss(reader.time, view.request.objective) +
                expected_loss(choice.time, view.request.objective) + run_loss(backend, view, 0) +
                side_loss(backend, view) + engine_price(backend, view, 0, copied) +
                (same_zone ? 0 : kOtherZoneHandOverLoss);
  return choice;
}

PlacementChoice Placement::estimate_reading(const Backend& backend, const PromptView& view) const {
  const std::uint64_t shared = view.prompt.shared_tokens();
  std::uint64_t held = held_tokens(backend, view);
  PlacementChoice choice;
  const std::uint64_t kept = std::min(view.sources.tokens_for(backend), shared);
  if (kept > held) {
    const auto fetched = static_cast<double>(kept - held);
    const Milliseconds gain =
        view.model.reading_time(backend.role, fetched) - view.model.hand_over_time(fetched, true);
    if (gain > kLeastFetchGain * Milliseconds(view.request.objective.target_latency)) {
      choice.cache_source = view.sources.best_for(backend);
      choice.fetched_tokens = kept - held;
      held = kept;
    }
  }
  double missing = static_cast<double>(shared - held);
  if (&backend == view.home) {
    missing *= kHomeDoubt;
  }
  choice.unread_tokens = static_cast<std::uint64_t>(missing) + view.prompt.own_tokens();
  const Work work = work_at(backend, view.now);
  const auto unread = static_cast<double>(choice.unread_tokens);
  const auto time_behind = [&](double tokens_ahead) {
    return view.model.slowness(backend.id, view.now) *
               (view.model.call_time(backend.role) +
                view.model.reading_time(backend.role, tokens_ahead + unread)) +
           view.model.fetch_time(static_cast<double>(choice.fetched_tokens));
  };
  const ServiceObjective& objective = view.request.objective;
  const Milliseconds until_late(objective.until_late);
  choice.urgent = time_behind(work.urgent_tokens) < kMostQueueShare * until_late ||
                  work.requests < kFewRequests;
  choice.tokens_ahead = choice.urgent ? work.urgent_tokens : work.unread_tokens;
  choice.time = time_behind(choice.tokens_ahead);
  return choice;
}

std::uint64_t Placement::held_tokens(const Backend& backend, const PromptView& view) const {
  const BackendLoad& load = load_of(backend);
  std::uint64_t held = 0;
  for (const PromptPart& part : view.prompt.parts) {
    // A part is of use only behind all parts before it.
    if (!load.holds(part.key, view.now)) {
      break;
    }
    held += part.tokens;
  }
  return std::min(held, view.prompt.shared_tokens());
}

double Placement::engine_price(const Backend& backend, const PromptView& view, double read,
                               double copied) const {
  const Milliseconds time = view.model.reading_time(backend.role, read) +
                            view.model.reading_time(EngineRole::kPrefill, kCopyPrice * copied);
  return kEngineTimePrice * (time / Milliseconds(view.request.objective.target_latency));
}

double Placement::side_loss(const Backend& backend, const PromptView& view) const {
  const bool connected = !view.request.connected || view.request.connected(backend);
  return kFailureLoss * load_of(backend).failure_share(view.now) +
         (connected ? 0 : kNewConnectionLoss) + (backend.zone == zone_ ? 0 : kOtherZoneLoss) +
         (backend.cold ? kColdEngineLoss : 0);
}

/// A stream waits for a slot where all are taken. Events of a long one wait for the prompts that
/// are read in between, now or later; so do those of the long streams that run there already. Where
/// some run already no prompts are read soon, so that long streams gather at few engines and leave
/// the others to reading.
double Placement::run_loss(const Backend& backend, const PromptView& view,
                           double tokens_read_there) const {
  const ServiceObjective& objective = view.request.objective;
  const Work work = work_at(backend, view.now);
  const double slots = std::max(1.0, static_cast<double>(backend.slots));
  const double crowded = 1 / (1 + std::exp(-kCrowdSteepness * ((work.requests + 1) / slots - 1)));
  const double slowness = view.model.slowness(backend.id, view.now);
  const auto gap_loss = [&](double tokens) {
    return expected_gap_loss(slowness * view.model.event_gap(tokens), objective);
  };
  const double loss_after = gap_loss(work.unread_tokens + tokens_read_there);
  const double worst = gap_loss(std::numeric_limits<double>::max());
  const double own =
      is_long(view) ? loss_after + kUnprotectedShare * worst / (1 + work.long_streams) : 0;
  const double all_tokens = tokens_read_there > 0 ? work.unread_tokens + tokens_read_there : 0;
  const Milliseconds reading = view.model.reading_time(backend.role, all_tokens);
  const double harm =
      kHarmPerStream * work.long_streams * (reading / Milliseconds(objective.target_latency));
  return crowded + kRunningLoss * work.requests / slots + own + harm;
}

bool Placement::is_long(const PromptView& view) const {
  const double tokens_per_event =
      std::max<double>(1, static_cast<double>(view.request.shape.tokens_per_event));
  return static_cast<double>(view.prompt.expected_output_tokens) >=
         kExposedEvents * tokens_per_event;
}

PlacementChoice Placement::estimate_ordinary(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  PlacementChoice choice;
  choice.cost = (1 + work_at(backend, now).requests) / std::max<double>(backend.slots, 1) +
                (backend.zone == zone_ ? 0 : kOtherZoneCost) +
                kOrdinaryFailureCost * load.failure_share(now);
  choice.cost *= backend.cold ? kColdBackendCost : 1;
  return choice;
}

/// What other nodes tell of their work is exact; a back end's own report stands in where it shows
/// more, as it does when a node cannot be heard.
Placement::Work Placement::work_at(const Backend& backend, MonotonicTime now) const {
  const BackendLoad& load = load_of(backend);
  const OthersWork told = loads_.others(backend.id, now);
  const double reported = load.reported_others(now);
  const double unheard = std::max(0.0, reported - told.requests);
  Work work;
  work.requests = load.in_flight() + told.requests + unheard;
  work.unread_tokens = static_cast<double>(load.unread_tokens() + told.unread_tokens);
  work.urgent_tokens = static_cast<double>(load.urgent_tokens() + told.urgent_tokens);
  work.long_streams = static_cast<double>(load.long_streams() + told.long_streams);
  if (backend.role == EngineRole::kPrefill) {
    work.unread_tokens += kTokensPerUnheard * unheard;
    work.urgent_tokens += kTokensPerUnheard * unheard;
  }
  return work;
}

const BackendLoad& Placement::load_of(const Backend& backend) const {
  static const BackendLoad idle;
  const BackendLoad* known = loads_.find(backend.id);
  return known == nullptr ? idle : *known;
}

}  // namespace ochrespring::gateway
