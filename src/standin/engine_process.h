// One engine process without its sockets: the engine model in real time, fenced orders, crashes,
// lagging load reports and late cache events.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/timer.h"
#include "engine_model/engine_model.h"
#include "external/engine_control.h"
#include "external/weight_store.h"
#include "standin/faults.h"
#include "standin/model/engine_orders.h"

namespace ochrespring::standin {

struct EngineProcessSettings {
  engine::EngineStatus initial;  ///< Id, role, model, version and adapters at the start.
  engine_model::EngineParameters parameters;
  double time_scale = 1;                        ///< Model seconds per real second.
  std::uint64_t weight_bytes = 16'000'000'000;  ///< Fetched when a model is loaded.
  Duration report_interval{std::chrono::milliseconds(250)};
  Duration report_lag{std::chrono::seconds(1)};
  Duration cache_event_lag{std::chrono::seconds(1)};
  double cache_event_loss = 0;  ///< Probability of an event never being published.
};

/// Follows one sequence. Called on the loop.
class SequenceObserver {
 public:
  virtual ~SequenceObserver() = default;
  /// Tokens of the answer produced so far, the resume offset included.
  virtual void on_tokens(std::uint32_t tokens_done) = 0;
  /// Prefill only: the KV cache is ready to export.
  virtual void on_prefilled() = 0;
  /// The whole answer has been produced; the sequence is gone.
  virtual void on_finished(std::uint32_t tokens_done) = 0;
  /// The engine crashed; the sequence is gone.
  virtual void on_dropped() = 0;
};

/// Used on one loop. `weights` may be null: loads then take the parameters' time.
class EngineProcess {
 public:
  using SequenceId = engine_model::SequenceId;

  EngineProcess(const Clock& clock, TimerService& timers, FaultInjector& faults,
                external::WeightStore* weights, EngineProcessSettings settings);
  EngineProcess(const EngineProcess&) = delete;
  EngineProcess& operator=(const EngineProcess&) = delete;

  /// Gives the engine a sequence; `observer` must live until it is told of the end or cancels.
  /// `import_delay` is when the KV cache of an imported sequence has arrived, in model time.
  engine_model::SubmitResult submit(engine_model::SequenceSpec spec, Duration import_delay,
                                    SequenceObserver& observer);
  void cancel(SequenceId sequence);
  /// Whether the sequence has been admitted to the batch.
  bool running(SequenceId sequence) const;
  /// Starts the transfer of a sequence's KV cache; its duration in model time. A prefilled sequence
  /// is gone when it has arrived, a running one goes on.
  std::optional<Duration> export_cache(SequenceId sequence, engine_model::Distance distance);

  OrderVerdict accept(const engine::EngineOrder& order);
  void crash();
  /// Loses the fences seen, without a restart.
  void forget_fence() { orders_.forget_fence(); }
  /// Runs instead of a restart when FaultSettings::crash_exits is set.
  void on_crash_exit(std::function<void()> callback) { crash_exit_ = std::move(callback); }

  engine::EngineStatus status();
  /// Role, model and adapters as of the last order, without the figures of the moment.
  const engine::EngineStatus& order_status() const { return orders_.status(); }
  /// The newest load report that is old enough; none before the first.
  std::optional<engine::LoadReport> load_report();
  external::CacheEventBatch cache_events(std::uint64_t after);
  const EngineProcessSettings& settings() const { return settings_; }
  const engine_model::EngineModel& model() const { return model_; }

 private:
  struct TimedReport {
    MonotonicTime taken;
    engine::LoadReport report;
  };
  struct TimedCacheEvent {
    MonotonicTime taken;
    engine::CacheEvent event;
  };

  MonotonicTime model_now() const;
  Duration real_span(Duration model_span) const;
  void advance();
  void dispatch(const engine_model::SequenceEvent& event);
  void arm_step();
  void begin_order(const engine::EngineOrder& order);
  void fetch_weights(const engine::EngineOrder& order);
  void take_out_of_service(Duration span);
  void complete_order();
  void sample();
  void collect_cache_events();

  const Clock& clock_;
  FaultInjector& faults_;
  external::WeightStore* weights_;
  EngineProcessSettings settings_;
  MonotonicTime started_;
  engine_model::EngineModel model_;
  EngineOrders orders_;
  std::unordered_map<SequenceId, SequenceObserver*> observers_;
  std::deque<TimedReport> reports_;
  std::deque<TimedCacheEvent> cache_events_;
  std::uint64_t last_cache_event_ = 0;
  SeededRandom cache_loss_;
  std::function<void()> crash_exit_;
  Timer step_;
  Timer order_;
  Timer crash_timer_;
  Timer sampling_;
};

}  // namespace ochrespring::standin
