// What ties a gateway node to the platform it runs on.
#pragma once

#include <functional>

#include "discovery/fleet_codec.h"
#include "discovery/node_directory.h"
#include "fleet_control/server_provider.h"
#include "gateway/engine_calls.h"
#include "gateway/header_names.h"
#include "http/server.h"
#include "shared_store/store.h"
#include "usage/usage_sink.h"

namespace ochrespring::gateway_node {

/// References outlive the node.
struct Adapter {
  const gateway::HeaderNames& names;
  const gateway::EngineCalls& engines;
  const discovery::FleetCodec& codec;
  shared_store::SharedStore& store;
  /// Null: nobody takes reports of usage, or orders of servers.
  usage::UsageSink* usage_sink = nullptr;
  fleet_control::ServerProvider* server_provider = nullptr;
  /// Adds the page that tells whether the node is ready.
  std::function<void(http::Server&, std::function<bool()> ready)> add_ready_page;
  /// Adds the page that tells callers which nodes to use.
  std::function<void(http::Server&, const discovery::NodeDirectory&)> add_directory_page;
};

}  // namespace ochrespring::gateway_node
