// The parts with which a node reaches back ends, directly or through other nodes, and helps other
// nodes to reach them.
#pragma once

#include <cstddef>
#include <functional>

#include "base/random.h"
#include "base/time.h"
#include "discovery/node_directory.h"
#include "gateway/fleet_state.h"
#include "gateway/load_table.h"
#include "http/client.h"
#include "http/connection_relay.h"
#include "http/event_loop.h"
#include "links/link_monitor.h"
#include "links/relay_chooser.h"
#include "links/relaying_transport.h"
#include "logging/logger.h"
#include "metrics/metrics.h"

namespace ochrespring::gateway_node {

/// Connects the link monitor, the transport and the relay of one node to each other. Not
/// thread-safe; used on one event loop.
class NodeLinks {
 public:
  /// The referenced objects must outlive the NodeLinks.
  struct Dependencies {
    http::EventLoop& loop;
    http::Client& client;
    const Clock& clock;
    RandomSource& random;
    logging::Logger& logger;
    const gateway::FleetState& fleet;
    gateway::LoadTable& loads;
    const discovery::NodeDirectory& nodes;
  };

  /// `listen` is the address at which other nodes ask this one to relay. `on_relay_idle` is called
  /// when the last relayed connection has ended.
  NodeLinks(Dependencies deps, const Endpoint& listen, std::function<void()> on_relay_idle);

  Result<void, http::HttpError> listen() { return relay_.listen(); }
  gateway::BackendTransport& transport() { return transport_; }
  /// Fetches a complete response, see RelayingTransport::fetch().
  void fetch(http::ClientRequest request,
             std::function<void(Result<http::Response, http::FetchFailure>)> done) {
    transport_.fetch(std::move(request), std::move(done));
  }
  /// Tells whether a back end accepts connections, see RelayingTransport::probe().
  void probe(const Endpoint& backend, std::function<void(http::ProbeResult)> done) {
    transport_.probe(backend, std::move(done));
  }
  /// A back end is no longer registered.
  void forget(const gateway::Backend& backend);
  /// Called when the node stops: it relays no further connections.
  void leave() { relay_.stop_accepting(); }
  std::size_t relayed_connections() const { return relay_.open_connections(); }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  bool admits(const Endpoint& node, const Endpoint& backend) const;
  const gateway::Backend* find_backend(const Endpoint& address) const;

  Dependencies deps_;
  links::ClientConnections connections_;
  links::LinkMonitor monitor_;
  links::RelayChooser relays_;
  links::RelayingTransport transport_;
  http::ConnectionRelay relay_;
};

}  // namespace ochrespring::gateway_node
