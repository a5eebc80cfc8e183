// The engines' and relays' HTTP protocol as the simulation speaks it: what a request asks for and
// what the events of an answer look like.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/backend.h"

namespace ochrespring::simulation {

/// A completion request as an engine reads it.
struct CompletionRequest {
  std::string prompt;
  std::uint32_t answer_tokens = 0;
  std::uint32_t resume_offset = 0;  ///< Tokens the caller already has.
  bool streaming = true;
};

/// Body of a request for a completion, as callers send it.
std::string completion_body(const std::string& model, const std::string& prompt,
                            std::uint32_t answer_tokens, bool streaming);
/// Reads a request; none if it cannot be understood.
std::optional<CompletionRequest> read_completion(const proxy::BackendRequest& request);

/// One token as a server-sent event.
std::string token_event(const RequestId& request, std::uint64_t offset, std::string_view text);
/// The event that proves the end of a stream.
inline constexpr std::string_view kEndEvent = "data: [DONE]\n\n";
/// A whole answer that is not streamed.
std::string whole_completion(std::string_view text);

/// Text of tokens [begin, end) of the answer to a prompt.
std::string answer_text(std::string_view prompt, std::uint64_t begin, std::uint64_t end);
/// Text an answer carries, streamed or not, without its framing.
std::string text_of_answer(std::string_view body);

/// Head of an answer to `request`, echoing its id.
proxy::BackendResponseHead answer_head(const RequestId& request, std::string_view content_type);
/// Head of a refusal: the request did not run.
proxy::BackendResponseHead not_run_head(const RequestId& request, std::string_view reason);
/// The submission a back end's request belongs to, as its caller named it.
RequestId submission_of(const proxy::BackendRequest& request);

}  // namespace ochrespring::simulation
