// One attempt of a request at one back end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/backend_statement.h"
#include "gateway/event_splitter.h"
#include "gateway/stream_observation.h"
#include "gateway/types.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// Owned by its session; without a back end once it has been accounted for.
struct Attempt {
  BackendId backend;
  MonotonicTime started{};
  std::uint64_t unread_tokens = 0;
  std::optional<Endpoint> cache_source;  ///< Engine that shared parts are fetched from.
  std::uint64_t tokens_ahead = 0;        ///< Of other prompts at the back end, when it was started.
  bool prompt_read = false;
  std::unique_ptr<http::Exchange> exchange;
  std::optional<http::ResponseHead> head;
  BackendStatement statement;  ///< What the head says; nothing before it is there.
  std::string body;            ///< Of an answer that is held back until it is whole.
  EventSplitter events;
  std::optional<StreamObservation> observed;  ///< From the head of a stream on.
  bool streams = false;                       ///< Events are passed on as they come.
  bool prefill = false;                       ///< Only reads the prompt; cannot run the request.
  bool uses_cache = false;                    ///< Takes the cache handle.
};

}  // namespace ochrespring::gateway
