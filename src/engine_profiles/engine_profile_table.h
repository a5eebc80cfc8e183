// What this node has learned of the speed of engines.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine_profiles/estimate.h"
#include "engine_profiles/long_streams.h"
#include "engine_profiles/pace_history.h"
#include "engine_profiles/recent_samples.h"
#include "engine_profiles/service_paces.h"
#include "engine_profiles/types.h"
#include "gateway/engine_observer.h"
#include "gateway/engine_profiles.h"
#include "gateway/fleet_state.h"
#include "logging/logger.h"
#include "metrics/metrics.h"

namespace ochrespring::engine_profiles {

/// What is measured of an engine.
enum class Quantity : std::uint8_t { kOutputToken, kPromptToken };
inline constexpr std::size_t kQuantityCount = 2;

struct ProfileStatistics {
  std::uint64_t output_samples = 0;  ///< Of the time per output token.
  std::uint64_t prompt_samples = 0;  ///< Of the prefill time per token.
  std::uint64_t skipped = 0;         ///< Observations that say nothing of undisturbed work.
  std::uint64_t rejected = 0;        ///< Values that cannot be true.
};

/// Learns from observations of this node's own requests and from what other nodes tell. Answers a
/// lookup in constant time: the medians of services are renewed while observations come in, so that
/// it takes a small, constant share of time.
///
/// Pure but for the log; one loop.
class EngineProfileTable final : public gateway::EngineProfiles, public gateway::EngineObserver {
 public:
  /// Both outlive the table.
  EngineProfileTable(const gateway::FleetState& fleet, logging::Logger& logger)
      : fleet_(fleet), logger_(logger) {}

  std::optional<gateway::EngineProfile> find(const gateway::Backend& engine,
                                             MonotonicTime now) const override;
  std::optional<gateway::EngineProfile> usual(const ServiceName& service,
                                              MonotonicTime now) const override;
  double share_slower_than(const ServiceName& service, double factor,
                           MonotonicTime now) const override;

  std::optional<std::uint64_t> events_of(const gateway::BackendId& engine,
                                         std::uint64_t tokens) const override;
  void note_gaps(const gateway::GapObservation& observation, MonotonicTime now) override;
  void note_prefill(const gateway::PrefillObservation& observation, MonotonicTime now) override;
  void note_pace(const gateway::BackendId& engine, std::uint32_t percent,
                 MonotonicTime now) override;
  void begin_long_stream(const gateway::BackendId& engine, MonotonicTime now) override;
  void end_long_stream(const gateway::BackendId& engine, MonotonicTime now) override;

  /// Called when this node has something new to tell of an engine.
  void on_change(std::function<void(const gateway::BackendId&)> callback) {
    on_change_ = std::move(callback);
  }
  /// What this node itself has measured since note_told(), and its long streams.
  EngineProfileReport own_report(const gateway::BackendId& engine) const;
  /// The engine's news has been told.
  void mark_reported(const gateway::BackendId& engine);
  /// Another node's news; values that cannot be true are ignored.
  void receive(const EngineProfileReport& report, NodeIndex node, MonotonicTime now);
  /// Calls `visit` with all that is known of each engine, by whomever it was measured, until it
  /// returns false.
  void for_each_known(MonotonicTime now,
                      const std::function<bool(EngineProfileReport)>& visit) const;
  /// The engine has ended.
  void forget(const gateway::BackendId& engine) { engines_.erase(engine); }

  const ProfileStatistics& statistics() const { return statistics_; }
  std::size_t size() const { return engines_.size(); }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  struct Engine {
    std::array<RecentSamples, kQuantityCount> own;
    std::array<Estimate, kQuantityCount> reported;  ///< By other nodes.
    PaceHistory paces;
    std::array<std::uint8_t, kQuantityCount>
        unreported{};  ///< Own samples that no node was told of.
    LongStreams long_streams;
  };
  /// Of the engines that have been measured, each with its own value.
  struct SpeedSummary {
    double median = 0;  ///< Nanoseconds per token; 0: none has been measured.
    double median_logarithm = 0;
    double fastest = 0;
    double slowest = 0;
    gateway::BackendId slowest_engine;
    std::size_t engines = 0;
  };
  struct Service {
    ServicePaces paces;
    std::array<SpeedSummary, kQuantityCount> summaries;
    gateway::EngineProfile usual;  ///< The medians.
  };

  /// Null: not registered, or no engine.
  const gateway::Backend* find_engine(const gateway::BackendId& id) const;
  const gateway::EngineShape* find_shape(const ServiceName& service) const;
  const Service* find_service(const ServiceName& service) const;
  /// What is known of the engine itself; a weight of 0: nothing.
  Estimate measured(const Engine& engine, Quantity quantity, MonotonicTime now) const;
  Duration blend(const Engine& engine, Quantity quantity, const SpeedSummary& summary,
                 MonotonicTime now) const;
  bool is_plausible(double value, const ServiceName& service, Quantity quantity) const;
  void add_sample(const gateway::Backend& engine, Quantity quantity, double value,
                  MonotonicTime now);
  void merge_reported(const gateway::Backend& engine, Quantity quantity,
                      const ReportedSpeed& reported, MonotonicTime now);
  void notify_change(const gateway::BackendId& engine) const;
  /// Renews the medians if that is due, or nothing was known of the service.
  void update_medians_if_due(const ServiceName& service, Quantity quantity, MonotonicTime now);
  Duration median_update_period() const;
  void update_medians(MonotonicTime now);
  void log_medians(MonotonicTime now);

  const gateway::FleetState& fleet_;
  logging::Logger& logger_;
  std::unordered_map<gateway::BackendId, Engine> engines_;
  std::map<ServiceName, Service> services_;
  std::function<void(const gateway::BackendId&)> on_change_;
  MonotonicTime medians_updated_at_{};
  MonotonicTime logged_at_{};
  ProfileStatistics statistics_;
};

}  // namespace ochrespring::engine_profiles
