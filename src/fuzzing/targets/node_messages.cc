// What one gateway node takes from another, and what it reads of its own kind in the store: no
// input may crash, and what decodes must encode to something that decodes to the same. The first
// byte picks the type.
#include <array>
#include <string>
#include <vector>

#include "discovery/node_record.h"
#include "discovery/view_transfer.h"
#include "duties/types.h"
#include "fuzzing/fuzz_target.h"
#include "gateway_node/peer_message.h"
#include "wire/codec.h"
#include "wire/compression.h"

namespace {

using namespace ochrespring;

template <class T>
void check(std::string_view bytes) {
  const auto decoded = wire::decode<T>(bytes);
  if (!decoded) {
    return;
  }
  const std::string encoded = wire::encode(decoded.value());
  const auto again = wire::decode<T>(encoded);
  fuzzing::require(again.has_value());
  fuzzing::require(wire::encode(again.value()) == encoded);
}

void check_compressed_view(std::string_view bytes) {
  if (const auto view = wire::decompress(bytes)) {
    check<discovery::ViewTransfer>(view.value());
  }
}

using Check = void (*)(std::string_view);
constexpr std::array<Check, 8> kChecks{
    check<gateway_node::PeerMessage>, check<discovery::ViewTransfer>, check_compressed_view,
    check<std::vector<Endpoint>>,     check<discovery::NodeRecord>,   check<duties::HolderRecord>,
    check<duties::HolderHistory>,     check<quarantine::CrashReport>};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  kChecks[data[0] % kChecks.size()](fuzzing::text_of(data + 1, size - 1));
  return 0;
}
