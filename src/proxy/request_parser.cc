#include "proxy/request_parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "engine/prompt.h"
#include "proxy/headers.h"

namespace ochrespring::proxy {

namespace {

using nlohmann::json;

constexpr std::size_t kLongestCallerId = 128;
constexpr std::uint8_t kHighestPriority = 2;
constexpr char kIdSeparator = '~';

/// Headers of one connection, and those the proxy sets itself; not passed on.
constexpr std::array<std::string_view, 16> kNotPassedOn = {"host",
                                                           "connection",
                                                           "content-length",
                                                           "transfer-encoding",
                                                           "keep-alive",
                                                           "te",
                                                           "trailer",
                                                           "upgrade",
                                                           "expect",
                                                           "proxy-connection",
                                                           header::kRequestId,
                                                           header::kDeadline,
                                                           header::kKvSource,
                                                           header::kResumeOffset,
                                                           header::kKvHandle,
                                                           header::kPrefillOnly};

std::optional<std::uint64_t> read_number(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

template <class List, class Name>
const typename List::value_type* find_named(const List& list, const Name& name) {
  const auto found =
      std::find_if(list.begin(), list.end(), [&](const auto& item) { return item.name == name; });
  return found == list.end() ? nullptr : &*found;
}

void copy_headers(const CallerRequest& request, ParsedRequest& parsed) {
  for (const http::Header& header : request.headers) {
    const bool passed_on =
        std::find(kNotPassedOn.begin(), kNotPassedOn.end(), header.name) == kNotPassedOn.end();
    if (passed_on) {
      parsed.headers.push_back(header);
    }
  }
}

void read_deadline(const CallerRequest& request, const ParseContext& context,
                   ParsedRequest& parsed) {
  Duration left = parsed.limits.deadline;
  const auto asked = read_number(http::find_header(request.headers, header::kDeadline));
  const auto longest = static_cast<std::uint64_t>(left / std::chrono::milliseconds(1));
  if (asked && *asked < longest) {
    left = std::chrono::milliseconds(*asked);
  }
  parsed.route.arrived = context.now;
  parsed.route.deadline = context.now + left;
}

void read_tenant(const CallerRequest& request, const ParseContext& context, ParsedRequest& parsed) {
  parsed.route.tenant =
      TenantName(std::string(http::find_header(request.headers, header::kTenant)));
  std::uint8_t highest = 1;
  if (const auto* tenant = find_named(context.view.tenants, parsed.route.tenant)) {
    highest = tenant->priority;
  }
  parsed.route.priority = std::min(highest, kHighestPriority);
  const auto asked = read_number(http::find_header(request.headers, header::kPriority));
  if (asked && *asked < parsed.route.priority) {
    parsed.route.priority = static_cast<std::uint8_t>(*asked);
  }
}

void read_identity(const CallerRequest& request, const ParseContext& context,
                   ParsedRequest& parsed) {
  const std::string_view own = read_caller_id(request);
  if (own.empty()) {
    parsed.route.id = RequestId(context.unique_suffix);
    parsed.caller_id = parsed.route.id;
  } else {
    parsed.caller_id = RequestId(std::string(own));
    parsed.route.id = RequestId(std::string(own) + kIdSeparator + context.unique_suffix);
  }
  parsed.idempotency_key = http::find_header(request.headers, header::kIdempotencyKey);
  parsed.route.session = http::find_header(request.headers, header::kSession);
  parsed.route.origin = context.zone;
}

Result<void, ProxyError> apply_service(const fleet::Service& service, const CallerRequest& request,
                                       const ParseContext& context, ParsedRequest& parsed) {
  if (request.body.size() > service.limits.body_bytes) {
    return fail(ProxyErrc::kBodyTooLarge, "the body is larger than " +
                                              std::to_string(service.limits.body_bytes) +
                                              " bytes, the limit of " + service.name.value());
  }
  parsed.route.service = service.name;
  parsed.repeatable = service.repeatable;
  parsed.limits = service.limits;
  read_deadline(request, context, parsed);
  read_tenant(request, context, parsed);
  read_identity(request, context, parsed);
  copy_headers(request, parsed);
  return outcome::success();
}

/// Text of a prompt: a string, or the first of a list of strings.
Result<std::string, ProxyError> read_prompt(const json& body) {
  const auto prompt = body.find("prompt");
  if (prompt != body.end() && prompt->is_string()) {
    return prompt->get<std::string>();
  }
  return fail(ProxyErrc::kMalformedBody, "'prompt' must be a string");
}

Result<std::string, ProxyError> read_chat(const json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return fail(ProxyErrc::kMalformedBody, "'messages' must be a list that is not empty");
  }
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object()) {
      return fail(ProxyErrc::kMalformedBody, "each of 'messages' must be an object");
    }
    const auto role = message.find("role");
    const auto content = message.find("content");
    if (role == message.end() || !role->is_string() || content == message.end() ||
        !content->is_string()) {
      return fail(ProxyErrc::kMalformedBody, "each of 'messages' needs 'role' and 'content' texts");
    }
    engine::append_chat_message(prompt, role->get_ref<const std::string&>(),
                                content->get_ref<const std::string&>());
  }
  return prompt;
}

Result<std::uint32_t, ProxyError> read_output_tokens(const json& body) {
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto limit = body.find(name);
    if (limit == body.end() || limit->is_null()) {
      continue;
    }
    if (!limit->is_number_unsigned() || *limit > 0xFFFFFFFFU || *limit == 0) {
      return fail(ProxyErrc::kMalformedBody,
                  std::string("'") + name + "' must be a positive number");
    }
    return limit->get<std::uint32_t>();
  }
  return kDefaultOutputTokens;
}

