#include "standin/completion_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "engine/prompt.h"

namespace ochrespring::standin {

using Json = nlohmann::json;

namespace {

constexpr std::uint32_t kMostOutputTokens = 65'536;
constexpr std::uint64_t kHighestPriority = 255;
constexpr std::string_view kChatPath = "/v1/chat/completions";

std::optional<std::uint64_t> header_number(const http::Request& request, std::string_view name) {
  const std::string_view text = http::find_header(request.headers, name);
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

void read_headers(const http::Request& request, CompletionRequest& completion) {
  completion.request_id = http::find_header(request.headers, "x-request-id");
  completion.prefill_only = http::find_header(request.headers, "x-prefill-only") == "1";
  completion.resume_offset =
      static_cast<std::uint32_t>(header_number(request, "x-resume-offset").value_or(0));
  const std::uint64_t priority = header_number(request, "x-priority").value_or(1);
  completion.priority = static_cast<std::uint8_t>(std::min(priority, kHighestPriority));
  if (const auto left = header_number(request, "x-deadline-ms")) {
    completion.deadline = std::chrono::milliseconds(*left);
  }
  const std::string_view source = http::find_header(request.headers, "x-kv-source");
  const std::string_view handle = http::find_header(request.headers, "x-kv-handle");
  if (!source.empty() && !handle.empty()) {
    completion.kv_source = KvSource{Endpoint(std::string(source)), std::string(handle)};
  }
}

std::string chat_prompt(const Json& messages) {
  std::string prompt;
  for (const Json& message : messages) {
    engine::append_chat_message(prompt, message.at("role").get<std::string>(),
                                message.at("content").get<std::string>());
  }
  return prompt;
}

/// A field that callers may also set to null, which means its default.
template <class T>
T optional_field(const Json& body, const char* name, T otherwise) {
  const auto field = body.find(name);
  return field == body.end() || field->is_null() ? otherwise : field->get<T>();
}

std::uint32_t read_output_tokens(const Json& body, std::uint32_t otherwise) {
  const char* newer_name = "max_completion_tokens";
  const auto tokens = optional_field<std::uint64_t>(
      body, "max_tokens", optional_field<std::uint64_t>(body, newer_name, otherwise));
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(tokens, kMostOutputTokens + 1));
}

void read_body(const Json& body, CompletionRequest& completion) {
  completion.model = optional_field(body, "model", std::string());
  completion.stream = optional_field(body, "stream", false);
  completion.output_tokens = read_output_tokens(body, completion.output_tokens);
  completion.prompt =
      completion.chat ? chat_prompt(body.at("messages")) : body.at("prompt").get<std::string>();
}

}  // namespace

Result<CompletionRequest, CompletionError> read_completion(const http::Request& request) {
  CompletionRequest completion;
  completion.chat = request.path == kChatPath;
  read_headers(request, completion);
  const Json body = Json::parse(request.body.view(), nullptr, false);
  if (!body.is_object()) {
    return fail(CompletionErrc::kNotJson, "the body is not a JSON object");
  }
  if (!body.contains(completion.chat ? "messages" : "prompt")) {
    return fail(CompletionErrc::kMissingPrompt, "the body has no prompt or messages");
  }
  try {
    read_body(body, completion);
  } catch (const Json::exception& error) {
    return fail(CompletionErrc::kInvalidField, error.what());
  }
  if (completion.output_tokens == 0 || completion.output_tokens > kMostOutputTokens) {
    return fail(CompletionErrc::kInvalidField, "max_tokens: must be between 1 and 65536");
  }
  return completion;
}

}  // namespace ochrespring::standin
