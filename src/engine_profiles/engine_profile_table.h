// Speed profiles of engines, from this node's measurements and other nodes' reports.
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

/// The quantities that are measured for each engine.
enum class Quantity : std::uint8_t { kTimePerOutputToken, kPrefillTimePerPromptToken };
inline constexpr std::size_t kQuantityCount = 2;

struct ProfileStatistics {
  std::uint64_t output_samples = 0;  ///< Of the time per output token.
  std::uint64_t prompt_samples = 0;  ///< Of the prefill time per prompt token.
  std::uint64_t skipped = 0;         ///< Observations that do not allow an estimate of the speed.
  std::uint64_t rejected = 0;        ///< Implausible values.
};

/// Estimates the speed of engines from observations of this node's requests and from reports of
/// other nodes. A lookup takes constant time: the medians of services are updated as observations
/// arrive, at a rate that keeps the cost a small, constant share of CPU time.
///
/// Performs no I/O except logging; must be used from one event loop.
class EngineProfileTable final : public gateway::EngineProfiles, public gateway::EngineObserver {
 public:
  /// Both arguments must outlive the table.
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

  /// Sets the function that is called when there is new information on an engine to report to other
  /// nodes.
  void on_change(std::function<void(const gateway::BackendId&)> callback) {
    on_change_ = std::move(callback);
  }
  /// Returns the lower quartile of this node's recent samples, the number of samples added since
  /// mark_reported(), and this node's number of long streams. A quantity without new samples has no
  /// value.
  EngineProfileReport own_report(const gateway::BackendId& engine) const;
  /// Marks the measurements of the engine as reported to other nodes.
  void mark_reported(const gateway::BackendId& engine);
  /// Merges another node's report; implausible values are ignored.
  void receive(const EngineProfileReport& report, NodeIndex node, MonotonicTime now);
  /// Calls `visit` for each engine with the estimates from all nodes and this node's own number of
  /// long streams, until it returns false.
  void for_each_known(MonotonicTime now,
                      const std::function<bool(EngineProfileReport)>& visit) const;
  /// Removes an engine that has terminated.
  void forget(const gateway::BackendId& engine) { engines_.erase(engine); }

  const ProfileStatistics& statistics() const { return statistics_; }
  std::size_t size() const { return engines_.size(); }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  struct Engine {
    std::array<RecentSamples, kQuantityCount> own;
    std::array<Estimate, kQuantityCount> reported;  ///< By other nodes.
    PaceHistory paces;
    /// Number of own samples not yet reported to other nodes.
    std::array<std::uint8_t, kQuantityCount> unreported{};
    LongStreams long_streams;
  };
  /// Distribution of one quantity over the measured engines of a service; each engine counts once,
  /// with its own value.
  struct TokenTimeSummary {
    double median = 0;  ///< Nanoseconds per token; 0: no engine was measured.
    double median_logarithm = 0;
    double fastest = 0;
    double slowest = 0;
    gateway::BackendId slowest_engine;
    std::size_t engines = 0;
  };
  struct Service {
    ServicePaces paces;
    std::array<TokenTimeSummary, kQuantityCount> summaries;
    gateway::EngineProfile median_profile;
  };

  /// Returns null if the back end is not registered or not an engine.
  const gateway::Backend* find_engine(const gateway::BackendId& id) const;
  const gateway::EngineShape* find_shape(const ServiceName& service) const;
  const Service* find_service(const ServiceName& service) const;
  /// Returns the combined estimate for the engine itself; its weight is 0 if there is none.
  Estimate measured(const Engine& engine, Quantity quantity, MonotonicTime now) const;
  Duration blend(const Engine& engine, Quantity quantity, const TokenTimeSummary& summary,
                 MonotonicTime now) const;
  bool is_plausible(double value, const ServiceName& service, Quantity quantity) const;
  void add_sample(const gateway::Backend& engine, Quantity quantity, double value,
                  MonotonicTime now);
  void merge_reported(const gateway::Backend& engine, Quantity quantity,
                      const ReportedSpeed& reported, MonotonicTime now);
  void notify_change(const gateway::BackendId& engine) const;
  /// Updates the medians if an update is due or the service had no measurement yet.
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
