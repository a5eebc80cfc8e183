// Bodies of completion calls and of their streamed answers. The first byte picks the reader.
#include <string>

#include "external/http/json.h"
#include "fuzzing/fuzz_target.h"
#include "load/answer_checker.h"
#include "standin/completion_request.h"

namespace {

using namespace ochrespring;

void check_request(std::string_view body, bool chat) {
  http::Request request;
  request.method = "POST";
  request.path = chat ? "/v1/chat/completions" : "/v1/completions";
  request.body = std::string(body);
  const auto read = standin::read_completion(request);
  fuzzing::require(read.has_error() || read.value().output_tokens > 0);
}

void check_answer(std::string_view body) {
  load::Expectation expectation;
  expectation.request_id = "r";
  expectation.output_tokens = 2;
  load::AnswerChecker checker(expectation);
  checker.on_head({200, {{"x-request-id", "r"}}}, MonotonicTime());
  const std::size_t half = body.size() / 2;
  checker.on_body(body.substr(0, half), MonotonicTime());
  checker.on_body(body.substr(half), MonotonicTime());
  checker.on_complete(MonotonicTime());
  fuzzing::require(!checker.whole() || checker.tokens() == expectation.output_tokens);
}

void check_control(std::string_view body) {
  const auto json = external::Json::parse(body, nullptr, false);
  try {
    const engine::EngineOrder order = external::order_of(json);
    fuzzing::require(external::order_of(external::json_of(order)) == order);
  } catch (const external::Json::exception&) {
    return;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view body = fuzzing::text_of(data, size).substr(1);
  switch (data[0] % 4) {
    case 0:
      check_request(body, false);
      break;
    case 1:
      check_request(body, true);
      break;
    case 2:
      check_answer(body);
      break;
    default:
      check_control(body);
      break;
  }
  return 0;
}
