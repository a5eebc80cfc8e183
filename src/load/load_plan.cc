#include "load/load_plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "engine/prompt.h"
#include "standin/model/token_text.h"

namespace ochrespring::load {

namespace {

constexpr std::uint64_t kShareSeed = 0x5ea7;

std::uint32_t scaled(std::uint32_t tokens, double scale) {
  return std::max(1U, static_cast<std::uint32_t>(std::lround(tokens * scale)));
}

bool kept(const workload::TraceRequest& request, double share) {
  constexpr double kHashRange = 18446744073709551616.0;  // 2^64
  const std::uint64_t drawn = combine_hashes(kShareSeed, request.id);
  return static_cast<double>(drawn) / kHashRange < share;
}

/// Text of `tokens` prompt tokens: words of exactly one token each.
void append_prompt(std::string& prompt, std::uint64_t seed, std::uint32_t tokens) {
  constexpr std::uint64_t kLetters = 26;
  for (std::uint32_t token = 0; token < tokens; ++token) {
    std::uint64_t bits = combine_hashes(seed, token);
    for (std::uint32_t i = 1; i < engine::kBytesPerToken; ++i) {
      prompt += static_cast<char>('a' + bits % kLetters);
      bits /= kLetters;
    }
    prompt += ' ';
  }
}

std::string prompt_of(const workload::TraceRequest& arrival) {
  const std::uint32_t shared = std::min(arrival.shared_prefix_tokens, arrival.prompt_tokens);
  std::string prompt;
  prompt.reserve(std::size_t{arrival.prompt_tokens} * engine::kBytesPerToken);
  append_prompt(prompt, arrival.shared_prefix_seed, shared);
  append_prompt(prompt, arrival.content_seed, arrival.prompt_tokens - shared);
  return prompt;
}

PlannedRequest plan_completion(const workload::TraceRequest& arrival, PlannedRequest planned,
                               bool whole_answers) {
  constexpr std::uint64_t kWholeAnswerEvery = 8;
  Expectation& expectation = planned.expectation;
  expectation.stream = !whole_answers || arrival.id % kWholeAnswerEvery != 0;
  expectation.output_tokens = arrival.output_tokens;
  const std::string prompt = prompt_of(arrival);
  expectation.prompt_hash = standin::prompt_hash(prompt);
  planned.path = "/v1/completions";
  planned.body = nlohmann::json{{"model", arrival.model.value()},
                                {"prompt", prompt},
                                {"max_tokens", arrival.output_tokens},
                                {"stream", expectation.stream}}
                     .dump();
  return planned;
}

}  // namespace

workload::Trace fit_trace(const workload::Trace& trace, const PlanSettings& settings) {
  workload::Trace fitted;
  for (workload::TraceRequest request : trace) {
    request.arrival = from_seconds(to_seconds(request.arrival) / settings.speed);
    const bool late = settings.duration > Duration::zero() && request.arrival >= settings.duration;
    if (late || !kept(request, settings.share)) {
      continue;
    }
    request.prompt_tokens = scaled(request.prompt_tokens, settings.prompt_scale);
    request.shared_prefix_tokens = static_cast<std::uint32_t>(
        std::lround(request.shared_prefix_tokens * settings.prompt_scale));
    request.output_tokens = scaled(request.output_tokens, settings.output_scale);
    fitted.push_back(std::move(request));
  }
  return fitted;
}

PlannedRequest plan_request(const workload::TraceRequest& arrival, const PlanSettings& settings) {
  PlannedRequest planned;
  Expectation& expectation = planned.expectation;
  expectation.request_id = settings.run_name + "-" + std::to_string(arrival.id);
  expectation.model = !arrival.model.empty();
  planned.headers = {{"x-request-id", expectation.request_id},
                     {"x-tenant", arrival.tenant.value()},
                     {"x-priority", std::to_string(arrival.priority)},
                     {"content-type", "application/json"}};
  if (!arrival.session.empty()) {
    planned.headers.push_back({"x-session", arrival.session});
  }
  if (expectation.model) {
    return plan_completion(arrival, std::move(planned), settings.whole_answers);
  }
  expectation.idempotency_key = expectation.request_id;
  expectation.stream = false;
  planned.path = "/services/" + arrival.service.value() + settings.ordinary_path;
  planned.headers.push_back({"idempotency-key", expectation.idempotency_key});
  planned.body = nlohmann::json{{"text", "message " + std::to_string(arrival.id)}}.dump();
  return planned;
}

const char* built_in_workload() {
  return R"(name: mixed
deployment: gateway
description: Long prompts, then long answers, then long prompts again, beside classifications and sends.
duration: 60
lasting_shifts: 2
classes:
  - name: drafting
    service: drafting-llm
    model: drafter
    shared_prefix_tokens: 128
    prompt: {median: 1500, sigma: 0.3, minimum: 200, maximum: 4000}
    output: {median: 40, sigma: 0.4, minimum: 5, maximum: 150}
    rate: {points: [{at: 0, per_second: 6}, {at: 20, per_second: 2}, {at: 40, per_second: 6}]}
  - name: condensing
    service: drafting-llm
    model: drafter
    shared_prefix_tokens: 64
    prompt: {median: 250, sigma: 0.3, minimum: 64, maximum: 1000}
    output: {median: 120, sigma: 0.3, minimum: 20, maximum: 300}
    rate: {points: [{at: 0, per_second: 2}, {at: 20, per_second: 10}, {at: 40, per_second: 2}]}
  - name: classifying
    service: drafting-llm
    model: drafter
    shared_prefix_tokens: 64
    prompt: {median: 120, sigma: 0.3, minimum: 64, maximum: 400}
    output: {median: 4, sigma: 0.3, minimum: 1, maximum: 12}
    rate: {points: [{at: 0, per_second: 6}]}
  - name: sends
    service: sms-relay
    rate: {points: [{at: 0, per_second: 10}]}
tenants:
  - {name: operator-one, weight: 3, share: 3}
  - {name: operator-two, weight: 2, share: 2}
  - {name: operator-three, weight: 1, share: 1}
)";
}

}  // namespace ochrespring::load
