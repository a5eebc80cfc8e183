#include "peer/frame.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace ochrespring::peer {

TEST_CASE("frames are found whatever way the bytes are split") {
  CHECK(rc::check([](const std::vector<std::string>& payloads, std::size_t piece) {
    std::string stream;
    for (const std::string& payload : payloads) {
      stream += encode_frame(Frame{Channel::kLedger, payload});
    }
    const std::size_t step = piece % 17 + 1;
    std::string received;
    std::vector<std::string> found;
    for (std::size_t at = 0; at < stream.size(); at += step) {
      received += stream.substr(at, step);
      FrameView frame = find_frame(received);
      while (frame.state == FrameState::kReady) {
        found.push_back(wire::decode<Frame>(frame.body).value().payload);
        received.erase(0, frame.consumed);
        frame = find_frame(received);
      }
      RC_ASSERT(frame.state == FrameState::kIncomplete);
    }
    RC_ASSERT(found == payloads);
  }));
}

TEST_CASE("a length beyond the limit is told from one that is incomplete") {
  CHECK(find_frame(std::string(kLengthBytes, '\xff')).state == FrameState::kTooLarge);
  CHECK(find_frame(std::string(kLengthBytes - 1, '\xff')).state == FrameState::kIncomplete);
}

TEST_CASE("channels a newer node may know are refused") {
  CHECK(is_known(Channel::kDigest));
  CHECK_FALSE(is_known(static_cast<Channel>(kChannelCount)));
}

}  // namespace ochrespring::peer
