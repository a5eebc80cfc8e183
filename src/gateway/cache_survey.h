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

/// Queries each engine once, since listing the cache delays its other work. Nodes that start
/// together divide the engines among themselves and announce the results. Engines that do not
/// answer are ignored. Used from one event loop.
class CacheSurvey {
 public:
  /// Sends a request to an engine; calls the callback with the response body, or not at all on
  /// failure.
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
