// Queries the engines for their cached prompt parts when a node starts, since engines may have been
// serving long before.
#pragma once

#include <functional>

#include "base/time.h"
#include "gateway/engine_calls.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "http/client.h"

namespace ochrespring::gateway {

/// Queries each engine once and ignores engines that do not answer. Nodes that start together share
/// the work: each queries its own part of the engines and announces what they have cached, since
/// listing the cache delays the engine's other work. Used from one event loop.
class CacheSurvey {
 public:
  using Fetch = std::function<void(const BackendId& engine, http::ClientRequest,
                                   std::function<void(std::string body)>)>;

  CacheSurvey(const Clock& clock, const EngineCalls& engines, const FleetState& fleet,
              LoadTable& loads, Fetch fetch);

  /// Queries those of the currently known engines that are assigned to `self` among all `nodes`,
  /// which include it. Does nothing while no back end is known, nor after the first survey.
  void begin(const NodeId& self, const std::vector<NodeId>& nodes);
  bool begun() const { return begun_; }

 private:
  void query(const Backend& engine);

  const Clock& clock_;
  const EngineCalls& engines_;
  const FleetState& fleet_;
  LoadTable& loads_;
  Fetch fetch_;
  bool begun_ = false;
};

}  // namespace ochrespring::gateway
