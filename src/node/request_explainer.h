// Gathers what the proxy loops remember of one request.
#pragma once

#include <memory>
#include <vector>

#include "base/time.h"
#include "http/event_loop.h"
#include "operator_api/fleet_admin.h"
#include "proxy/proxy_loop.h"

namespace ochrespring::node {

class RequestExplainer {
 public:
  using Done = operator_api::AdminCallback<operator_api::RequestExplanation>;

  /// Asks all loops; `done` runs on the control loop once all have answered.
  static void ask(const std::vector<proxy::ProxyLoop*>& loops, http::EventLoop& control_loop,
                  const Clock& clock, const NodeId& node, const RequestId& request, Done done);

 private:
  struct Gathering;
};

}  // namespace ochrespring::node
