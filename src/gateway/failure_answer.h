// The gateway's own answers to requests that end without an answer of a back end.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Why a request ends without an answer of a back end.
enum class FailureReason : std::uint8_t {
  kNoConfiguration,  ///< This node has no configuration yet.
  kNoRoute,          ///< The newest configuration has no such route.
  kUnknownKey,       ///< The newest configuration has no such key.
  kNoBackend,        ///< No back end can take it.
  kUnreachable,      ///< No connection to any back end.
  kRefused,          ///< Back ends stated that they did not run it.
  kBroken,           ///< An attempt failed; the request may have run.
  kTimeout,
  kQuarantined,  ///< Back ends have terminated while running it.
  kRateLimited,  ///< The rate limits of all back ends that could take it are used up.
  kBackingOff,   ///< All back ends that could take it are in a backoff period for this node.
  kStopping,     ///< This node stops before the request may end.
  kOverloaded,   ///< All back ends are full and none is expected to have room in time.
  kResumedAttemptNotNamed,  ///< The caller takes up a stream but does not name its first attempt.
  kResumedAttemptUnknown,   ///< No node knows for certain which software began the stream.
  /// This node cannot tell now which software began the stream: its view may be out of date.
  kViewOutdated,
  kVersionUnavailable,  ///< No back end with the software that began the stream is in service.
};

/// Name of a reason in logs and answers.
std::string_view describe(FailureReason reason);

/// A complete answer. Its status is 404 for an unknown route, 401 for an unknown key, 503 with
/// Retry-After for a request that has not run and will not run, and 502 or 504 for a request that
/// may have run.
struct FailureAnswer {
  std::uint16_t status = 0;
  std::vector<http::Header> headers;
  std::string body;
};

/// `retry_after` is used for answers with status 503. `id` is the request id header, with an empty
/// value if the caller sent none.
FailureAnswer make_failure_answer(FailureReason reason, bool may_have_run, Duration retry_after,
                                  const http::Header& id);

}  // namespace ochrespring::gateway
