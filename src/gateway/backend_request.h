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
  BackendId engine;
  Endpoint address;
  std::string handle;
};

/// A run at one server, as the engine that holds the copy of its KV cache knows it.
struct RunReference {
  Endpoint runner;
  std::string request_id;
};

/// What one attempt adds to the caller's request.
struct BackendCall {
  const Backend* backend = nullptr;
  Duration left{};                        ///< Of the request's time.
  bool prefill = false;                   ///< Read the prompt only.
  const Tenant* tenant = nullptr;         ///< Whose request it is, if anybody's.
  std::optional<std::uint32_t> priority;  ///< 0 to 9, for engines.
  std::optional<CacheHandle> cache;       ///< Taken by the runner.
  std::optional<Endpoint> cache_source;   ///< Engine to fetch shared parts from.
  std::optional<Endpoint> cache_backup;   ///< Engine to replicate the run to.
  /// The run to go on with, behind `resumes_after`. Sent by the same header as `cache`, which is
  /// then left out.
  std::optional<RunReference> continues;
  std::optional<std::uint64_t> resumes_after;  ///< The last event that the caller has.
  std::size_t most_idle = 1;                   ///< Connections to keep while idle.
};

/// Pure. The method, path, query and body are the caller's; of the headers those that may pass.
http::ClientRequest make_backend_request(const http::Request& request, const HeaderNames& names,
                                         const BackendCall& call);

/// Rank of the route and size of what is to be read, as engines order their work: within a rank
/// short prompts first, since a long one delays many and a short one few.
std::uint32_t engine_priority(std::uint32_t route_priority, std::uint64_t unread_tokens);

}  // namespace ochrespring::gateway
