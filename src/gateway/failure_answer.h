// The gateway's own answers to requests that end without a back end's.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Why a request ends without a back end's answer.
enum class FailureReason : std::uint8_t {
  kNoConfiguration,  ///< This node knows none yet.
  kNoRoute,          ///< The newest configuration surely has none.
  kUnknownKey,       ///< The newest configuration surely knows no such key.
  kNoBackend,        ///< No back end may take it.
  kUnreachable,      ///< No connection to any.
  kRefused,          ///< Back ends said that they did not run it.
  kBroken,           ///< An attempt broke off; it may have run.
  kTimeout,
  kQuarantined,  ///< Back ends have ended under it.
  kRateLimited,  ///< All back ends that could take it have named gate, and have had as much.
  kBackingOff,   ///< All back ends that could take it have asked this node for a pause.
  kStopping,     ///< This node ends before the request may.
  kOverloaded,   ///< All back ends are full, and none is expected to have room in time.
};

/// Name of a reason in logs and answers.
std::string_view describe(FailureReason reason);

/// A whole answer. Its status tells what is known: 404 no route; 401 no key
/// that is known; 503, with when to come back,
/// surely not run and never will; 502 or 504 may have run.
struct FailureAnswer {
  std::uint16_t status = 0;
  std::vector<http::Header> headers;
  std::string body;
};

/// `retry_after` counts for answers that promise not to have run; `id` is the header that names the
/// request, without a value if the caller gave none.
FailureAnswer make_failure_answer(FailureReason reason, bool may_have_run, Duration retry_after,
                                  const http::Header& id);

}  // namespace ochrespring::gateway
