// A caller's request as the proxy works on it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "fleet/types.h"
#include "http/message.h"
#include "router/router.h"

namespace ochrespring::proxy {

/// As it came in.
using CallerRequest = http::Request;

/// How an answer is relayed.
enum class AnswerKind : std::uint8_t {
  kTokenStream,  ///< Server-sent events with token offsets; resumable on another engine.
  kWhole,        ///< Held back until its end is proven, if it is not too large.
};

/// Understood and checked against the fleet configuration.
struct ParsedRequest {
  RequestId caller_id;         ///< The caller's own, or the same as `route.id`.
  router::RouteRequest route;  ///< `route.id` is unique and goes to the back ends.
  AnswerKind kind = AnswerKind::kWhole;
  bool repeatable = true;
  std::string idempotency_key;
  std::string method;
  std::string path;                   ///< At the back end, with the query.
  std::vector<http::Header> headers;  ///< Passed on to the back end.
  std::string body;
  fleet::ServiceLimits limits;
};

/// The caller's part of a request id sent to back ends.
RequestId caller_request_id(const RequestId& backend_id);

}  // namespace ochrespring::proxy
