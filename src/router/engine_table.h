// Engines as a router tracks them: what reports say, corrected for what this proxy has sent since.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "engine_model/cost_model.h"
#include "router/engine_forecast.h"
#include "router/fleet_view.h"

namespace ochrespring::router {

/// Position of an engine in the table; stable while the engine is in the view.
using EngineSlot = std::uint32_t;
inline constexpr EngineSlot kNoSlot = ~EngineSlot{0};

/// One engine and what is expected of it now.
struct TrackedEngine {
  EngineView view;
  bool present = false;     ///< In the current view.
  std::uint32_t epoch = 0;  ///< Grows when the engine's prefix cache is known to be lost.
  std::uint64_t last_cache_event = 0;  ///< Sequence of the last cache event seen.
  std::uint32_t own_in_flight = 0;
  double own_prefill_tokens = 0;  ///< Sent by this proxy, first token not seen yet.
  double own_decodes = 0;         ///< Sequences of this proxy's that decode or will.
  double own_context_tokens = 0;  ///< Sum of their contexts.

  /// Work sent after the last report was taken.
  struct Sent {
    MonotonicTime at;
    double backlog_tokens = 0;
    double context_tokens = 0;
  };
  std::deque<Sent> sent;
  double sent_context_tokens = 0;  ///< Sum over `sent`.
  double backlog_tokens = 0;       ///< As of `backlog_at`.
  MonotonicTime backlog_at{};
  double running = 0;
  double context_tokens = 0;
  double drain_rate = 0;  ///< Prompt tokens a second, less what others are expected to add.
};

/// All engines of the view, grouped by service and model. Used on one loop.
class EngineTable {
 public:
  struct Parameters {
    engine_model::CostModel cost;
    double others_share = 0;  ///< Part of each engine's work that other proxies send.
    double own_weight = 1;    ///< What one own send stands for: others with the same view send too.
    /// What one own request stands for until its first token (prefill) and its end (decode): the
    /// proxies that share an engine have about as much there each. Zero: reports only.
    double outstanding_weight = 0;
    bool correct_lag = true;  ///< Count what was sent since the report; off only for comparison.
  };
  using Group = std::vector<EngineSlot>;

  explicit EngineTable(const Parameters& parameters) : parameters_(parameters) {}

  /// Takes over a new snapshot; the cost is one pass, and only changed reports are worked in.
  void update(const FleetView& view, MonotonicTime now);
  /// Engines of a service that run a model; nullptr if there is none. Empty model: all engines.
  const Group* group(const ServiceName& service, const ModelName& model) const;
  /// Whether the view has engines of this service at all.
  bool knows_service(const ServiceName& service) const;
  /// Slot of an engine, or kNoSlot.
  EngineSlot find(const EngineId& id) const;

  const TrackedEngine& at(EngineSlot slot) const { return engines_[slot]; }
  TrackedEngine& at(EngineSlot slot) { return engines_[slot]; }
  /// Number of slots ever in use.
  std::size_t size() const { return engines_.size(); }

  /// Whether new work may be sent to the engine at `now`.
  bool dispatchable(EngineSlot slot, MonotonicTime now) const;
  /// Load expected at `now`.
  LoadEstimate estimate(EngineSlot slot, MonotonicTime now) const;
  /// Work was sent to the engine.
  void on_sent(EngineSlot slot, double backlog_tokens, double context_tokens, MonotonicTime now);
  /// The prompt tokens of a send have been computed: its first token was seen, or it ended.
  void on_prefilled(EngineSlot slot, double backlog_tokens);
  /// Work this proxy had sent has ended.
  void on_ended(EngineSlot slot, double context_tokens);

 private:
  void replay_sent(TrackedEngine& engine);
  void refresh(TrackedEngine& engine, const EngineView& view, MonotonicTime now);
  void rebuild_groups();

  Parameters parameters_;
  std::vector<TrackedEngine> engines_;
  std::unordered_map<EngineId, EngineSlot> slots_;
  std::vector<EngineSlot> order_;  ///< Slot of each engine of the last view, in its order.
  std::vector<EngineSlot> free_;   ///< Slots of engines that left.
  std::map<std::pair<ServiceName, ModelName>, Group> groups_;
};

}  // namespace ochrespring::router
