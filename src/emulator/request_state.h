// A request on its way through the emulated fleet.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "engine_model/gap_histogram.h"
#include "router/router.h"
#include "workload/trace.h"

namespace ochrespring::emulator {

/// Position of a request in the run's trace.
using RequestIndex = std::uint32_t;
inline constexpr std::uint32_t kNoEngine = ~std::uint32_t{0};

enum class RequestOutcome : std::uint8_t {
  kOpen,      ///< Not decided yet.
  kAnswered,  ///< The whole answer reached the caller.
  kNotRun,    ///< Refused, truthfully.
  kUnknown,   ///< May have run; a request that may not be repeated ends here.
  kCut,       ///< Part of the answer reached the caller, and the rest never will.
};

/// One caller's request and what it has seen so far.
struct RequestState {
  const workload::TraceRequest* trace = nullptr;
  router::RouteRequest route;
  std::uint32_t proxy = 0;
  std::uint32_t attempt = 0;  ///< Replies of earlier attempts are discarded.
  std::uint32_t engine = kNoEngine;
  std::uint32_t prefill_engine = kNoEngine;
  MonotonicTime dispatched;
  MonotonicTime cache_ready;  ///< When the KV cache reaches the decode engine.
  std::uint32_t tokens_done = 0;
  std::uint32_t refusals = 0;
  std::uint32_t runs = 0;                    ///< Times an ordinary back end carried it out.
  std::optional<MonotonicTime> first_token;  ///< At the caller.
  MonotonicTime last_token;                  ///< At the caller, when an attempt broke off.
  engine_model::GapHistogram gaps;
  RequestOutcome outcome = RequestOutcome::kOpen;
  MonotonicTime ended;
};

/// What engines and back ends tell a proxy.
enum class ReplyKind : std::uint8_t { kFirstToken, kFinished, kBroken, kRefused, kUncertain };

/// Packs an attempt and a reply into an event's detail.
constexpr std::uint32_t pack_reply(std::uint32_t attempt, ReplyKind kind) {
  return attempt << 4U | static_cast<std::uint32_t>(kind);
}
constexpr std::uint32_t attempt_of(std::uint32_t detail) {
  return detail >> 4U;
}
constexpr ReplyKind reply_of(std::uint32_t detail) {
  return static_cast<ReplyKind>(detail & 0xFU);
}

}  // namespace ochrespring::emulator
