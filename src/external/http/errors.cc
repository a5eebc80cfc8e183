#include "external/http/errors.h"

namespace ochrespring::external {

namespace {

constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;
constexpr std::uint16_t kNotFoundStatus = 404;
constexpr std::uint16_t kConflictStatus = 409;
constexpr std::uint16_t kTooManyRequestsStatus = 429;
constexpr std::uint16_t kFirstServerError = 500;

/// The stable `error` code of a JSON error body, or empty.
std::string error_code(const std::string& body) {
  const auto parsed = nlohmann::json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return {};
  }
  const auto code = parsed.find("error");
  return code != parsed.end() && code->is_string() ? code->get<std::string>() : std::string();
}

ExternalErrc code_of_conflict(const std::string& code) {
  if (code == "stale_fence") {
    return ExternalErrc::kStaleFence;
  }
  return code == "busy" ? ExternalErrc::kBusy : ExternalErrc::kRefused;
}

ExternalErrc code_of_answer(const http::Response& response) {
  const std::uint16_t status = response.head.status;
  if (status == kTooManyRequestsStatus) {
    return ExternalErrc::kRateLimited;
  }
  if (status == kNotFoundStatus) {
    return ExternalErrc::kNotFound;
  }
  if (status == kConflictStatus) {
    return code_of_conflict(error_code(response.body));
  }
  if (status < kFirstServerError) {
    return ExternalErrc::kRefused;
  }
  // A server error says nothing of the effect, unless the service states that there was none.
  const bool not_run = http::find_header(response.head.headers, "x-not-run") == "1";
  return not_run ? ExternalErrc::kRefused : ExternalErrc::kUnknownEffect;
}

}  // namespace

bool is_success(std::uint16_t status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

ExternalError error_of_failure(const http::FetchFailure& failure) {
  if (!failure.sent) {
    return {ExternalErrc::kNotSent, failure.error.message};
  }
  return {ExternalErrc::kUnknownEffect, failure.error.message};
}

ExternalError error_of_answer(const http::Response& response) {
  constexpr std::size_t kLongestExcerpt = 200;
  return {code_of_answer(response), "status " + std::to_string(response.head.status) + ": " +
                                        response.body.substr(0, kLongestExcerpt)};
}

}  // namespace ochrespring::external
