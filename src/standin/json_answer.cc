#include "standin/json_answer.h"

#include <utility>

namespace ochrespring::standin {

namespace {
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kTooManyRequests = 429;
}  // namespace

void answer_json(const WriterPointer& response, std::uint16_t status, const nlohmann::json& body,
                 std::vector<http::Header> headers) {
  headers.push_back({"content-type", "application/json"});
  response->respond(status, std::move(headers), body.dump());
}

void answer_error(const WriterPointer& response, std::uint16_t status, std::string_view code,
                  std::string_view message, std::vector<http::Header> headers) {
  answer_json(response, status, {{"error", code}, {"message", message}}, std::move(headers));
}

void answer_rate_limited(const WriterPointer& response, Duration retry_after) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count() + 1;
  answer_json(response, kTooManyRequests,
              {{"error", "rate_limited"}, {"retry_after_ms", milliseconds}});
}

std::optional<nlohmann::json> read_json(const http::Request& request,
                                        const WriterPointer& response) {
  auto parsed = nlohmann::json::parse(request.body.view(), nullptr, false);
  if (parsed.is_discarded()) {
    answer_error(response, kBadRequest, "malformed", "the body is not JSON");
    return std::nullopt;
  }
  return parsed;
}

std::string string_field(const nlohmann::json& json, const char* name) {
  const auto field = json.is_object() ? json.find(name) : json.end();
  const bool present = field != json.end() && field->is_string();
  return present ? field->get<std::string>() : std::string();
}

}  // namespace ochrespring::standin