Result<AnswerKind, ProxyError> read_answer_kind(const json& body) {
  const auto stream = body.find("stream");
  if (stream == body.end() || stream->is_null()) {
    return AnswerKind::kWhole;
  }
  if (!stream->is_boolean()) {
    return fail(ProxyErrc::kMalformedBody, "'stream' must be true or false");
  }
  return stream->get<bool>() ? AnswerKind::kTokenStream : AnswerKind::kWhole;
}

Result<const fleet::Model*, ProxyError> read_model(const json& body, const ParseContext& context,
                                                   ParsedRequest& parsed) {
  const auto name = body.find("model");
  if (name == body.end() || !name->is_string()) {
    return fail(ProxyErrc::kMalformedBody, "'model' must be a string");
  }
  const std::string& text = name->get_ref<const std::string&>();
  const std::size_t colon = text.find(':');
  parsed.route.model = ModelName(text.substr(0, colon));
  if (colon != std::string::npos) {
    parsed.route.adapter = AdapterName(text.substr(colon + 1));
  }
  const auto* model = find_named(context.view.models, parsed.route.model);
  if (model == nullptr) {
    return fail(ProxyErrc::kUnknownModel, "unknown model '" + text + "'");
  }
  return model;
}

Result<ParsedRequest, ProxyError> parse_completion(CallerRequest request, bool chat,
                                                   const ParseContext& context) {
  ParsedRequest parsed;
  if (request.method != "POST") {
    return fail(ProxyErrc::kUnknownPath, "completions are asked for with POST");
  }
  const json body = json::parse(request.body.view(), nullptr, false);
  if (!body.is_object()) {
    return fail(ProxyErrc::kMalformedBody, "the body is not a JSON object");
  }
  BOOST_OUTCOME_TRY(model, read_model(body, context, parsed));
  BOOST_OUTCOME_TRY(prompt, chat ? read_chat(body) : read_prompt(body));
  BOOST_OUTCOME_TRY(output_tokens, read_output_tokens(body));
  BOOST_OUTCOME_TRY(kind, read_answer_kind(body));
  const auto* service = find_named(context.view.services, model->service);
  if (service == nullptr) {
    return fail(ProxyErrc::kUnknownService, "unknown service '" + model->service.value() + "'");
  }
  BOOST_OUTCOME_TRY(apply_service(*service, request, context, parsed));
  parsed.kind = kind;
  parsed.route.prompt_tokens = engine::count_prompt_tokens(prompt);
  parsed.route.expected_output_tokens = output_tokens;
  parsed.route.prompt_blocks = engine::prompt_blocks(parsed.route.model.value(), prompt);
  if (parsed.route.prompt_tokens > model->context_tokens) {
    return fail(ProxyErrc::kMalformedBody, "the prompt is longer than the model's context of " +
                                               std::to_string(model->context_tokens) + " tokens");
  }
  parsed.method = std::move(request.method);
  parsed.path = std::move(request.path);
  parsed.body = std::move(request.body);
  return parsed;
}

Result<ParsedRequest, ProxyError> parse_service_call(CallerRequest request,
                                                     const ParseContext& context) {
  const std::string_view rest = std::string_view(request.path).substr(kServicesPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const ServiceName name{std::string(rest.substr(0, slash))};
  const auto* service = find_named(context.view.services, name);
  if (service == nullptr || service->kind != fleet::ServiceKind::kOrdinary) {
    return fail(ProxyErrc::kUnknownService, "unknown service '" + name.value() + "'");
  }
  ParsedRequest parsed;
  BOOST_OUTCOME_TRY(apply_service(*service, request, context, parsed));
  parsed.path = slash < rest.size() ? std::string(rest.substr(slash)) : "/";
  if (!request.query.empty()) {
    parsed.path += "?" + request.query;
  }
  parsed.method = std::move(request.method);
  parsed.body = std::move(request.body);
  return parsed;
}

}  // namespace

RequestId caller_request_id(const RequestId& backend_id) {
  const std::size_t separator = backend_id.value().rfind(kIdSeparator);
  return RequestId(backend_id.value().substr(0, separator));
}

std::string_view read_caller_id(const CallerRequest& request) {
  const std::string_view id = http::find_header(request.headers, header::kRequestId);
  const auto usable = [](char letter) { return letter > ' ' && letter < '\x7f'; };
  const bool valid = id.size() <= kLongestCallerId && std::all_of(id.begin(), id.end(), usable);
  return valid ? id : std::string_view();
}

Result<ParsedRequest, ProxyError> parse_request(CallerRequest request,
                                                const ParseContext& context) {
  if (request.path == kCompletionsPath) {
    return parse_completion(std::move(request), false, context);
  }
  if (request.path == kChatCompletionsPath) {
    return parse_completion(std::move(request), true, context);
  }
  if (request.path.starts_with(kServicesPrefix)) {
    return parse_service_call(std::move(request), context);
  }
  return fail(ProxyErrc::kUnknownPath, "no such path: " + request.path);
}

std::string render_models(const router::FleetView& view) {
  json list = json::array();
  for (const fleet::Model& model : view.models) {
    list.push_back(
        {{"id", model.name.value()}, {"object", "model"}, {"owned_by", model.service.value()}});
  }
  return json{{"object", "list"}, {"data", std::move(list)}}.dump();
}

}  // namespace ochrespring::proxy
