#include "gateway_node/node_links.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway_node/node_metrics.h"

namespace ochrespring::gateway_node {

namespace {

/// A link on which a connection takes longer counts as cut.
constexpr Duration kLinkProbeTimeout = std::chrono::milliseconds(150);

links::LinkProbe make_link_probe(http::Client& client) {
  return [&client](const Endpoint& backend, std::function<void(bool)> done) {
    const auto on_result = [done = std::move(done)](http::ProbeResult result) {
      done(result == http::ProbeResult::kAccepted);
    };
    client.probe(backend, kLinkProbeTimeout, on_result, Duration::zero());
  };
}

}  // namespace

NodeLinks::NodeLinks(Dependencies deps, const Endpoint& listen, std::function<void()> on_relay_idle)
    : deps_(deps),
      connections_(deps.client),
      monitor_({deps.clock, deps.loop, deps.random, deps.logger, deps.fleet},
               make_link_probe(deps.client)),
      relays_(deps.nodes, deps.clock, deps.random),
      transport_({deps.clock, deps.loop, deps.random, connections_, monitor_, relays_}),
      relay_(deps.loop, {.listen = listen},
             {.admit = [this](const Endpoint& node,
                              const Endpoint& backend) { return admits(node, backend); },
              .on_result =
                  [this](const Endpoint& backend, bool connected) {
                    if (!connected) {
                      monitor_.note_unreachable(backend);
                    }
                  },
              .on_idle = std::move(on_relay_idle)}) {
  monitor_.on_cut(
      [this](const Endpoint& backend) { deps_.client.close_idle_direct_connections(backend); });
  monitor_.on_absolved([this](const Endpoint& address) {
    if (const gateway::Backend* backend = find_backend(address)) {
      deps_.loads.end_ejection(backend->id);
    }
  });
}

void NodeLinks::forget(const gateway::Backend& backend) {
  deps_.client.close_idle_connections(backend.address);
  monitor_.forget(backend.address);
}

/// Relays only between nodes of the fleet and registered back ends that this node reaches itself.
bool NodeLinks::admits(const Endpoint& node, const Endpoint& backend) const {
  return relays_.is_node(node) && find_backend(backend) != nullptr && !monitor_.is_cut(backend);
}

const gateway::Backend* NodeLinks::find_backend(const Endpoint& address) const {
  const auto& backends = deps_.fleet.backends();
  const auto found = std::find_if(backends.begin(), backends.end(), [&](const auto& entry) {
    return entry.second.address == address;
  });
  return found == backends.end() ? nullptr : &found->second;
}

void NodeLinks::add_metrics(metrics::SampleSink& sink) const {
  add_link_metrics(monitor_, transport_.statistics(), relay_.statistics(), sink);
}

}  // namespace ochrespring::gateway_node
