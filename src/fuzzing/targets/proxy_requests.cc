// Callers' requests as the proxy reads them, and as an engine then reads the same body. The first
// byte picks the path.
#include <array>
#include <string>

#include "engine/prompt.h"
#include "fuzzing/fuzz_target.h"
#include "proxy/request_parser.h"
#include "standin/completion_request.h"

namespace {

using namespace ochrespring;

/// The most tokens an engine generates for one request.
constexpr std::uint32_t kMostOutputTokens = 65'536;

router::FleetView view_with_one_model() {
  router::FleetView view;
  fleet::Service model_service;
  model_service.name = ServiceName("llm");
  fleet::Service relay;
  relay.name = ServiceName("relay");
  relay.kind = fleet::ServiceKind::kOrdinary;
  relay.repeatable = false;
  view.services = {model_service, relay};
  fleet::Model model;
  model.name = ModelName("m");
  model.service = model_service.name;
  view.models = {model};
  return view;
}

constexpr std::array<const char*, 4> kPaths{"/v1/completions", "/v1/chat/completions",
                                            "/services/relay/send", "/services/llm"};

void check_engine_agrees(const http::Request& request, const proxy::ParsedRequest& parsed) {
  if (parsed.route.model.empty() || parsed.route.expected_output_tokens > kMostOutputTokens) {
    return;
  }
  const auto read = standin::read_completion(request);
  fuzzing::require(read.has_value());
  const standin::CompletionRequest& completion = read.value();
  fuzzing::require(completion.output_tokens == parsed.route.expected_output_tokens);
  fuzzing::require(completion.stream == (parsed.kind == proxy::AnswerKind::kTokenStream));
  fuzzing::require(engine::count_prompt_tokens(completion.prompt) == parsed.route.prompt_tokens);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) {
    return 0;
  }
  static const router::FleetView kView = view_with_one_model();
  http::Request request;
  request.method = "POST";
  request.path = kPaths[data[0] % kPaths.size()];
  request.body = std::string(fuzzing::text_of(data, size).substr(1));
  const auto parsed =
      proxy::parse_request(request, {kView, ZoneName("zone"), "suffix", MonotonicTime()});
  if (parsed.has_error()) {
    fuzzing::require(!parsed.error().message.empty());
    return 0;
  }
  check_engine_agrees(request, parsed.value());
  return 0;
}
