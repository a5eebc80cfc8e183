#include "simulation/completion_protocol.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "proxy/headers.h"
#include "proxy/request.h"
#include "standin/model/token_text.h"

namespace ochrespring::simulation {
namespace {

std::uint32_t number_of(std::string_view text) {
  std::uint32_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

std::string completion_body(const std::string& model, const std::string& prompt,
                            std::uint32_t answer_tokens, bool streaming) {
  return nlohmann::json{
      {"model", model}, {"prompt", prompt}, {"max_tokens", answer_tokens}, {"stream", streaming}}
      .dump();
}

std::optional<CompletionRequest> read_completion(const proxy::BackendRequest& request) {
  const auto json = nlohmann::json::parse(request.body, nullptr, false);
  if (!json.is_object() || !json.contains("prompt") || !json.contains("max_tokens")) {
    return std::nullopt;
  }
  CompletionRequest completion;
  completion.prompt = json["prompt"].get<std::string>();
  completion.answer_tokens = json["max_tokens"].get<std::uint32_t>();
  completion.streaming = json.value("stream", false);
  completion.resume_offset =
      number_of(http::find_header(request.headers, proxy::header::kResumeOffset));
  return completion;
}

std::string token_event(const RequestId& request, std::uint64_t offset, std::string_view text) {
  const nlohmann::json event = {
      {"id", request.value()}, {"offset", offset}, {"choices", {{{"index", 0}, {"text", text}}}}};
  return "data: " + event.dump() + "\n\n";
}

std::string whole_completion(std::string_view text) {
  return nlohmann::json{{"choices", {{{"index", 0}, {"text", text}}}}}.dump();
}

std::string answer_text(std::string_view prompt, std::uint64_t begin, std::uint64_t end) {
  const std::uint64_t hash = standin::prompt_hash(prompt);
  std::string text;
  for (std::uint64_t offset = begin; offset < end; ++offset) {
    text += standin::token_text(hash, offset);
  }
  return text;
}

std::string text_of_answer(std::string_view body) {
  std::string text;
  const auto append = [&text](std::string_view json_text) {
    const auto json = nlohmann::json::parse(json_text, nullptr, false);
    if (json.is_object() && json.contains("choices") && !json["choices"].empty()) {
      text += json["choices"][0].value("text", "");
    }
  };
  if (!body.starts_with("data:")) {
    append(body);
    return text;
  }
  constexpr std::string_view kPrefix = "data: ";
  while (!body.empty()) {
    const std::size_t end = body.find("\n\n");
    const std::string_view event = body.substr(0, end);
    if (event.starts_with(kPrefix)) {
      append(event.substr(kPrefix.size()));
    }
    body.remove_prefix(end == std::string_view::npos ? body.size() : end + 2);
  }
  return text;
}

proxy::BackendResponseHead answer_head(const RequestId& request, std::string_view content_type) {
  return {200, {{"content-type", std::string(content_type)}, {"x-request-id", request.value()}}};
}

proxy::BackendResponseHead not_run_head(const RequestId& request, std::string_view reason) {
  return {503,
          {{std::string(proxy::header::kNotRun), "1"},
           {std::string(proxy::header::kNotRunReason), std::string(reason)},
           {std::string(proxy::header::kRequestId), request.value()}}};
}

RequestId submission_of(const proxy::BackendRequest& request) {
  return proxy::caller_request_id(request.id);
}

}  // namespace ochrespring::simulation
