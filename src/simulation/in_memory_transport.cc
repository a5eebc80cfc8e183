#include "simulation/in_memory_transport.h"

#include <utility>

namespace ochrespring::simulation {

namespace {

std::size_t index_of(peer::Channel channel) {
  return static_cast<std::size_t>(channel);
}

}  // namespace

std::unique_ptr<InMemoryTransport> InMemoryNetwork::attach(const Endpoint& endpoint) {
  auto transport = std::make_unique<InMemoryTransport>(*this, endpoint);
  transports_[endpoint] = transport.get();
  return transport;
}

void InMemoryNetwork::send(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                           const std::string& payload) {
  const std::optional<LinkQuality> quality = policy_ ? policy_(from, to) : LinkQuality{};
  if (!quality || random_.chance(quality->loss)) {
    ++messages_lost_;
    return;
  }
  auto shared = std::make_shared<const std::string>(payload);
  if (random_.chance(quality->duplication)) {
    deliver_later(from, to, channel, shared, *quality);
  }
  deliver_later(from, to, channel, std::move(shared), *quality);
}

void InMemoryNetwork::deliver_later(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                                    std::shared_ptr<const std::string> payload,
                                    const LinkQuality& quality) {
  const Duration spread = quality.longest_delay - quality.shortest_delay;
  const auto steps = static_cast<std::uint64_t>(spread.count()) + 1;
  const Duration delay = quality.shortest_delay + Duration(random_.below(steps));
  time_.schedule_after(delay, [this, from, to, channel, payload = std::move(payload)] {
    const auto found = transports_.find(to);
    if (found != transports_.end()) {
      found->second->deliver(from, channel, *payload);
    }
  });
}

void InMemoryNetwork::detach(const Endpoint& endpoint, const InMemoryTransport* transport) {
  const auto found = transports_.find(endpoint);
  if (found != transports_.end() && found->second == transport) {
    transports_.erase(found);
  }
}

void InMemoryTransport::send(const Endpoint& to, peer::Channel channel, std::string payload) {
  const std::uint64_t bytes = payload.size() + kMessageOverheadBytes;
  ++traffic_.messages_sent;
  traffic_.bytes_sent += bytes;
  traffic_.bytes_received += kAcknowledgementBytes;
  channel_bytes_[index_of(channel)] += bytes;
  network_.send(endpoint_, to, channel, payload);
}

void InMemoryTransport::subscribe(peer::Channel channel, peer::Receiver& receiver) {
  receivers_[index_of(channel)] = &receiver;
}

std::uint64_t InMemoryTransport::bytes_sent_on(peer::Channel channel) const {
  return channel_bytes_[index_of(channel)];
}

void InMemoryTransport::deliver(const Endpoint& from, peer::Channel channel,
                                std::string_view payload) {
  ++traffic_.messages_received;
  traffic_.bytes_received += payload.size() + kMessageOverheadBytes;
  traffic_.bytes_sent += kAcknowledgementBytes;
  peer::Receiver* receiver = receivers_[index_of(channel)];
  if (receiver == nullptr) {
    return;
  }
  if (!runner_) {
    receiver->on_message(from, payload);
    return;
  }
  runner_([&] { receiver->on_message(from, payload); });
}

}  // namespace ochrespring::simulation
