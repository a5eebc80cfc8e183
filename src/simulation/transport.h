// Peer messages over the simulated network.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "peer/transport.h"
#include "simulation/network.h"
#include "simulation/process_runtime.h"

namespace ochrespring::simulation {

/// Knows which process listens on which endpoint. A message reaches the process that is there when
/// it arrives.
class PeerSwitch {
 public:
  explicit PeerSwitch(Network& network) : network_(network) {}

  /// Connects a channel of a process's endpoint to its receiver.
  void attach(const Endpoint& endpoint, peer::Channel channel,
              const std::shared_ptr<ProcessRuntime>& process, peer::Receiver& receiver);
  /// Disconnects all channels of an endpoint.
  void detach(const Endpoint& endpoint);
  void send(const Endpoint& from, const Endpoint& to, peer::Channel channel, std::string payload);
  /// Planted bug: messages of this channel are lost on the way.
  void drop_channel(peer::Channel channel) { dropped_channel_ = channel; }
  /// Messages handed to receivers so far.
  std::uint64_t delivered() const { return delivered_; }

 private:
  struct Port {
    std::weak_ptr<ProcessRuntime> process;
    peer::Receiver* receiver = nullptr;
  };

  void deliver(const Endpoint& from, const Endpoint& to, peer::Channel channel,
               const std::string& payload);

  Network& network_;
  std::map<std::pair<Endpoint, peer::Channel>, Port> ports_;
  std::optional<peer::Channel> dropped_channel_;
  std::uint64_t delivered_ = 0;
};

/// Transport of one process.
class SimulatedTransport final : public peer::Transport {
 public:
  SimulatedTransport(PeerSwitch& peers, Endpoint self) : peers_(peers), self_(std::move(self)) {}
  void send(const Endpoint& to, peer::Channel channel, std::string payload) override {
    peers_.send(self_, to, channel, std::move(payload));
  }

 private:
  PeerSwitch& peers_;
  Endpoint self_;
};

}  // namespace ochrespring::simulation
