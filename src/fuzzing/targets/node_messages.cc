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
#include "fuzzing/round_trip.h"
#include "gateway_node/peer_message.h"
#include "wire/compression.h"

namespace {

using namespace ochrespring;
using fuzzing::require_round_trip;

void check_compressed_view(std::string_view bytes) {
  if (const auto view = wire::decompress(bytes)) {
    require_round_trip<discovery::ViewTransfer>(view.value());
  }
}

using Check = void (*)(std::string_view);
constexpr std::array<Check, 8> kChecks{require_round_trip<gateway_node::PeerMessage>,
                                       require_round_trip<discovery::ViewTransfer>,
                                       check_compressed_view,
                                       require_round_trip<std::vector<Endpoint>>,
                                       require_round_trip<discovery::NodeRecord>,
                                       require_round_trip<duties::HolderRecord>,
                                       require_round_trip<duties::HolderHistory>,
                                       require_round_trip<quarantine::CrashReport>};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  kChecks[data[0] % kChecks.size()](fuzzing::text_of(data + 1, size - 1));
  return 0;
}
