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
#include "gateway/backend_statement.h"
#include "gateway/rate_limit_header.h"
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

/// A header that a server sends: what is read of it is a rate, or nothing.
void check_rate_limit(std::string_view bytes) {
  const std::string value(bytes);
  const auto rate = gateway::parse_rate(value);
  const auto statement = gateway::parse_rate_limit({{"limit", value}}, "limit");
  fuzzing::require(rate.has_value() == (statement.kind == gateway::RateStatement::Kind::kLimited));
  fuzzing::require(!rate || rate->per_second() < 1e9);
}

/// Headers of a refusal: what is read of them is a time, or that there is none.
void check_backoff(std::string_view bytes) {
  const gateway::HeaderNames names;
  const std::string value(bytes);
  const auto span = gateway::parse_seconds(value);
  const auto statement = gateway::parse_statement(
      {503, {{names.not_run, "1"}, {names.retry_after, value}, {names.leaving, value}}}, names);
  using Kind = gateway::BackoffStatement::Kind;
  fuzzing::require(span.has_value() == (statement.backoff.kind == Kind::kRequested));
  fuzzing::require(!span || *span >= Duration::zero());
  fuzzing::require(statement.leaving == (value == "1"));
}

using Check = void (*)(std::string_view);
constexpr std::array<Check, 10> kChecks{require_round_trip<gateway_node::PeerMessage>,
                                        require_round_trip<discovery::ViewTransfer>,
                                        check_compressed_view,
                                        require_round_trip<std::vector<Endpoint>>,
                                        require_round_trip<discovery::NodeRecord>,
                                        require_round_trip<duties::HolderRecord>,
                                        require_round_trip<duties::HolderHistory>,
                                        require_round_trip<quarantine::CrashReport>,
                                        check_rate_limit,
                                        check_backoff};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  kChecks[data[0] % kChecks.size()](fuzzing::text_of(data + 1, size - 1));
  return 0;
}
