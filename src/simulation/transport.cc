#include "simulation/transport.h"

namespace ochrespring::simulation {

void PeerSwitch::attach(const Endpoint& endpoint, peer::Channel channel,
                        const std::shared_ptr<ProcessRuntime>& process, peer::Receiver& receiver) {
  ports_[{endpoint, channel}] = Port{process, &receiver};
}

void PeerSwitch::detach(const Endpoint& endpoint) {
  std::erase_if(ports_, [&](const auto& entry) { return entry.first.first == endpoint; });
}

void PeerSwitch::send(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                      std::string payload) {
  if (channel == dropped_channel_) {
    return;
  }
  network_.send_datagram(
      from.value(), to.value(),
      [this, from, to, channel, bytes = std::make_shared<const std::string>(std::move(payload))] {
        deliver(from, to, channel, *bytes);
      });
}

void PeerSwitch::deliver(const Endpoint& from, const Endpoint& to, peer::Channel channel,
                         const std::string& payload) {
  const auto found = ports_.find({to, channel});
  if (found == ports_.end()) {
    return;
  }
  const auto process = found->second.process.lock();
  if (!process || !process->alive()) {
    return;
  }
  ++delivered_;
  process->post(
      [receiver = found->second.receiver, from, payload] { receiver->on_message(from, payload); });
}

}  // namespace ochrespring::simulation
