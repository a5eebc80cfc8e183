// A completion call as an engine stand-in reads it: OpenAI-style body, headers of the contract with
// the proxies.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "http/message.h"

namespace ochrespring::standin {

enum class CompletionErrc { kNotJson, kMissingPrompt, kInvalidField };
using CompletionError = LayerError<CompletionErrc>;

/// Where the KV cache of a request is to be taken from.
struct KvSource {
  Endpoint endpoint;
  std::string handle;
};

struct CompletionRequest {
  std::string request_id;
  std::string model;
  std::string prompt;  ///< For a chat, the text that stands for all its messages.
  bool chat = false;
  bool stream = false;
  bool prefill_only = false;          ///< x-prefill-only: 1
  std::uint32_t output_tokens = 256;  ///< max_tokens or max_completion_tokens
  std::uint32_t resume_offset = 0;    ///< x-resume-offset: tokens already delivered.
  std::uint8_t priority = 1;          ///< x-priority
  std::optional<Duration> deadline;   ///< x-deadline-ms: time left.
  std::optional<KvSource> kv_source;
};

/// Reads and checks a call.
Result<CompletionRequest, CompletionError> read_completion(const http::Request& request);

}  // namespace ochrespring::standin
