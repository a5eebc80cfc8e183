// Reads callers' requests: OpenAI-style completions and ordinary services' paths. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "proxy/errc.h"
#include "proxy/request.h"
#include "router/fleet_view.h"

namespace ochrespring::proxy {

inline constexpr std::string_view kCompletionsPath = "/v1/completions";
inline constexpr std::string_view kChatCompletionsPath = "/v1/chat/completions";
inline constexpr std::string_view kModelsPath = "/v1/models";
inline constexpr std::string_view kServicesPrefix = "/services/";

/// Output tokens assumed when a request names no limit.
inline constexpr std::uint32_t kDefaultOutputTokens = 256;

/// What a request is read against.
struct ParseContext {
  const router::FleetView& view;
  ZoneName zone;              ///< Of this proxy.
  std::string unique_suffix;  ///< Makes the id sent to back ends unique.
  MonotonicTime now;
};

/// Reads and checks a request. Errors: malformed body, body too large, unknown path, service or
/// model; all of them mean "not run".
Result<ParsedRequest, ProxyError> parse_request(CallerRequest request, const ParseContext& context);

/// The caller's request id, or empty if it gave none that can be used.
std::string_view read_caller_id(const CallerRequest& request);

/// Answer to GET /v1/models.
std::string render_models(const router::FleetView& view);

}  // namespace ochrespring::proxy
