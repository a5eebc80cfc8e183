// Which back end takes a request. Pure: decides from the fleet, the node's own view of load, what
// it has learned of engines, and the prompt; keeps no state.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "gateway/cache_sources.h"
#include "gateway/completion_loss.h"
#include "gateway/engine_model.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// What is to be placed.
struct PlacementRequest {
  ServiceName service;
  const Prompt* prompt = nullptr;  ///< Null: an ordinary request.
  EngineShape shape;               ///< Of the service's engines.
  ServiceObjective objective;
  bool may_read_apart = true;  ///< Whether a prefill engine may read the prompt first.
  std::set<BackendId> avoid;   ///< Already tried.
  /// Whether a back end is reached without a new connection; null: all are.
  std::function<bool(const Backend&)> connected;
};

/// One back end and what spoke for it, for the log.
struct PlacementChoice {
  const Backend* backend = nullptr;       ///< Null: no back end may take the request.
  std::uint64_t unread_tokens = 0;        ///< Of the prompt, to be read there.
  std::uint64_t fetched_tokens = 0;       ///< Of the prompt, to be fetched from `cache_source`.
  double tokens_ahead = 0;                ///< Of other prompts, to be read there before.
  bool urgent = true;                     ///< Can be in time, and is read before all that cannot.
  bool long_stream = false;               ///< Long enough to meet what is read beside it.
  const Backend* cache_source = nullptr;  ///< Keeps shared parts that are worth fetching first.
  Milliseconds time{};                    ///< Expected until the first event, or until it has read.
  double cost = 0;                        ///< Loss of worth, or requests per slot.
};

/// Who runs a request and, if that is better, who reads its prompt before.
struct PlacementPlan {
  PlacementChoice runner;
  PlacementChoice reader;  ///< Without a back end: the runner reads the prompt itself.
};

/// Chooses the plan of least expected loss of worth. All nodes rank the homes of a shared prompt
/// part alike by rendezvous hashing, so that without a word between them its requests meet one
/// cache.
class Placement {
 public:
  Placement(const FleetState& fleet, const LoadTable& loads, EngineModels& models,
            RandomSource& random, ZoneName zone)
      : fleet_(fleet), loads_(loads), models_(models), random_(random), zone_(std::move(zone)) {}

  PlacementPlan choose(const PlacementRequest& request, MonotonicTime now) const;

 private:
  using Backends = std::vector<const Backend*>;

  PlacementPlan choose_engines(const PlacementRequest& request, MonotonicTime now) const;
  Backends candidates(const PlacementRequest& request, bool readers, MonotonicTime now) const;
  /// What a prompt is, who is its home, and who keeps its shared parts.
  struct PromptView {
    const Prompt& prompt;
    const CacheSources& sources;
    const PlacementRequest& request;
    const EngineModel& model;
    MonotonicTime now;
    const Backend* home = nullptr;
  };
  /// Reading the prompt at the engine where it then runs.
  PlacementChoice estimate_direct(const Backend& backend, const PromptView& view) const;
  /// Reading the prompt at an engine that hands its cache over.
  PlacementChoice estimate_reader(const Backend& backend, const PromptView& view) const;
  /// Running it from the cache that the reader hands over.
  PlacementChoice estimate_runner(const Backend& backend, const PromptView& view,
                                  const PlacementChoice& reader) const;
  /// The engine of least cost to run a prompt that has been read.
  PlacementChoice choose_runner(const Backends& runners, const PromptView& view,
                                const PlacementChoice& reader) const;
  PlacementChoice estimate_ordinary(const Backend& backend, MonotonicTime now) const;
  /// What an engine has to read and to fetch of a prompt, and how long that takes.
  PlacementChoice estimate_reading(const Backend& backend, const PromptView& view) const;
  /// Shared tokens of the prompt that an engine keeps from its start on.
  std::uint64_t held_tokens(const Backend& backend, const PromptView& view) const;
  /// Price of what comes into an engine's memory, read or copied.
  double engine_price(const Backend& backend, const PromptView& view, double read,
                      double copied) const;
  /// Loss of worth besides lateness: failures, connections, slots.
  double side_loss(const Backend& backend, const PromptView& view) const;
  double run_loss(const Backend& backend, const PromptView& view, double tokens_read_there) const;
  bool is_long(const PromptView& view) const;
  const BackendLoad& load_of(const Backend& backend) const;
  /// Requests and unread tokens at a back end, of all nodes.
  struct Work {
    double requests = 0;
    double unread_tokens = 0;
    double urgent_tokens = 0;
    double long_streams = 0;
  };
  Work work_at(const Backend& backend, MonotonicTime now) const;

  template <class Estimate>
  PlacementChoice cheapest(const Backends& backends, const Estimate& estimate) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  EngineModels& models_;
  RandomSource& random_;
  ZoneName zone_;
};

}  // namespace ochrespring::gateway
