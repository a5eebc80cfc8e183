// Messages between nodes. Delivery is best effort: messages may be lost, repeated, delayed and
// reordered; every subsystem must hold its promises all the same.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace ochrespring::peer {

/// Subsystem a message is for.
enum class Channel : std::uint8_t {
  kMembership,
  kConfig,
  kAuthority,
  kLedger,
  kGrant,
  kDigest,
};

/// Number of channels, for tables indexed by channel.
inline constexpr std::size_t kChannelCount = 6;

/// Name of a channel in metrics and logs.
constexpr std::string_view channel_name(Channel channel) {
  constexpr std::array<std::string_view, kChannelCount> kNames{"membership", "config", "authority",
                                                               "ledger",     "grant",  "digest"};
  return kNames.at(static_cast<std::size_t>(channel));
}

/// Sends messages to other nodes; used on the control loop only.
class Transport {
 public:
  virtual ~Transport() = default;
  /// Queues a message; never blocks, drops when the peer's queue is full.
  virtual void send(const Endpoint& to, Channel channel, std::string payload) = 0;
};

/// A subsystem's inbox. The sender's endpoint is where answers go.
class Receiver {
 public:
  virtual ~Receiver() = default;
  /// Called on the control loop. Malformed payloads are counted and dropped.
  virtual void on_message(const Endpoint& from, std::string_view payload) = 0;
};

}  // namespace ochrespring::peer
