// Which back end takes a request. Pure: decides from the fleet, the node's own view of load, and
// the prompt; keeps no state.
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
#include "gateway/types.h"

namespace ochrespring::gateway {

/// What is to be placed.
struct PlacementRequest {
  ServiceName service;
  const Prompt* prompt = nullptr;      ///< Null: an ordinary request.
  bool allow_separate_prefill = true;  ///< Whether a prefill engine may read the prompt first.
  std::set<BackendId> avoid;           ///< Already tried.
  const SendGate* gate = nullptr;      ///< Null: all back ends have room.
  /// Of a stream at engines whose events are known to hold some tokens; none: pauses and ends are
  /// not predicted.
  std::optional<StreamRequirements> stream;
  bool fewest_requests_only =
      false;  ///< Whatever it costs: the back end may end under the request.
  /// Whether a back end is reached without a new connection; null: all are.
  std::function<bool(const Backend&)> connected;
};

/// One back end and what spoke for it, for the log.
struct PlacementChoice {
  const Backend* backend = nullptr;       ///< Null: no back end may take the request.
  std::uint64_t unread_tokens = 0;        ///< Of the prompt, to be read there.
  const Backend* cache_source = nullptr;  ///< Keeps shared parts that are worth fetching first.
  double cost = 0;                        ///< In tokens to read, or in requests per slot.
};

/// Who runs a request and, if that is quicker, who reads its prompt before.
struct PlacementPlan {
  PlacementChoice runner;
  PlacementChoice reader;  ///< Without a back end: the runner reads the prompt itself.
};

/// Chooses the back end of least estimated cost. All nodes rank the homes of a shared prompt part
/// alike by rendezvous hashing, so that without a word between them its requests meet one cache.
class Placement {
 public:
  /// `profiles` may be null: all engines are taken for alike.
  Placement(const FleetState& fleet, const LoadTable& loads, RandomSource& random, ZoneName zone,
            const EngineProfiles* profiles = nullptr)
      : fleet_(fleet),
        loads_(loads),
        random_(random),
        zone_(std::move(zone)),
        profiles_(profiles),
        finder_(fleet, loads, random) {}

  PlacementPlan choose(const PlacementRequest& request, MonotonicTime now) const;

  /// What is asked of a choice before its request is sent.
  struct RoomQuery {
    const PlacementRequest& request;
    Duration target_latency{};                 ///< To the first event of a stream.
    const EngineProfiles* profiles = nullptr;  ///< Null: only slots count.
  };
  /// Whether the chosen back ends, or else any others, are predicted to serve the request within
  /// its target. Draws random numbers only where the chosen ones are not.
  bool has_room(const RoomQuery& query, const PlacementPlan& plan, MonotonicTime now) const;

 private:
  bool has_free_slot(const Backend& backend, bool engine, MonotonicTime now) const;
  /// Whether an engine is predicted to have read so many more tokens within the target.
  bool reads_in_time(const Backend& engine, std::uint64_t tokens, const RoomQuery& query,
                     MonotonicTime now) const;
  using Backends = std::vector<const Backend*>;

  PlacementPlan choose_engines(const PlacementRequest& request, const CandidateFinder::Query& query,
                               MonotonicTime now) const;
  /// Part of these engines that have prompts to read, 0 to 1.
  double busy_share(const Backends& engines, MonotonicTime now) const;
  /// What a prompt is, who is its home, and who keeps its shared parts.
  struct PromptView {
    const Prompt& prompt;
    const CacheSources& sources;
    const PlacementRequest& request;
    const Backend* home = nullptr;
    double cold_cost = 0;  ///< Besides its time, of a token of a shared part that is read anew.
    /// Part of the engines, 0 to 1, on which long streams do not stay in time.
    double unsuited_share = 0;
  };
  /// Cost of reading the prompt where it then runs, or, with a reader, of taking over its cache and
  /// running it only.
  PlacementChoice estimate_runner(const Backend& backend, const PromptView& view,
                                  const Backend* reader, MonotonicTime now) const;
  PlacementChoice estimate_reader(const Backend& backend, const PromptView& view,
                                  MonotonicTime now) const;
  PlacementChoice estimate_ordinary(const Backend& backend, MonotonicTime now) const;
  /// What an engine has to read and to fetch of a prompt.
  struct Reading {
    std::uint64_t unread_tokens = 0;
    std::uint64_t fetched_tokens = 0;
    const Backend* cache_source = nullptr;  ///< Null: nothing is worth fetching.
  };
  Reading reading_at(const Backend& backend, const PromptView& view, MonotonicTime now) const;
  const BackendLoad& load_of(const Backend& backend) const;
  /// Requests and unread tokens at a back end, of all nodes.
  struct Work {
    double requests = 0;
    double unread_tokens = 0;
  };
  Work work_at(const Backend& backend, MonotonicTime now) const;
  /// Time that a prefill engine takes to read a token, in parts of what engines of its service
  /// usually take. Not used of engines that also decode: it drew prompts to the fast ones, which
  /// long streams need.
  double reading_speed(const Backend& backend, const PlacementRequest& request,
                       MonotonicTime now) const;
  /// What is predicted of a stream at an engine, in tokens to read: its own lateness, that of
  /// streams beside which its prompt is read, and its wait for a slot.
  double stream_cost(const Backend& backend, const PromptView& view, const Work& work,
                     std::uint64_t unread_tokens, MonotonicTime now) const;
  /// What a short stream takes from long ones by a slot where these would stay in time.
  double scarce_slot_cost(const Backend& backend, const PromptView& view, const Work& work,
                          const GapForecast& forecast) const;
  std::optional<GapForecast> forecast_at(const Backend& backend, const PlacementRequest& request,
                                         MonotonicTime now) const;
  double unsuited_share(const Backends& engines, const PlacementRequest& request,
                        MonotonicTime now) const;
  double slot_cost(const Backend& backend, const Work& work, const EngineProfile& profile,
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
