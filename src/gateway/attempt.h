// One attempt of a request at one back end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "gateway/backend_request.h"
#include "gateway/backend_statement.h"
#include "gateway/event_splitter.h"
#include "gateway/stream_observation.h"
#include "gateway/types.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// What is asked of a server.
enum class SendKind : std::uint8_t {
  kRun,
  kPrefill,       ///< Read the prompt only.
  kContinuation,  ///< Go on with a run of another server, whose copy this one holds.
};

/// Owned by its session; without a back end once it has been accounted for.
struct Attempt {
  BackendId backend;
  MonotonicTime started{};
  std::uint64_t unread_tokens = 0;
  std::uint64_t tokens_ahead = 0;        ///< Of other prompts at the back end, when it was started.
  std::optional<Endpoint> cache_source;  ///< Engine that shared parts are fetched from.
  std::optional<Endpoint> cache_backup;  ///< Engine that the run is replicated to.
  std::optional<RunReference> continues;  ///< The run of another server that this one goes on with.
  bool prompt_read = false;
  std::unique_ptr<http::Exchange> exchange;
  std::optional<http::ResponseHead> head;
  BackendStatement statement;  ///< What the head says; nothing before it is there.
  std::string body;            ///< Of an answer that is held back until it is whole.
  EventSplitter events;
  std::unique_ptr<StreamObservation> observed;  ///< From the head of a stream on.
  bool streams = false;                         ///< Events are passed on as they come.
  bool prefill = false;                         ///< Only reads the prompt; cannot run the request.
  bool uses_cache = false;                      ///< Takes the cache handle.
};

/// Whether the back end has not read the prompt, whatever else became of the attempt.
inline bool is_certainly_unread(AttemptOutcome verdict) {
  return verdict == AttemptOutcome::kRefused || verdict == AttemptOutcome::kNotSent ||
         verdict == AttemptOutcome::kUnreachable;
}

/// Of a prefill call that gave no handle: an engine that turns a request away is not ill.
inline AttemptOutcome verdict_of_failed_prefill(const BackendStatement& statement) {
  if (statement.misdirected) {
    return AttemptOutcome::kReplaced;
  }
  return statement.not_run ? AttemptOutcome::kRefused : AttemptOutcome::kFailed;
}

}  // namespace ochrespring::gateway
