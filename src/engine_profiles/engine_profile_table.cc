#include "engine_profiles/engine_profile_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "metrics/counter_table.h"

namespace ochrespring::engine_profiles {

namespace {

constexpr std::string_view kComponent = "engine_profiles";
/// The medians are updated at intervals of this time multiplied by the number of engines: an update
/// for 10,000 engines takes 5 ms, that is 0.1% of its interval.
constexpr Duration kMedianUpdatePeriodPerEngine = std::chrono::microseconds(500);
constexpr Duration kMinMedianUpdatePeriod = std::chrono::milliseconds(100);
constexpr Duration kLogPeriod = std::chrono::seconds(60);
/// Weight of the service's median, in samples: an engine with few samples is assumed to be like the
/// others.
constexpr double kPriorWeight = 2;
/// Subtracted from the weight of an engine's samples. Two samples may both fall into a slowdown,
/// which no quantile detects; without the discount, estimates of identical engines differ by 28%.
constexpr double kDiscountedSamples = 2;
/// An engine whose samples have a lower total weight does not count in the median of its service.
constexpr double kMinMedianWeight = 0.5;
/// Paces further than this factor from 1 are rejected, and so are values further than this factor
/// from the median of the service.
constexpr double kMaxPlausibleRatio = 100;
/// Values are compared with the median only if it covers at least this many engines; otherwise a
/// wrong first value would cause all correct ones to be rejected.
constexpr std::size_t kMinEnginesForRatioCheck = 3;
/// Bounds of plausible values in nanoseconds per token, indexed by Quantity: 10 us to 10 s per
/// output token, 1 ns to 1 s per prompt token.
constexpr std::array<double, kQuantityCount> kMinNanosecondsPerToken{1e4, 1};
constexpr std::array<double, kQuantityCount> kMaxNanosecondsPerToken{1e10, 1e9};
/// Upper bounds on the samples and streams of one engine that are accepted from another node.
constexpr std::uint32_t kMaxReportedSamples = 32;
constexpr std::uint32_t kMaxReportedStreams = 10'000;
/// For shorter prompts, most of the time is waiting and network latency.
constexpr std::uint64_t kMinPrefillTokens = 1'000;
/// Observations with more tokens of other prompts ahead, as a share of the prompt's own tokens, are
/// skipped: part of those may already have been prefilled, and the time per token would be
/// underestimated.
constexpr double kMaxShareAhead = 0.125;
/// Prefill takes this many times as long on an engine that also decodes.
constexpr double kDecodeEngineSlowdown = 2;
/// Observations are skipped if decoding the first event takes a greater share of the time, since
/// the remaining prefill time is too uncertain.
constexpr double kMaxDecodeShare = 0.5;
constexpr double kPercent = 100;

constexpr metrics::CounterRow<ProfileStatistics> kCounters[] = {
    {"engine_profile_output_samples", "Samples of the time per output token",
     &ProfileStatistics::output_samples},
    {"engine_profile_prompt_samples", "Samples of the prefill time per prompt token",
     &ProfileStatistics::prompt_samples},
    {"engine_profile_observations_skipped",
     "Observations skipped because they do not allow an estimate of the engine's speed",
     &ProfileStatistics::skipped},
    {"engine_profile_values_rejected", "Implausible engine speed values",
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
  if (service == nullptr || service->median_profile.output_token == Duration::zero()) {
    return std::nullopt;
  }
  gateway::EngineProfile profile = service->median_profile;
  const auto known = engines_.find(engine.id);
  if (known == engines_.end()) {
    return profile;
  }
  const auto& summaries = service->summaries;
  profile.output_token = blend(known->second, Quantity::kTimePerOutputToken, summaries[0], now);
  if (summaries[1].median != 0) {
    profile.prompt_token =
        blend(known->second, Quantity::kPrefillTimePerPromptToken, summaries[1], now);
  }
  profile.long_streams = known->second.long_streams.total(now);
  return profile;
}

std::optional<gateway::EngineProfile> EngineProfileTable::usual(const ServiceName& service,
                                                                MonotonicTime /*now*/) const {
  const Service* known = find_service(service);
  return known == nullptr || known->median_profile.output_token == Duration::zero()
             ? std::nullopt
             : std::optional(known->median_profile);
}

double EngineProfileTable::share_slower_than(const ServiceName& service, double factor,
                                             MonotonicTime now) const {
  const Service* known = find_service(service);
  return known == nullptr ? 0 : known->paces.share_slower_than(factor, now);
}

std::optional<std::uint64_t> EngineProfileTable::events_of(const gateway::BackendId& engine,
                                                           std::uint64_t tokens) const {
  const gateway::Backend* backend = find_engine(engine);
  const gateway::EngineShape* shape = backend == nullptr ? nullptr : find_shape(backend->service);
  if (shape == nullptr || shape->tokens_per_event == 0) {
    return std::nullopt;
  }
  return (tokens + shape->tokens_per_event - 1) / shape->tokens_per_event;
}

void EngineProfileTable::note_gaps(const gateway::GapObservation& observation, MonotonicTime now) {
  const gateway::Backend* backend = find_engine(observation.engine);
  const gateway::EngineShape* shape = backend == nullptr ? nullptr : find_shape(backend->service);
  if (shape == nullptr || shape->tokens_per_event == 0 || observation.gaps == 0) {
    return;
  }
  const auto pace = engines_[backend->id].paces.pace_during_sample(now);
  if (!pace) {
    ++statistics_.skipped;
    return;
  }
  const double tokens = static_cast<double>(observation.gaps) * shape->tokens_per_event;
  add_sample(*backend, Quantity::kTimePerOutputToken,
             to_nanoseconds(observation.took) / tokens / *pace, now);
}

void EngineProfileTable::note_prefill(const gateway::PrefillObservation& observation,
                                      MonotonicTime now) {
  const gateway::Backend* backend = find_engine(observation.engine);
  if (backend == nullptr) {
    return;
  }
  const auto pace = engines_[backend->id].paces.pace_during_sample(now);
  const auto own = static_cast<double>(observation.tokens);
  const auto ahead = static_cast<double>(observation.tokens_ahead);
  if (!pace || observation.tokens < kMinPrefillTokens || ahead > kMaxShareAhead * own) {
    ++statistics_.skipped;
    return;
  }
  double took = to_nanoseconds(observation.took) / *pace;
  if (observation.includes_first_event) {
    const auto profile = find(*backend, now);
    const gateway::EngineShape* shape = find_shape(backend->service);
    const double decode_time = profile && shape != nullptr
                                   ? to_nanoseconds(profile->output_token) * shape->tokens_per_event
                                   : 0;
    if (decode_time == 0 || decode_time > kMaxDecodeShare * took) {
      ++statistics_.skipped;
      return;
    }
    took -= decode_time;
  }
  const bool decodes = backend->role == gateway::EngineRole::kDecode;
  add_sample(*backend, Quantity::kPrefillTimePerPromptToken,
             took / (own + ahead) / (decodes ? kDecodeEngineSlowdown : 1), now);
}

void EngineProfileTable::note_pace(const gateway::BackendId& engine, std::uint32_t percent,
                                   MonotonicTime now) {
  const gateway::Backend* backend = find_engine(engine);
  if (backend == nullptr) {
    return;
  }
  const double pace = percent / kPercent;
  if (pace < 1 / kMaxPlausibleRatio || pace > kMaxPlausibleRatio) {
    ++statistics_.rejected;
    return;
  }
  engines_[engine].paces.add(pace, now);
  services_[backend->service].paces.add(pace, now);
}

void EngineProfileTable::begin_long_stream(const gateway::BackendId& engine,
                                           MonotonicTime /*now*/) {
  if (find_engine(engine) != nullptr) {
    engines_[engine].long_streams.begin();
    notify_change(engine);
  }
}

/// Does not add an engine that was removed while one of its streams was running.
void EngineProfileTable::end_long_stream(const gateway::BackendId& engine, MonotonicTime /*now*/) {
  const auto known = engines_.find(engine);
  if (known != engines_.end()) {
    known->second.long_streams.end();
    notify_change(engine);
  }
}

const gateway::Backend* EngineProfileTable::find_engine(const gateway::BackendId& id) const {
  const gateway::Backend* backend = fleet_.find(id);
  const bool engine = backend != nullptr && backend->role != gateway::EngineRole::kNone;
  return engine ? backend : nullptr;
}

const gateway::EngineShape* EngineProfileTable::find_shape(const ServiceName& name) const {
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
  Estimate estimate = engine.reported[index_of(quantity)];
  if (!own.empty()) {
    estimate.merge(own.log_lower_quartile(), own.weight(now), now);
  }
  return estimate;
}

/// Returns the engine's value, weighted towards the median of the service if few samples exist.
Duration EngineProfileTable::blend(const Engine& engine, Quantity quantity,
                                   const TokenTimeSummary& summary, MonotonicTime now) const {
  const Estimate own = measured(engine, quantity, now);
  Estimate estimate;
  estimate.merge(summary.median_logarithm, kPriorWeight, now);
  estimate.merge(own.logarithm(), std::max(0.0, own.weight_at(now) - kDiscountedSamples), now);
  return from_nanoseconds(estimate.value());
}

bool EngineProfileTable::is_plausible(double value, const ServiceName& service,
                                      Quantity quantity) const {
  // Written so that NaN, which compares false with everything, is rejected.
  const std::size_t i = index_of(quantity);
  if (!(value >= kMinNanosecondsPerToken[i] && value <= kMaxNanosecondsPerToken[i])) {
    return false;
  }
  const Service* known = find_service(service);
  if (known == nullptr || known->summaries[i].engines < kMinEnginesForRatioCheck) {
    return true;
  }
  const double median = known->summaries[i].median;
  return value < kMaxPlausibleRatio * median && value > median / kMaxPlausibleRatio;
}

void EngineProfileTable::add_sample(const gateway::Backend& engine, Quantity quantity, double value,
                                    MonotonicTime now) {
  if (!is_plausible(value, engine.service, quantity)) {
    ++statistics_.rejected;
    return;
  }
  ++(quantity == Quantity::kTimePerOutputToken ? statistics_.output_samples
                                               : statistics_.prompt_samples);
  Engine& known = engines_[engine.id];
  known.own[index_of(quantity)].add(static_cast<float>(value), now);
  std::uint8_t& unreported = known.unreported[index_of(quantity)];
  unreported = std::min<std::uint8_t>(unreported, std::numeric_limits<std::uint8_t>::max() - 1) + 1;
  update_medians_if_due(engine.service, quantity, now);
  notify_change(engine.id);
}

void EngineProfileTable::update_medians_if_due(const ServiceName& service, Quantity quantity,
                                               MonotonicTime now) {
  const bool first = services_[service].summaries[index_of(quantity)].engines == 0;
  if (first || now - medians_updated_at_ >= median_update_period()) {
    update_medians(now);
  }
}

void EngineProfileTable::notify_change(const gateway::BackendId& engine) const {
  if (on_change_) {
    on_change_(engine);
  }
}

EngineProfileReport EngineProfileTable::own_report(const gateway::BackendId& id) const {
  EngineProfileReport report{.engine = id};
  const auto found = engines_.find(id);
  if (found == engines_.end()) {
    return report;
  }
  const Engine& engine = found->second;
  const auto reported = [&](Quantity quantity) {
    const std::size_t i = index_of(quantity);
    return engine.unreported[i] == 0
               ? ReportedSpeed()
               : ReportedSpeed{from_nanoseconds(std::exp(engine.own[i].log_lower_quartile())),
                               engine.unreported[i]};
  };
  report.output = reported(Quantity::kTimePerOutputToken);
  report.prompt = reported(Quantity::kPrefillTimePerPromptToken);
  report.long_streams = engine.long_streams.own();
  return report;
}

void EngineProfileTable::mark_reported(const gateway::BackendId& engine) {
  const auto found = engines_.find(engine);
  if (found != engines_.end()) {
    found->second.unreported = {};
  }
}

void EngineProfileTable::receive(const EngineProfileReport& report, NodeIndex node,
                                 MonotonicTime now) {
  const gateway::Backend* engine = find_engine(report.engine);
  if (engine == nullptr) {
    return;
  }
  merge_reported(*engine, Quantity::kTimePerOutputToken, report.output, now);
  merge_reported(*engine, Quantity::kPrefillTimePerPromptToken, report.prompt, now);
  if (report.long_streams > kMaxReportedStreams) {
    ++statistics_.rejected;
    return;
  }
  const auto known = engines_.find(engine->id);
  if (known != engines_.end()) {
    known->second.long_streams.set_remote(node, report.long_streams, now);
  } else if (report.long_streams != 0) {
    engines_[engine->id].long_streams.set_remote(node, report.long_streams, now);
  }
}

void EngineProfileTable::merge_reported(const gateway::Backend& engine, Quantity quantity,
                                        const ReportedSpeed& reported, MonotonicTime now) {
  if (reported.samples == 0) {
    return;
  }
  const double value = to_nanoseconds(reported.time_per_token);
  if (!is_plausible(value, engine.service, quantity)) {
    ++statistics_.rejected;
    return;
  }
  engines_[engine.id].reported[index_of(quantity)].merge(
      std::log(value), std::min(reported.samples, kMaxReportedSamples), now);
  update_medians_if_due(engine.service, quantity, now);
}

void EngineProfileTable::for_each_known(
    MonotonicTime now, const std::function<bool(EngineProfileReport)>& visit) const {
  const auto speed = [&](const Engine& engine, Quantity quantity) {
    const Estimate estimate = measured(engine, quantity, now);
    const auto samples = static_cast<std::uint32_t>(std::lround(estimate.weight_at(now)));
    return samples == 0 ? ReportedSpeed()
                        : ReportedSpeed{from_nanoseconds(estimate.value()), samples};
  };
  for (const auto& [id, engine] : engines_) {
    EngineProfileReport report{.engine = id,
                               .output = speed(engine, Quantity::kTimePerOutputToken),
                               .prompt = speed(engine, Quantity::kPrefillTimePerPromptToken),
                               .long_streams = engine.long_streams.own()};
    const bool known = report.output.samples + report.prompt.samples + report.long_streams != 0;
    if (known && !visit(std::move(report))) {
      return;
    }
  }
}

Duration EngineProfileTable::median_update_period() const {
  const auto engines = static_cast<std::int64_t>(engines_.size());
  return std::max(kMinMedianUpdatePeriod, kMedianUpdatePeriodPerEngine * engines);
}

/// Services without recently measured engines keep their previous medians.
void EngineProfileTable::update_medians(MonotonicTime now) {
  using Measurements = std::vector<std::pair<double, const gateway::BackendId*>>;
  std::map<ServiceName, std::array<Measurements, kQuantityCount>> values;
  for (const auto& [id, engine] : engines_) {
    const gateway::Backend* backend = find_engine(id);
    for (const Quantity quantity :
         {Quantity::kTimePerOutputToken, Quantity::kPrefillTimePerPromptToken}) {
      const Estimate estimate = measured(engine, quantity, now);
      if (backend != nullptr && estimate.weight_at(now) >= kMinMedianWeight) {
        values[backend->service][index_of(quantity)].emplace_back(estimate.value(), &id);
      }
    }
  }
  for (auto& [name, measurements] : values) {
    Service& service = services_[name];
    for (std::size_t i = 0; i != kQuantityCount; ++i) {
      Measurements& engine_values = measurements[i];
      if (!engine_values.empty()) {
        std::sort(engine_values.begin(), engine_values.end());
        const double median = engine_values[engine_values.size() / 2].first;
        service.summaries[i] = {.median = median,
                                .median_logarithm = std::log(median),
                                .fastest = engine_values.front().first,
                                .slowest = engine_values.back().first,
                                .slowest_engine = *engine_values.back().second,
                                .engines = engine_values.size()};
      }
    }
    service.median_profile.output_token = from_nanoseconds(service.summaries[0].median);
    service.median_profile.prompt_token = from_nanoseconds(service.summaries[1].median);
  }
  medians_updated_at_ = now;
  if (now - logged_at_ >= kLogPeriod) {
    log_medians(now);
  }
}

void EngineProfileTable::log_medians(MonotonicTime now) {
  logged_at_ = now;
  for (const auto& [name, service] : services_) {
    const TokenTimeSummary& output = service.summaries[0];
    if (output.engines == 0) {
      continue;
    }
    logger_.write({logging::Level::kInfo,
                   kComponent,
                   "engine speeds of the service",
                   {{"service", name.value()},
                    {"engines_measured", static_cast<std::uint64_t>(output.engines)},
                    {"output_token_median_us", output.median * 1e-3},
                    {"output_token_fastest_us", output.fastest * 1e-3},
                    {"output_token_slowest_us", output.slowest * 1e-3},
                    {"slowest_engine", output.slowest_engine.value()},
                    {"prompt_token_median_us", service.summaries[1].median * 1e-3}}});
  }
}

void EngineProfileTable::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"engine_profiles", "Engines with a stored profile"},
             static_cast<double>(engines_.size()));
  for (const auto& [name, service] : services_) {
    const std::vector<metrics::Label> labels{{"service", name.value()}};
    const TokenTimeSummary& output = service.summaries[0];
    sink.gauge({"engine_output_token_median_seconds",
                "Median time per output token of the engines of a service"},
               output.median * 1e-9, labels);
    sink.gauge(
        {"engine_output_token_fastest_seconds", "Time per output token of the fastest engine"},
        output.fastest * 1e-9, labels);
    sink.gauge(
        {"engine_output_token_slowest_seconds", "Time per output token of the slowest engine"},
        output.slowest * 1e-9, labels);
    sink.gauge({"engine_prompt_token_median_seconds",
                "Median prefill time per prompt token of the engines of a service"},
               service.summaries[1].median * 1e-9, labels);
  }
}

}  // namespace ochrespring::engine_profiles
