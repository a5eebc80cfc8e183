// Chooses the back end for a request from the fleet, this node's view of the load, and the prompt.
// Keeps no state of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "gateway/cache_sources.h"
#include "gateway/candidates.h"
#include "gateway/engine_profiles.h"
#include "gateway/fleet_state.h"
#include "gateway/gap_forecast.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/software_id.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// The request that is to be placed.
struct PlacementRequest {
  ServiceName service;
  const Prompt* prompt = nullptr;      ///< Null: the request is not for a model engine.
  bool allow_separate_prefill = true;  ///< Whether a prefill engine may prefill the prompt first.
  std::set<BackendId> avoid;           ///< Back ends already tried; never chosen.
  const SendGate* gate = nullptr;      ///< Null: all back ends accept requests.
  std::optional<SoftwareId> software;  ///< Which began the stream; none: it has not begun.
  /// For a stream at engines whose number of tokens per event is known; none: gaps between events
  /// and stream ends are not predicted.
  std::optional<StreamRequirements> stream;
  /// Ignore cost and choose the back end with the fewest requests; for a request that may crash it.
  bool fewest_requests_only = false;
  /// Whether a back end is reached without a new connection; null: all are.
  std::function<bool(const Backend&)> connected;
};

/// One back end and the estimate for it, for the log.
struct PlacementChoice {
  const Backend* backend = nullptr;  ///< Null: no back end may take the request.
  std::uint64_t prefill_tokens = 0;  ///< Of the prompt, to be prefilled there.
  /// Engine from which `backend` should fetch cached shared parts before its prefill; null: none.
  const Backend* fetch_source = nullptr;
  /// For model engines in prefill tokens, for other services in requests per slot; with
  /// PlacementRequest::fewest_requests_only in requests.
  double cost = 0;
};

/// The back end that runs a request and, if that is cheaper, the engine that prefills its prompt
/// first.
struct PlacementPlan {
  PlacementChoice runner;
  PlacementChoice prefill;  ///< Without a back end: the runner prefills the prompt itself.
};

/// Chooses the back end with the lowest estimated cost. All nodes rank the homes of a shared prompt
/// part alike by rendezvous hashing, so that requests with the same part reach the same cache
/// without coordination.
class Placement {
 public:
  /// `profiles` may be null: all engines are treated as equal.
  Placement(const FleetState& fleet, const LoadTable& loads, RandomSource& random, ZoneName zone,
            const EngineProfiles* profiles = nullptr)
      : fleet_(fleet),
        loads_(loads),
        random_(random),
        zone_(std::move(zone)),
        profiles_(profiles),
        finder_(fleet, loads, random) {}

  PlacementPlan choose(const PlacementRequest& request, MonotonicTime now) const;

  /// Parameters of has_room().
  struct CapacityQuery {
    const PlacementRequest& request;
    Duration target_latency{};                 ///< To the first event of a stream.
    const EngineProfiles* profiles = nullptr;  ///< Null: only slots count.
  };
  /// Returns whether the back ends of `plan`, or any other candidates, are predicted to serve the
  /// request within its target latency. `plan` must have a runner. Draws random numbers only if the
  /// back ends of `plan` are not.
  bool has_room(const CapacityQuery& query, const PlacementPlan& plan, MonotonicTime now) const;

 private:
  bool has_free_slot(const Backend& backend, bool engine, MonotonicTime now) const;
  /// Whether an engine is predicted to prefill `tokens` more tokens within the target latency.
  bool prefills_in_time(const Backend& engine, std::uint64_t tokens, const CapacityQuery& query,
                        MonotonicTime now) const;
  using Backends = std::vector<const Backend*>;

  PlacementPlan choose_engines(const PlacementRequest& request, const CandidateFinder::Query& query,
                               MonotonicTime now) const;
  /// Share of these engines that have pending prefill work, 0 to 1.
  double busy_share(const Backends& engines, MonotonicTime now) const;
  /// A prompt, its home, and the engines that have its shared parts cached.
  struct PromptContext {
    const Prompt& prompt;
    const CacheSources& sources;
    const PlacementRequest& request;
    const Backend* home = nullptr;
    /// Extra cost per token of prefilling a shared part that another engine may have cached; added
    /// to the prefill time.
    double reprefill_cost = 0;
    /// Share of the engines, 0 to 1, that cannot keep the target gap of long streams.
    double unsuited_share = 0;
  };
  /// Cost of prefilling and running the prompt at `backend`, or, with a `prefill_engine`, of
  /// transferring the cache from there and only running it.
  PlacementChoice estimate_runner(const Backend& backend, const PromptContext& prompt_context,
                                  const Backend* prefill_engine, MonotonicTime now) const;
  PlacementChoice estimate_prefill(const Backend& backend, const PromptContext& prompt_context,
                                   MonotonicTime now) const;
  PlacementChoice estimate_ordinary(const Backend& backend, MonotonicTime now) const;
  /// Tokens of a prompt that an engine has to prefill and to fetch.
  struct PrefillWork {
    std::uint64_t prefill_tokens = 0;
    std::uint64_t fetched_tokens = 0;
    const Backend* fetch_source = nullptr;  ///< Null: there is nothing worth fetching.
  };
  PrefillWork prefill_work_at(const Backend& backend, const PromptContext& prompt_context,
                              MonotonicTime now) const;
  const BackendLoad& load_of(const Backend& backend) const;
  /// Requests and pending prefill tokens of all nodes at a back end.
  struct TotalWorkload {
    double requests = 0;
    double pending_prefill_tokens = 0;
  };
  TotalWorkload workload_at(const Backend& backend, MonotonicTime now) const;
  /// Time that a prefill engine takes per token, relative to the median of its service. Not used
  /// for engines that also decode: it would move prompts to the fast ones, which long streams need.
  double relative_prefill_time(const Backend& backend, const PlacementRequest& request,
                               MonotonicTime now) const;
  /// Predicted cost of a stream at an engine, in prefill tokens: its own lateness, the lateness of
  /// streams that its prefill delays, and its wait for a slot.
  double stream_cost(const Backend& backend, const PromptContext& prompt_context,
                     const TotalWorkload& work, std::uint64_t prefill_tokens,
                     MonotonicTime now) const;
  /// Cost of a short stream that occupies a slot at an engine suited to long streams.
  double scarce_slot_cost(const Backend& backend, const PromptContext& prompt_context,
                          const TotalWorkload& work, const GapForecast& forecast) const;
  std::optional<GapForecast> forecast_at(const Backend& backend, const PlacementRequest& request,
                                         MonotonicTime now) const;
  double unsuited_share(const Backends& engines, const PlacementRequest& request,
                        MonotonicTime now) const;
  double slot_cost(const Backend& backend, const TotalWorkload& work, const EngineProfile& profile,
                   const GapForecast& forecast) const;

  template <class Estimate>
  PlacementChoice cheapest(const Backends& backends, const Estimate& estimate) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  RandomSource& random_;
  ZoneName zone_;
  const EngineProfiles* profiles_;
  CandidateFinder finder_;
};

}  // namespace ochrespring::gateway
