#include "engine_profiles/engine_profile_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "metrics/counter_table.h"

namespace ochrespring::engine_profiles {

namespace {

constexpr std::string_view kComponent = "engine_profiles";
/// Between two renewals of the medians, for each engine known: walking over 10,000 engines takes
/// 5 ms.
constexpr Duration kRenewalPerEngine = std::chrono::microseconds(500);
constexpr Duration kLeastRenewalPeriod = std::chrono::milliseconds(100);
constexpr Duration kLogPeriod = std::chrono::seconds(60);
/// Samples for which the median of the service counts: an engine that few samples are known of is
/// taken to be like the others.
constexpr double kPriorWeight = 2;
/// Of an engine's samples so many do not count: both of two samples can be of a slowdown, which no
/// quantile can tell, and engines that are alike differed by 28%.
constexpr double kUncountedSamples = 2;
/// An engine with fewer samples left does not count in the median of its service.
constexpr double kLeastMedianWeight = 0.5;
/// Values this many times above or below the median of the service are rejected...
constexpr double kMostRatio = 100;
/// ...once the median rests on so many engines: a false first value would keep out all true ones.
constexpr std::size_t kLeastEnginesForRatio = 3;
/// Nanoseconds per token that no engine has, by quantity: one token in 10 us or 10 s, one prompt
/// token in 1 ns or 1 s.
constexpr std::array<double, kQuantities> kLeastValue{1e4, 1};
constexpr std::array<double, kQuantities> kMostValue{1e10, 1e9};
/// Samples and streams of one engine that another node is believed to have at most.
constexpr std::uint32_t kMostToldSamples = 32;
constexpr std::uint32_t kMostToldStreams = 10'000;
/// Shorter prompts are mostly waiting and network.
constexpr std::uint64_t kLeastPrefillTokens = 1'000;
/// Observations with more than this part of the prompt's own tokens ahead are skipped: how much of
/// those had been prefilled already is not known, and the quotient would be too small.
constexpr double kMostPartAhead = 0.125;
/// An engine that also decodes prefills at half the rate.
constexpr double kDecodingEngineFactor = 2;
/// Where decoding the first event takes a greater part of the time, the rest is too uncertain.
constexpr double kMostDecodingPart = 0.5;
constexpr double kPercent = 100;

constexpr metrics::CounterRow<ProfileStatistics> kCounters[] = {
    {"engine_profile_output_samples", "Samples of the time per output token of engines",
     &ProfileStatistics::output_samples},
    {"engine_profile_prompt_samples", "Samples of the prefill time per token of engines",
     &ProfileStatistics::prompt_samples},
    {"engine_profile_observations_skipped", "Observations that say nothing of undisturbed work",
     &ProfileStatistics::skipped},
    {"engine_profile_values_rejected", "Values of engines' speed that cannot be true",
     &ProfileStatistics::rejected},
};

constexpr std::size_t index_of(Quantity quantity) {
  return static_cast<std::size_t>(quantity);
}

double to_nanoseconds(Duration span) {
  return static_cast<double>(span.count());
}

Duration from_nanoseconds(double nanoseconds) {
  return from_seconds(nanoseconds * 1e-9);
}

}  // namespace

std::optional<gateway::EngineProfile> EngineProfileTable::find(const gateway::Backend& engine,
                                                               MonotonicTime now) const {
  const Service* service = find_service(engine.service);
  if (service == nullptr || service->usual.output_token == Duration::zero()) {
    return std::nullopt;
  }
  gateway::EngineProfile profile = service->usual;
  const auto known = engines_.find(engine.id);
  if (known == engines_.end()) {
    return profile;
  }
  const auto& spreads = service->spreads;
  profile.output_token = blend(known->second, Quantity::kOutputToken, spreads[0], now);
  if (spreads[1].median != 0) {
    profile.prompt_token = blend(known->second, Quantity::kPromptToken, spreads[1], now);
  }
  profile.long_streams = known->second.long_streams.all(now);
  return profile;
}

std::optional<gateway::EngineProfile> EngineProfileTable::usual(const ServiceName& service,
                                                                MonotonicTime /*now*/) const {
  const Service* known = find_service(service);
  return known == nullptr || known->usual.output_token == Duration::zero()
             ? std::nullopt
             : std::optional(known->usual);
}

double EngineProfileTable::share_slower_than(const ServiceName& service, double factor,
                                             MonotonicTime now) const {
  const Service* known = find_service(service);
  return known == nullptr ? 0 : known->paces.share_slower_than(factor, now);
}

std::optional<std::uint64_t> EngineProfileTable::events_of(const gateway::BackendId& engine,
                                                           std::uint64_t tokens) const {
  const gateway::Backend* backend = find_engine(engine);
  const gateway::EngineShape* shape = backend == nullptr ? nullptr : shape_of(backend->service);
  if (shape == nullptr || shape->tokens_per_event == 0) {
    return std::nullopt;
  }
  return (tokens + shape->tokens_per_event - 1) / shape->tokens_per_event;
}

void EngineProfileTable::note_gaps(const gateway::GapObservation& observation, MonotonicTime now) {
  const gateway::Backend* backend = find_engine(observation.engine);
  const gateway::EngineShape* shape = backend == nullptr ? nullptr : shape_of(backend->service);
  if (shape == nullptr || shape->tokens_per_event == 0 || observation.gaps == 0) {
    return;
  }
  const auto pace = engines_[backend->id].paces.during_sample(now);
  if (!pace) {
    ++statistics_.skipped;
    return;
  }
  const double tokens = static_cast<double>(observation.gaps) * shape->tokens_per_event;
  add_sample(*backend, Quantity::kOutputToken, to_nanoseconds(observation.took) / tokens / *pace,
             now);
}

void EngineProfileTable::note_prefill(const gateway::PrefillObservation& observation,
                                      MonotonicTime now) {
  const gateway::Backend* backend = find_engine(observation.engine);
  if (backend == nullptr) {
    return;
  }
  const auto pace = engines_[backend->id].paces.during_sample(now);
  const auto own = static_cast<double>(observation.tokens);
  const auto ahead = static_cast<double>(observation.tokens_ahead);
  if (!pace || observation.tokens < kLeastPrefillTokens || ahead > kMostPartAhead * own) {
    ++statistics_.skipped;
    return;
  }
  double took = to_nanoseconds(observation.took) / *pace;
  if (observation.includes_first_event) {
    const auto profile = find(*backend, now);
    const gateway::EngineShape* shape = shape_of(backend->service);
    const double decoding = profile && shape != nullptr
                                ? to_nanoseconds(profile->output_token) * shape->tokens_per_event
                                : 0;
    if (decoding == 0 || decoding > kMostDecodingPart * took) {
      ++statistics_.skipped;
      return;
    }
    took -= decoding;
  }
  const bool decodes = backend->role == gateway::EngineRole::kDecode;
  add_sample(*backend, Quantity::kPromptToken,
             took / (own + ahead) / (decodes ? kDecodingEngineFactor : 1), now);
}

void EngineProfileTable::note_pace(const gateway::BackendId& engine, std::uint32_t percent,
                                   MonotonicTime now) {
  const gateway::Backend* backend = find_engine(engine);
  if (backend == nullptr) {
    return;
  }
  const double pace = percent / kPercent;
  if (pace < 1 / kMostRatio || pace > kMostRatio) {
    ++statistics_.rejected;
    return;
  }
  engines_[engine].paces.note(pace, now);
  services_[backend->service].paces.note(pace, now);
}

void EngineProfileTable::begin_long_stream(const gateway::BackendId& engine,
                                           MonotonicTime /*now*/) {
  if (find_engine(engine) != nullptr) {
    engines_[engine].long_streams.begin();
    changed(engine);
  }
}

/// An engine that was forgotten while a stream ran there stays forgotten.
void EngineProfileTable::end_long_stream(const gateway::BackendId& engine, MonotonicTime /*now*/) {
  const auto known = engines_.find(engine);
  if (known != engines_.end()) {
    known->second.long_streams.end();
    changed(engine);
  }
}

const gateway::Backend* EngineProfileTable::find_engine(const gateway::BackendId& id) const {
  const gateway::Backend* backend = fleet_.find(id);
  const bool engine = backend != nullptr && backend->role != gateway::EngineRole::kNone;
  return engine ? backend : nullptr;
}

const gateway::EngineShape* EngineProfileTable::shape_of(const ServiceName& name) const {
  const gateway::Service* service =
      fleet_.routes() == nullptr ? nullptr : fleet_.routes()->configuration().find_service(name);
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

const EngineProfileTable::Service* EngineProfileTable::find_service(
    const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

Estimate EngineProfileTable::measured(const Engine& engine, Quantity quantity,
                                      MonotonicTime now) const {
  const RecentSamples& own = engine.own[index_of(quantity)];
  Estimate estimate = engine.told[index_of(quantity)];
  if (!own.empty()) {
    estimate.merge(own.low_quantile_logarithm(), own.weight(now), now);
  }
  return estimate;
}

/// Value of the engine, the nearer to the median the less is known.
Duration EngineProfileTable::blend(const Engine& engine, Quantity quantity, const Spread& spread,
                                   MonotonicTime now) const {
  const Estimate own = measured(engine, quantity, now);
  Estimate estimate;
  estimate.merge(spread.median_logarithm, kPriorWeight, now);
  estimate.merge(own.logarithm(), std::max(0.0, own.weight_at(now) - kUncountedSamples), now);
  return from_nanoseconds(estimate.value());
}

bool EngineProfileTable::is_plausible(double value, const ServiceName& service,
                                      Quantity quantity) const {
  // No number is neither above nor below.
  const std::size_t i = index_of(quantity);
  if (!(value >= kLeastValue[i] && value <= kMostValue[i])) {
    return false;
  }
  const Service* known = find_service(service);
  if (known == nullptr || known->spreads[i].engines < kLeastEnginesForRatio) {
    return true;
  }
  const double median = known->spreads[i].median;
  return value < kMostRatio * median && value > median / kMostRatio;
}

void EngineProfileTable::add_sample(const gateway::Backend& engine, Quantity quantity, double value,
                                    MonotonicTime now) {
  if (!is_plausible(value, engine.service, quantity)) {
    ++statistics_.rejected;
    return;
  }
  ++(quantity == Quantity::kOutputToken ? statistics_.output_samples : statistics_.prompt_samples);
  Engine& known = engines_[engine.id];
  known.own[index_of(quantity)].add(static_cast<float>(value), now);
  std::uint8_t& untold = known.untold[index_of(quantity)];
  untold = std::min<std::uint8_t>(untold, std::numeric_limits<std::uint8_t>::max() - 1) + 1;
  note_measured(engine.service, quantity, now);
  changed(engine.id);
}

void EngineProfileTable::note_measured(const ServiceName& service, Quantity quantity,
                                       MonotonicTime now) {
  const bool first = services_[service].spreads[index_of(quantity)].engines == 0;
  if (first || now - renewed_at_ >= renewal_period()) {
    renew_medians(now);
  }
}

void EngineProfileTable::changed(const gateway::BackendId& engine) const {
  if (changed_) {
    changed_(engine);
  }
}

EngineNews EngineProfileTable::own_news(const gateway::BackendId& id) const {
  EngineNews news{.engine = id};
  const auto found = engines_.find(id);
  if (found == engines_.end()) {
    return news;
  }
  const Engine& engine = found->second;
  const auto told = [&](Quantity quantity) {
    const std::size_t i = index_of(quantity);
    return engine.untold[i] == 0
               ? ToldSpeed()
               : ToldSpeed{from_nanoseconds(std::exp(engine.own[i].low_quantile_logarithm())),
                           engine.untold[i]};
  };
  news.output = told(Quantity::kOutputToken);
  news.prompt = told(Quantity::kPromptToken);
  news.long_streams = engine.long_streams.own();
  return news;
}

void EngineProfileTable::note_told(const gateway::BackendId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.untold = {};
  }
}

void EngineProfileTable::take(const EngineNews& news, NodeIndex node, MonotonicTime now) {
  const gateway::Backend* engine = find_engine(news.engine);
  if (engine == nullptr) {
    return;
  }
  take(*engine, Quantity::kOutputToken, news.output, now);
  take(*engine, Quantity::kPromptToken, news.prompt, now);
  if (news.long_streams > kMostToldStreams) {
    ++statistics_.rejected;
    return;
  }
  const auto known = engines_.find(engine->id);
  if (known != engines_.end()) {
    known->second.long_streams.take(node, news.long_streams, now);
  } else if (news.long_streams != 0) {
    engines_[engine->id].long_streams.take(node, news.long_streams, now);
  }
}

void EngineProfileTable::take(const gateway::Backend& engine, Quantity quantity,
                              const ToldSpeed& told, MonotonicTime now) {
  if (told.samples == 0) {
    return;
  }
  const double value = to_nanoseconds(told.token);
  if (!is_plausible(value, engine.service, quantity)) {
    ++statistics_.rejected;
    return;
  }
  engines_[engine.id].told[index_of(quantity)].merge(std::log(value),
                                                     std::min(told.samples, kMostToldSamples), now);
  note_measured(engine.service, quantity, now);
}

void EngineProfileTable::for_each_known(MonotonicTime now,
                                        const std::function<bool(EngineNews)>& visit) const {
  const auto speed = [&](const Engine& engine, Quantity quantity) {
    const Estimate estimate = measured(engine, quantity, now);
    const auto samples = static_cast<std::uint32_t>(std::lround(estimate.weight_at(now)));
    return samples == 0 ? ToldSpeed() : ToldSpeed{from_nanoseconds(estimate.value()), samples};
  };
  for (const auto& [id, engine] : engines_) {
    EngineNews news{.engine = id,
                    .output = speed(engine, Quantity::kOutputToken),
                    .prompt = speed(engine, Quantity::kPromptToken),
                    .long_streams = engine.long_streams.own()};
    const bool known = news.output.samples + news.prompt.samples + news.long_streams != 0;
    if (known && !visit(std::move(news))) {
      return;
    }
  }
}

Duration EngineProfileTable::renewal_period() const {
  const auto engines = static_cast<std::int64_t>(engines_.size());
  return std::max(kLeastRenewalPeriod, kRenewalPerEngine * engines);
}

/// Services of which no engine has been measured lately keep what they had.
void EngineProfileTable::renew_medians(MonotonicTime now) {
  using Measurements = std::vector<std::pair<double, const gateway::BackendId*>>;
  std::map<ServiceName, std::array<Measurements, kQuantities>> values;
  for (const auto& [id, engine] : engines_) {
    const gateway::Backend* backend = find_engine(id);
    for (const Quantity quantity : {Quantity::kOutputToken, Quantity::kPromptToken}) {
      const Estimate estimate = measured(engine, quantity, now);
      if (backend != nullptr && estimate.weight_at(now) >= kLeastMedianWeight) {
        values[backend->service][index_of(quantity)].emplace_back(estimate.value(), &id);
      }
    }
  }
  for (auto& [name, measurements] : values) {
    Service& service = services_[name];
    for (std::size_t i = 0; i != kQuantities; ++i) {
      Measurements& of_engines = measurements[i];
      if (!of_engines.empty()) {
        std::sort(of_engines.begin(), of_engines.end());
        const double median = of_engines[of_engines.size() / 2].first;
        service.spreads[i] = {.median = median,
                              .median_logarithm = std::log(median),
                              .fastest = of_engines.front().first,
                              .slowest = of_engines.back().first,
                              .slowest_engine = *of_engines.back().second,
                              .engines = of_engines.size()};
      }
    }
    service.usual.output_token = from_nanoseconds(service.spreads[0].median);
    service.usual.prompt_token = from_nanoseconds(service.spreads[1].median);
  }
  renewed_at_ = now;
  if (now - logged_at_ >= kLogPeriod) {
    log_medians(now);
  }
}

void EngineProfileTable::log_medians(MonotonicTime now) {
  logged_at_ = now;
  for (const auto& [name, service] : services_) {
    const Spread& output = service.spreads[0];
    if (output.engines == 0) {
      continue;
    }
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "engine speeds",
                   {{"service", name.value()},
                    {"engines_measured", static_cast<std::uint64_t>(output.engines)},
                    {"output_token_median_us", output.median * 1e-3},
                    {"output_token_fastest_us", output.fastest * 1e-3},
                    {"output_token_slowest_us", output.slowest * 1e-3},
                    {"slowest_engine", output.slowest_engine.value()},
                    {"prompt_token_median_us", service.spreads[1].median * 1e-3}}});
  }
}

void EngineProfileTable::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"engine_profiles", "Engines that something is known of"},
             static_cast<double>(engines_.size()));
  for (const auto& [name, service] : services_) {
    const std::vector<metrics::Label> labels{{"service", name.value()}};
    const Spread& output = service.spreads[0];
    sink.gauge({"engine_output_token_median_seconds", "Median time per output token of engines"},
               output.median * 1e-9, labels);
    sink.gauge({"engine_output_token_fastest_seconds", "Least time per output token of an engine"},
               output.fastest * 1e-9, labels);
    sink.gauge({"engine_output_token_slowest_seconds", "Most time per output token of an engine"},
               output.slowest * 1e-9, labels);
    sink.gauge({"engine_prompt_token_median_seconds", "Median prefill time per token of engines"},
               service.spreads[1].median * 1e-9, labels);
  }
}

}  // namespace ochrespring::engine_profiles
