// The platform interfaces that a gateway node uses.
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
struct PlatformInterfaces {
  const gateway::HeaderNames& names;
  const gateway::EngineCalls& engines;
  const discovery::FleetCodec& codec;
  shared_store::SharedStore& store;
  usage::UsageSink* usage_sink = nullptr;                    ///< Null: no usage is reported.
  fleet_control::ServerProvider* server_provider = nullptr;  ///< Null: no servers are ordered.
  /// Adds the page that reports whether the node is ready.
  std::function<void(http::Server&, std::function<bool()> ready)> add_ready_page;
  /// Adds the page that lists the nodes that callers may use.
  std::function<void(http::Server&, const discovery::NodeDirectory&)> add_directory_page;
};

}  // namespace ochrespring::gateway_node
