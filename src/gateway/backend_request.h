// Builds the request that is sent to a back end for a caller's request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "gateway/header_names.h"
#include "gateway/types.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// KV cache of a prompt at a prefill engine.
struct CacheHandle {
  BackendId engine;
  Endpoint address;
  std::string handle;
};

/// Identifies a run at one engine to the engine that holds the copy of its KV cache.
struct RunReference {
  Endpoint runner;
  std::string request_id;
};

/// What one attempt adds to the caller's request.
struct BackendCall {
  const Backend* backend = nullptr;
  Duration time_left{};                   ///< Time until the request's deadline.
  bool prefill = false;                   ///< Prefill only.
  const Tenant* tenant = nullptr;         ///< Null for a request without a tenant.
  std::optional<std::uint32_t> priority;  ///< 0 to 9, for engines.
  std::optional<CacheHandle> cache;       ///< Cache that the runner loads.
  std::optional<Endpoint> cache_source;   ///< Engine to fetch shared prompt parts from.
  std::optional<Endpoint> cache_backup;   ///< Engine to replicate the run to.
  /// The run to resume after event `resume_after_event`. Sent in the same header as `cache`, which
  /// is then ignored.
  std::optional<RunReference> resumed_run;
  std::optional<std::uint64_t> resume_after_event;  ///< Id of the last event that the caller has.
  std::size_t max_idle_connections = 1;             ///< Idle connections to keep.
};

/// Pure function. Copies the caller's method, path, query, body and permitted headers.
http::ClientRequest make_backend_request(const http::Request& request, const HeaderNames& names,
                                         const BackendCall& call);

/// Priority for engines, 0 is the most urgent: ordered by `priority`, that of the tenant or route,
/// then by the number of tokens to prefill. Short prompts go first within a priority, since a long
/// one delays many requests and a short one few.
std::uint32_t engine_priority(std::uint32_t priority, std::uint64_t prefill_tokens);

}  // namespace ochrespring::gateway
