// A caller's request as it goes to a back end.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/header_names.h"
#include "gateway/types.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Prompt cache at a prefill engine.
struct CacheHandle {
  Endpoint address;
  std::string handle;
  ZoneName zone;
};

/// What one attempt adds to the caller's request.
struct BackendCall {
  const Backend* backend = nullptr;
  Duration left{};                             ///< Of the request's time.
  bool prefill = false;                        ///< Read the prompt only.
  std::optional<std::uint32_t> priority;       ///< 0 to 9, for engines.
  std::optional<CacheHandle> cache;            ///< Taken by the runner.
  std::optional<Endpoint> cache_source;        ///< Engine to fetch shared parts from.
  std::optional<std::uint64_t> resumes_after;  ///< The last event that the caller has.
  std::size_t most_idle = 1;                   ///< Connections to keep while idle.
};

/// Pure. The method, path, query and body are the caller's; of the headers those that may pass.
http::ClientRequest make_backend_request(const http::Request& request, const HeaderNames& names,
                                         const BackendCall& call);

/// As engines order their work: first what takes next to no time, whatever its route's rank; then
/// what can still be in time, by rank, the longest prompts first, since they have the least time to
/// wait; last what is late already. `reading_share` is the time to read the prompt, in parts of the
/// objective.
std::uint32_t engine_priority(std::uint32_t route_priority, bool urgent, double reading_share);

}  // namespace ochrespring::gateway
