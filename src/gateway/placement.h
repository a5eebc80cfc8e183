// Which back end takes a request. Pure: decides from the fleet, the node's own view of load, and the
// prompt; keeps no state.
#pragma once

#include <cstdint>
#include <set>

#include "base/random.h"
#include "base/time.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "gateway/prompt.h"
#include "gateway/types.h"

namespace ochrespring::gateway {

/// What is to be placed.
struct PlacementRequest {
  ServiceName service;
  const Prompt* prompt = nullptr;  ///< Null: an ordinary request.
  EngineRole role = EngineRole::kNone;  ///< kNone: any that is no prefill engine.
  std::set<BackendId> avoid;            ///< Already tried.
};

/// The choice and what spoke for it, for the log.
struct PlacementChoice {
  const Backend* backend = nullptr;  ///< Null: no back end may take the request.
  std::uint64_t unread_tokens = 0;   ///< Of the prompt, believed not to be cached there.
  double cost = 0;                   ///< In tokens to read, or in requests per slot.
  std::uint32_t candidates = 0;
};

/// Chooses the back end of least estimated cost. All nodes rank the homes of a shared prompt part
/// alike by rendezvous hashing, so that without a word between them its requests meet one cache.
class Placement {
 public:
  Placement(const FleetState& fleet, const LoadTable& loads, RandomSource& random, ZoneName zone)
      : fleet_(fleet), loads_(loads), random_(random), zone_(std::move(zone)) {}

  PlacementChoice choose(const PlacementRequest& request, MonotonicTime now) const;

 private:
  struct Estimate;

  std::vector<const Backend*> candidates(const PlacementRequest& request, MonotonicTime now) const;
  Estimate estimate_engine(const Backend& backend, const Prompt& prompt, bool home,
                           MonotonicTime now) const;
  Estimate estimate_ordinary(const Backend& backend, MonotonicTime now) const;

  const FleetState& fleet_;
  const LoadTable& loads_;
  RandomSource& random_;
  ZoneName zone_;
};

}  // namespace ochrespring::gateway
