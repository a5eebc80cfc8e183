// Frames on a connection between two nodes: a four-byte big-endian length, then an encoded message.
// The first frame is a Hello; the others are Frames. Naming the sender once per connection instead
// of once per message keeps control traffic small.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "peer/transport.h"
#include "wire/codec.h"

namespace ochrespring::peer {

/// Version of the framing; a node drops connections of any other.
inline constexpr std::uint32_t kProtocolVersion = 1;
/// Bytes of the length that precedes each frame.
inline constexpr std::size_t kLengthBytes = 4;
/// Largest frame accepted; a longer one ends the connection.
inline constexpr std::size_t kLargestFrameBytes = 4U << 20U;

/// First frame of a connection: who speaks.
struct Hello {
  std::uint32_t protocol = kProtocolVersion;
  std::string cluster;
  Endpoint from;  ///< Where answers go.

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& protocol& cluster& from;
  }
};

/// One message of one subsystem.
struct Frame {
  Channel channel = Channel::kMembership;
  std::string payload;

  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& channel& payload;
  }
};

/// Bytes of one message with its length in front.
template <class T>
std::string encode_frame(const T& message) {
  const std::string body = wire::encode(message);
  std::string bytes(kLengthBytes, '\0');
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    bytes[index] = static_cast<char>(body.size() >> (8U * (kLengthBytes - 1 - index)));
  }
  return bytes + body;
}

enum class FrameState : std::uint8_t {
  kIncomplete,  ///< More bytes are needed.
  kReady,
  kTooLarge,  ///< The connection cannot be followed any more.
};

/// One frame found at the front of received bytes.
struct FrameView {
  FrameState state = FrameState::kIncomplete;
  std::string_view body;
  std::size_t consumed = 0;  ///< Bytes to drop before looking again.
};

/// Looks for one whole frame at the front of `bytes`.
FrameView find_frame(std::string_view bytes);

/// Whether a decoded channel number names a channel.
bool is_known(Channel channel);

}  // namespace ochrespring::peer
