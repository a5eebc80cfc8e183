#include "peer/frame.h"

namespace ochrespring::peer {

FrameView find_frame(std::string_view bytes) {
  if (bytes.size() < kLengthBytes) {
    return {};
  }
  std::size_t length = 0;
  for (std::size_t index = 0; index < kLengthBytes; ++index) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[index]);
  }
  if (length > kLargestFrameBytes) {
    return {FrameState::kTooLarge, {}, 0};
  }
  if (bytes.size() - kLengthBytes < length) {
    return {};
  }
  return {FrameState::kReady, bytes.substr(kLengthBytes, length), kLengthBytes + length};
}

bool is_known(Channel channel) {
  return static_cast<std::size_t>(channel) < kChannelCount;
}

}  // namespace ochrespring::peer
