// Connects a gateway node to the platform it runs on.
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

/// The interfaces of the platform that a gateway node uses. The referenced objects must outlive the
/// node.
struct Adapter {
  const gateway::HeaderNames& names;
  const gateway::EngineCalls& engines;
  const discovery::FleetCodec& codec;
  shared_store::SharedStore& store;
  /// Null if no usage is reported, or no servers are ordered.
  usage::UsageSink* usage_sink = nullptr;
  fleet_control::ServerProvider* server_provider = nullptr;
  /// Adds the page that reports whether the node is ready.
  std::function<void(http::Server&, std::function<bool()> ready)> add_ready_page;
  /// Adds the page that lists the nodes that callers may use.
  std::function<void(http::Server&, const discovery::NodeDirectory&)> add_directory_page;
};

}  // namespace ochrespring::gateway_node
