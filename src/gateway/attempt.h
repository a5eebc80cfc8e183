// One attempt of a request at one back end.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/attempt_observer.h"
#include "gateway/backend_request.h"
#include "gateway/backend_statement.h"
#include "gateway/event_splitter.h"
#include "gateway/held_answers.h"
#include "gateway/request_retries.h"
#include "gateway/software_id.h"
#include "gateway/stream_backup.h"
#include "gateway/stream_observation.h"
#include "gateway/types.h"
#include "http/client.h"
#include "http/message.h"

namespace ochrespring::gateway {

/// What an attempt asks of a back end.
enum class SendKind : std::uint8_t {
  kRun,
  kPrefill,  ///< Prefill and return a cache handle.
  kResume,   ///< Resume another engine's run, of which this one holds a copy.
};

/// State of one attempt, owned by its session. `backend` is empty once the attempt has ended.
struct Attempt {
  BackendId backend;
  SoftwareVersion version;  ///< Of the back end, when the attempt started.
  SoftwareId software;      ///< As `version`.
  MonotonicTime started{};
  std::uint64_t prefill_tokens = 0;         ///< Prompt tokens to prefill, without cached ones.
  std::uint64_t tokens_ahead = 0;           ///< Of other prompts, when it started.
  std::optional<Endpoint> cache_source;     ///< Engine to fetch shared prompt parts from.
  std::optional<Endpoint> cache_backup;     ///< Engine to replicate the run to.
  std::optional<RunReference> resumed_run;  ///< Run of another engine that this attempt resumes.
  /// The prefill no longer counts in the load table: the first event has arrived or the attempt has
  /// ended.
  bool prefill_ended = false;
  bool stalled = false;  ///< Its back end has sent nothing for the progress timeout.
  bool counted = false;  ///< Counts towards the route's attempts.
  std::unique_ptr<AttemptObserver> observer;
  std::unique_ptr<http::Exchange> exchange;
  std::optional<PendingSend> pending;  ///< None once the back end has answered or disconnected.
  std::optional<http::ResponseHead> head;
  MonotonicTime last_heard{};         ///< Last bytes of the answer; before the head, as `started`.
  bool ends_with_connection = false;  ///< Only the close of the connection ends the answer.
  BackendStatement statement;         ///< Read from the head; empty before the head has arrived.
  std::string body;                 ///< Body of an answer that is sent to the caller when complete.
  std::unique_ptr<HeldBytes> held;  ///< For `body` and an incomplete event.
  std::size_t empty_event_bytes = 0;  ///< Of events that tell the caller nothing new.
  bool forwards_body = false;  ///< The body is too large to be held and is forwarded as it arrives.
  EventSplitter events;
  std::unique_ptr<StreamObservation> observation;  ///< Set once the first event has arrived.
  bool forwards_events = false;                    ///< Events are forwarded as they arrive.
  bool is_prefill_call = false;  ///< Asks for a prefill only, so it cannot run the request.
  bool uses_cache = false;       ///< Uses the cache handle of a prefill engine.
  ReplicatedRun replicated;      ///< Set while the session acts on another attempt.
};

/// Why the answer of an attempt that forwards events is incomplete although its body has ended;
/// empty if it is complete. Without a length or chunks, a back end that fails may end the body
/// anywhere.
inline std::string_view describe_missing_part(const Attempt& attempt) {
  if (!attempt.events.rest().empty()) {
    return "stream ended inside an event";
  }
  const bool without_event = !attempt.prefill_ended;
  return without_event && attempt.ends_with_connection ? "connection closed without an event" : "";
}

/// Whether an attempt with this verdict certainly did not prefill the prompt.
inline bool is_certainly_not_prefilled(AttemptOutcome verdict) {
  return verdict == AttemptOutcome::kRefused || verdict == AttemptOutcome::kNotSent ||
         verdict == AttemptOutcome::kUnreachable;
}

/// Verdict on a prefill call that returned no cache handle. An engine that refuses a request is not
/// treated as failed.
inline AttemptOutcome failed_prefill_verdict(const BackendStatement& statement) {
  if (statement.misdirected) {
    return AttemptOutcome::kReplaced;
  }
  return statement.not_run ? AttemptOutcome::kRefused : AttemptOutcome::kFailed;
}

}  // namespace ochrespring::gateway
