// Asks engines what they keep in their caches when a node starts: it has seen nothing yet, but the
// engines may have been serving for long.
#pragma once

#include <functional>

#include "base/time.h"
#include "gateway/engine_calls.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "http/client.h"

namespace ochrespring::gateway {

/// One loop. Each engine is asked once; one that does not answer is left out. Nodes that start
/// together share the work: each asks its part of the engines and announces what they keep, since a
/// list holds up the engine's work.
class CacheSurvey {
 public:
  using Fetch = std::function<void(const BackendId& engine, http::ClientRequest,
                                   std::function<void(std::string body)>)>;

  CacheSurvey(const Clock& clock, const EngineCalls& engines, const FleetState& fleet,
              LoadTable& loads, Fetch fetch);

  /// Asks those of the engines known now that fall to `self` among all `nodes`, this one included;
  /// further calls do nothing.
  void begin(const NodeId& self, const std::vector<NodeId>& nodes);
  bool begun() const { return begun_; }

 private:
  void ask(const Backend& engine);

  const Clock& clock_;
  const EngineCalls& engines_;
  const FleetState& fleet_;
  LoadTable& loads_;
  Fetch fetch_;
  bool begun_ = false;
};

}  // namespace ochrespring::gateway
