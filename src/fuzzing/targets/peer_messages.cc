// Decoding of everything one node accepts from another, and of what it reads from the key-value
// service: no input may crash, and what decodes must encode to something that decodes to the same.
// The first byte picks the type.
#include <array>
#include <string>

#include "authority/messages.h"
#include "config/messages.h"
#include "config/stored_head.h"
#include "digest/messages.h"
#include "fleet/storage_codec.h"
#include "fuzzing/fuzz_target.h"
#include "fuzzing/round_trip.h"
#include "ledger/messages.h"
#include "membership/messages.h"
#include "peer/frame.h"

namespace {

using namespace ochrespring;
using fuzzing::require_round_trip;

void check_document(std::string_view bytes) {
  const auto decoded = fleet::decode_document(bytes);
  if (decoded.has_error()) {
    return;
  }
  const auto again = fleet::decode_document(fleet::encode_document(decoded.value()));
  fuzzing::require(again.has_value() && again.value() == decoded.value());
}

void check_mutation(std::string_view bytes) {
  const auto decoded = fleet::decode_mutation(bytes);
  if (decoded.has_error()) {
    return;
  }
  fuzzing::require(fleet::decode_mutation(fleet::encode_mutation(decoded.value())).has_value());
}

using Check = void (*)(std::string_view);
constexpr std::array<Check, 10> kChecks{
    require_round_trip<membership::Message>,
    require_round_trip<config::Message>,
    require_round_trip<config::StoredHead>,
    require_round_trip<ledger::LedgerMessage>,
    require_round_trip<authority::AuthorityMessage>,
    require_round_trip<digest::Message>,
    require_round_trip<peer::Hello>,
    require_round_trip<peer::Frame>,
    check_document,
    check_mutation,
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view bytes = fuzzing::text_of(data, size);
  kChecks[data[0] % kChecks.size()](bytes.substr(1));
  return 0;
}
