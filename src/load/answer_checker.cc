#include "load/answer_checker.h"

#include <nlohmann/json.hpp>

#include "standin/model/token_text.h"

namespace ochrespring::load {

using Json = nlohmann::json;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::string_view kOutcomeHeader = "x-ochrespring-outcome";
constexpr std::string_view kRequestIdHeader = "x-request-id";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kTerminal = "[DONE]";

/// Text of the first choice, of any of the answer forms; nothing if the JSON has another shape.
std::optional<std::string> choice_text(const Json& json) {
  try {
    const Json& choice = json.at("choices").at(0);
    if (choice.contains("text")) {
      return choice.at("text").get<std::string>();
    }
    const char* holder = choice.contains("delta") ? "delta" : "message";
    return choice.at(holder).at("content").get<std::string>();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string string_at(const Json& json, const char* field) {
  const auto found = json.is_object() ? json.find(field) : json.end();
  return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

Outcome refusal_outcome(const http::ResponseHead& head) {
  const std::string_view stated = http::find_header(head.headers, kOutcomeHeader);
  const bool not_run = stated == "not-run" || http::find_header(head.headers, "x-not-run") == "1";
  return not_run ? Outcome::kNotRun : Outcome::kUnknown;
}

}  // namespace

bool AnswerChecker::success() const {
  return status_ == kOk;
}

void AnswerChecker::on_head(const http::ResponseHead& head, MonotonicTime /*now*/) {
  status_ = head.status;
  if (!success()) {
    outcome_ = refusal_outcome(head);
    return;
  }
  if (http::find_header(head.headers, kRequestIdHeader) != expectation_.request_id) {
    defects_.crossed = true;
  }
}

void AnswerChecker::on_body(std::string_view bytes, MonotonicTime now) {
  buffer_.append(bytes);
  if (!success() || !expectation_.stream || !expectation_.model) {
    return;
  }
  std::size_t begin = 0;
  for (std::size_t end = buffer_.find(kEventEnd); end != std::string::npos;
       end = buffer_.find(kEventEnd, begin)) {
    read_event(std::string_view(buffer_).substr(begin, end - begin), now);
    begin = end + kEventEnd.size();
  }
  buffer_.erase(0, begin);
}

void AnswerChecker::read_event(std::string_view event, MonotonicTime now) {
  if (!event.starts_with(kDataPrefix)) {
    return;  // A comment that keeps the connection alive.
  }
  event.remove_prefix(kDataPrefix.size());
  if (event == kTerminal) {
    done_ = true;
    return;
  }
  read_token(event, now);
}

void AnswerChecker::read_token(std::string_view text, MonotonicTime now) {
  const Json json = Json::parse(text, nullptr, false);
  const std::optional<std::string> token = choice_text(json);
  if (!token || !json.contains("offset") || !json["offset"].is_number_unsigned()) {
    defects_.cut = true;
    return;
  }
  const auto offset = json["offset"].get<std::uint64_t>();
  if (string_at(json, "id") != expectation_.request_id ||
      *token != standin::token_text(expectation_.prompt_hash, offset)) {
    defects_.crossed = true;
  }
  if (offset < next_offset_ || done_) {
    defects_.doubled_tokens = true;
    return;
  }
  if (offset > next_offset_) {
    defects_.cut = true;
  }
  if (first_token_) {
    gaps_.push_back(now - last_token_);
  } else {
    first_token_ = now;
  }
  last_token_ = now;
  next_offset_ = static_cast<std::uint32_t>(offset) + 1;
}

void AnswerChecker::on_complete(MonotonicTime now) {
  if (!success()) {
    return;
  }
  outcome_ = Outcome::kAnswered;
  if (!expectation_.model) {
    first_token_ = now;
    judge_ordinary();
  } else if (!expectation_.stream) {
    first_token_ = now;
    judge_whole_completion();
  } else if (!done_ || next_offset_ != expectation_.output_tokens) {
    defects_.cut = true;
  }
}

void AnswerChecker::judge_whole_completion() {
  const Json json = Json::parse(buffer_, nullptr, false);
  const std::optional<std::string> text = choice_text(json);
  if (!text) {
    defects_.cut = true;
    return;
  }
  const std::string expected = expected_text(expectation_.output_tokens);
  if (string_at(json, "id") != expectation_.request_id || !expected.starts_with(*text)) {
    defects_.crossed = true;
  }
  if (text->size() < expected.size()) {
    defects_.cut = true;
  }
  next_offset_ = static_cast<std::uint32_t>(text->size() / standin::kTokenTextBytes);
}

void AnswerChecker::judge_ordinary() {
  const Json json = Json::parse(buffer_, nullptr, false);
  if (!json.is_object()) {
    defects_.cut = true;
    return;
  }
  if (string_at(json, "idempotency_key") != expectation_.idempotency_key) {
    defects_.crossed = true;
  }
}

std::string AnswerChecker::expected_text(std::uint32_t tokens) const {
  std::string text;
  for (std::uint32_t offset = 0; offset < tokens; ++offset) {
    text += standin::token_text(expectation_.prompt_hash, offset);
  }
  return text;
}

void AnswerChecker::on_failure(bool sent) {
  if (status_ == 0) {
    outcome_ = sent ? Outcome::kUnknown : Outcome::kNotRun;
    return;
  }
  if (success()) {
    outcome_ = Outcome::kUnknown;
    defects_.cut = true;
  }
}

}  // namespace ochrespring::load
