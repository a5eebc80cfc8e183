#include "standin/completion_answer.h"

#include <algorithm>
#include <utility>

#include "engine/prompt.h"
#include "standin/model/token_text.h"

namespace ochrespring::standin {

using Json = nlohmann::json;

namespace {

constexpr std::uint16_t kOk = 200;
/// Above this many bytes not yet taken by the caller no more text is made.
constexpr std::size_t kMostBufferedBytes = 64U << 10U;

}  // namespace

CompletionAnswer::CompletionAnswer(const CompletionRequest& request, std::string engine,
                                   WriterPointer response)
    : request_(request),
      engine_(std::move(engine)),
      response_(std::move(response)),
      prompt_hash_(prompt_hash(request.prompt)),
      event_start_(event_start()),
      ready_(request.resume_offset),
      sent_(request.resume_offset) {}

void CompletionAnswer::tokens_ready(std::uint32_t tokens_done) {
  ready_ = std::max(ready_, tokens_done);
  pump();
}

void CompletionAnswer::complete() {
  ready_ = std::max(ready_, request_.output_tokens);
  complete_ = true;
  pump();
}

void CompletionAnswer::abort() {
  if (!ended_) {
    ended_ = true;
    response_->abort();
  }
}

bool CompletionAnswer::pump() {
  if (ended_) {
    return true;
  }
  if (!request_.stream) {
    if (complete_) {
      ended_ = true;
      response_->respond(kOk,
                         {{"content-type", "application/json"},
                          {"x-request-id", request_.request_id},
                          {"x-engine", engine_}},
                         whole_answer());
    }
    return ended_;
  }
  if (!begun_ && ready_ > sent_) {
    begin();
  }
  while (sent_ < ready_ && response_->buffered_bytes() < kMostBufferedBytes) {
    response_->send_body(event_of(sent_));
    ++sent_;
  }
  if (complete_ && sent_ == ready_) {
    if (!begun_) {
      begin();
    }
    ended_ = true;
    response_->send_body("data: [DONE]\n\n");
    response_->finish();
  }
  return ended_;
}

void CompletionAnswer::begin() {
  begun_ = true;
  response_->send_head({kOk,
                        {{"content-type", "text/event-stream"},
                         {"x-request-id", request_.request_id},
                         {"x-engine", engine_}}});
}

std::string CompletionAnswer::object_name() const {
  if (!request_.chat) {
    return "text_completion";
  }
  return request_.stream ? "chat.completion.chunk" : "chat.completion";
}

std::string CompletionAnswer::event_start() const {
  return R"(data: {"id":)" + Json(request_.request_id).dump() + R"(,"object":")" + object_name() +
         R"(","model":)" + Json(request_.model).dump() + R"(,"offset":)";
}

std::string CompletionAnswer::event_of(std::uint32_t offset) const {
  // Tokens are letters and spaces, so the text needs no escapes. Written without a JSON tree: the
  // stand-in must not be what limits a measurement of the proxy.
  std::string event = event_start_ + std::to_string(offset) + R"(,"choices":[{"index":0,)";
  event += request_.chat ? R"("delta":{"content":")" : R"("text":")";
  event += token_text(prompt_hash_, offset);
  event += request_.chat ? R"("})" : R"(")";
  const bool last = offset + 1 == request_.output_tokens;
  event += last ? R"(,"finish_reason":"length"}]})" : R"(,"finish_reason":null}]})";
  event += "\n\n";
  return event;
}

std::string CompletionAnswer::whole_answer() const {
  std::string text;
  for (std::uint32_t offset = request_.resume_offset; offset < request_.output_tokens; ++offset) {
    text += token_text(prompt_hash_, offset);
  }
  Json choice{{"index", 0}, {"finish_reason", "length"}};
  if (request_.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const std::uint32_t prompt_tokens = engine::count_prompt_tokens(request_.prompt);
  const Json answer{{"id", request_.request_id},
                    {"object", object_name()},
                    {"model", request_.model},
                    {"choices", Json::array({choice})},
                    {"usage",
                     {{"prompt_tokens", prompt_tokens},
                      {"completion_tokens", request_.output_tokens},
                      {"total_tokens", prompt_tokens + request_.output_tokens}}}};
  return answer.dump();
}

}  // namespace ochrespring::standin
