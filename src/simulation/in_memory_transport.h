// Node-to-node transport inside one process under virtual time: real encoded bytes, seeded delay,
// loss, duplication and cut links. For tests and hollow nodes.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "peer/transport.h"
#include "simulation/virtual_time.h"

namespace ochrespring::simulation {

/// How a link treats one message.
struct LinkQuality {
  Duration shortest_delay{std::chrono::microseconds(200)};
  Duration longest_delay{std::chrono::microseconds(600)};
  double loss = 0;         ///< Probability that a message vanishes.
  double duplication = 0;  ///< Probability that a message arrives twice.
};

/// What the real transport adds to each message: IP and TCP headers with time stamps (52) and the
/// frame's length and channel (6). Counted as traffic.
inline constexpr std::uint64_t kMessageOverheadBytes = 58;
/// The segment that acknowledges a message, which the receiver sends back. Counted for every
/// message, though TCP often acknowledges several at once.
inline constexpr std::uint64_t kAcknowledgementBytes = 52;

/// What one node sent and received, headers included.
struct Traffic {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

class InMemoryTransport;

/// The network all in-memory transports of one run share. Single-threaded.
class InMemoryNetwork {
 public:
  /// Quality of the link between two endpoints, or none if it is cut.
  using LinkPolicy =
      std::function<std::optional<LinkQuality>(const Endpoint& from, const Endpoint& to)>;

  InMemoryNetwork(VirtualTime& time, RandomSource& random) : time_(time), random_(random) {}

  /// Replaces the rule for links; the default is LinkQuality{} everywhere.
  void set_link_policy(LinkPolicy policy) { policy_ = std::move(policy); }
  /// Attaches a node. An endpoint that was attached before now leads to the new transport.
  std::unique_ptr<InMemoryTransport> attach(const Endpoint& endpoint);
  /// Messages lost to the link policy's loss or to cut links.
  std::uint64_t messages_lost() const { return messages_lost_; }

 private:
  friend class InMemoryTransport;
  void send(const Endpoint& from, const Endpoint& to, peer::Channel channel,
            const std::string& payload);
  void deliver_later(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                     std::shared_ptr<const std::string> payload, const LinkQuality& quality);
  void detach(const Endpoint& endpoint, const InMemoryTransport* transport);

  VirtualTime& time_;
  RandomSource& random_;
  LinkPolicy policy_;
  std::unordered_map<Endpoint, InMemoryTransport*> transports_;
  std::uint64_t messages_lost_ = 0;
};

/// One node's end of the network; detaches itself on destruction, which stands for a killed
/// process.
class InMemoryTransport final : public peer::Transport {
 public:
  /// Runs a delivery in the node's context, for example to measure its processor time.
  using Runner = std::function<void(const std::function<void()>& deliver)>;

  InMemoryTransport(InMemoryNetwork& network, Endpoint endpoint)
      : network_(network), endpoint_(std::move(endpoint)) {}
  ~InMemoryTransport() override { network_.detach(endpoint_, this); }
  InMemoryTransport(const InMemoryTransport&) = delete;
  InMemoryTransport& operator=(const InMemoryTransport&) = delete;

  void send(const Endpoint& to, peer::Channel channel, std::string payload) override;
  /// The receiver must outlive the transport or be replaced.
  void subscribe(peer::Channel channel, peer::Receiver& receiver);
  /// Replaces the direct call of receivers.
  void set_runner(Runner runner) { runner_ = std::move(runner); }

  const Endpoint& endpoint() const { return endpoint_; }
  const Traffic& traffic() const { return traffic_; }
  /// Bytes sent on one channel, headers included.
  std::uint64_t bytes_sent_on(peer::Channel channel) const;

 private:
  friend class InMemoryNetwork;
  void deliver(const Endpoint& from, peer::Channel channel, std::string_view payload);

  static constexpr std::size_t kChannels = 16;

  InMemoryNetwork& network_;
  Endpoint endpoint_;
  Runner runner_;
  Traffic traffic_;
  std::array<peer::Receiver*, kChannels> receivers_{};
  std::array<std::uint64_t, kChannels> channel_bytes_{};
};

}  // namespace ochrespring::simulation
