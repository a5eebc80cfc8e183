#include "proxy/answer_relay.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/headers.h"

namespace ochrespring::proxy {

namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kTerminalEvent = "data: [DONE]\n\n";
constexpr std::uint16_t kStatusOk = 200;

/// Headers of the back end's connection, and those the proxy sets itself.
constexpr std::array<std::string_view, 9> kNotRelayed = {
    "connection", "keep-alive",       "transfer-encoding", "content-length", "server",
    "date",       header::kRequestId, header::kOutcome,    "trailer"};

bool relayed(const Header& header) {
  return std::find(kNotRelayed.begin(), kNotRelayed.end(), header.name) == kNotRelayed.end();
}

}  // namespace

std::string render_error(const ProxyError& error, Outcome outcome, const RequestId& request) {
  const nlohmann::json body = {{"error",
                                {{"code", error_code(error.code)},
                                 {"message", error.message},
                                 {"outcome", outcome_name(outcome)},
                                 {"request_id", request.value()}}}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

AnswerRelay::AnswerRelay(AnswerKind kind, RequestId backend_id, RequestId caller_id,
                         std::unique_ptr<CallerStream> caller)
    : asked_kind_(kind),
      kind_(kind),
      backend_id_(std::move(backend_id)),
      caller_id_(std::move(caller_id)),
      caller_(std::move(caller)) {}

void AnswerRelay::begin_attempt() {
  reader_ = TokenEventReader();
  if (!forwarded_) {
    held_.clear();
    kind_ = asked_kind_;
  }
  token_stream_answer_ = false;
  terminal_seen_ = false;
}

void AnswerRelay::on_head(BackendResponseHead head) {
  token_stream_answer_ =
      kind_ == AnswerKind::kTokenStream &&
      http::find_header(head.headers, header::kContentType).starts_with(kEventStream);
  head_ = std::move(head);
  // An engine that answers with an error instead of a stream is relayed like any other answer.
  if (kind_ == AnswerKind::kTokenStream && !token_stream_answer_ && !forwarded_) {
    kind_ = AnswerKind::kWhole;
  }
}

RelayVerdict AnswerRelay::on_body(std::string_view bytes) {
  if (kind_ == AnswerKind::kTokenStream) {
    // The rest of a stream cannot come as anything else.
    return token_stream_answer_ ? on_tokens(bytes) : RelayVerdict::kTruncated;
  }
  if (forwarded_) {
    if (caller_) {
      caller_->send_body(bytes);
    }
    return RelayVerdict::kGood;
  }
  held_.append(bytes);
  if (held_.size() > kLargestHeldBytes) {
    forward_head(Outcome::kAnswered, std::nullopt);
    if (caller_) {
      caller_->send_body(held_);
    }
    held_ = {};
  }
  return RelayVerdict::kGood;
}

RelayVerdict AnswerRelay::on_tokens(std::string_view bytes) {
  std::string out;
  RelayVerdict verdict = RelayVerdict::kGood;
  const auto parsed = reader_.read(bytes, [&](const TokenEvent& event) {
    verdict = take_event(event, out);
    return verdict == RelayVerdict::kGood;
  });
  if (!out.empty()) {
    if (!forwarded_) {
      forward_head(Outcome::kAnswered, std::nullopt);
    }
    if (caller_) {
      caller_->send_body(out);
    }
  }
  return parsed == ParseVerdict::kMalformed ? RelayVerdict::kTruncated : verdict;
}

RelayVerdict AnswerRelay::take_event(const TokenEvent& event, std::string& out) {
  if (!event.id.empty() && event.id != backend_id_.value()) {
    return RelayVerdict::kCrossed;
  }
  if (event.done) {
    terminal_seen_ = true;
    return RelayVerdict::kGood;
  }
  if (event.offset) {
    if (*event.offset < delivered_) {
      return RelayVerdict::kGood;
    }
    if (*event.offset > delivered_) {
      return RelayVerdict::kTruncated;
    }
    ++delivered_;
  }
  append_event(event, out);
  return RelayVerdict::kGood;
}

/// The caller knows its request by its own id.
void AnswerRelay::append_event(const TokenEvent& event, std::string& out) const {
  const std::size_t at = event.id.empty() || backend_id_ == caller_id_
                             ? std::string_view::npos
                             : event.text.find(backend_id_.value());
  if (at == std::string_view::npos) {
    out.append(event.text);
    return;
  }
  out.append(event.text.substr(0, at));
  out.append(caller_id_.value());
  out.append(event.text.substr(at + backend_id_.value().size()));
}

void AnswerRelay::translate_held_id() {
  const bool json = http::find_header(head_.headers, header::kContentType).starts_with(kJsonType);
  const std::size_t at =
      json && backend_id_ != caller_id_ ? held_.find(backend_id_.value()) : std::string::npos;
  if (at != std::string::npos) {
    held_.replace(at, backend_id_.value().size(), caller_id_.value());
  }
}

std::vector<Header> AnswerRelay::identity_headers(Outcome outcome) const {
  return {{std::string(header::kRequestId), caller_id_.value()},
          {std::string(header::kOutcome), std::string(outcome_name(outcome))}};
}

void AnswerRelay::forward_head(Outcome outcome, std::optional<std::size_t> length) {
  forwarded_ = true;
  if (!caller_) {
    return;
  }
  BackendResponseHead head{head_.status, identity_headers(outcome)};
  std::copy_if(head_.headers.begin(), head_.headers.end(), std::back_inserter(head.headers),
               relayed);
  if (length) {
    head.headers.push_back({std::string(header::kContentLength), std::to_string(*length)});
  }
  caller_->send_head(head);
}

void AnswerRelay::finish() {
  if (kind_ == AnswerKind::kTokenStream) {
    if (!forwarded_) {
      forward_head(Outcome::kAnswered, std::nullopt);
    }
    if (caller_) {
      caller_->send_body(kTerminalEvent);
    }
  } else if (!forwarded_) {
    translate_held_id();
    forward_head(Outcome::kAnswered, held_.size());
    if (caller_) {
      caller_->send_body(held_);
    }
  }
  if (caller_) {
    caller_->finish();
  }
}

void AnswerRelay::fail(const ProxyError& error, Outcome outcome) {
  if (!caller_) {
    return;
  }
  const std::string body = render_error(error, outcome, caller_id_);
  if (!forwarded_) {
    std::vector<Header> headers = identity_headers(outcome);
    headers.push_back({std::string(header::kContentType), std::string(kJsonType)});
    send_whole(error_status(error.code), std::move(headers), body);
    return;
  }
  if (kind_ == AnswerKind::kTokenStream) {
    caller_->send_body("event: error\ndata: " + body + "\n\n");
  }
  caller_->abort();
}

void AnswerRelay::replay(std::uint16_t status, const std::string& content_type,
                         std::string_view body) {
  std::vector<Header> headers = identity_headers(Outcome::kAnswered);
  headers.push_back({std::string(header::kRepeated), "1"});
  if (!content_type.empty()) {
    headers.push_back({std::string(header::kContentType), content_type});
  }
  send_whole(status == 0 ? kStatusOk : status, std::move(headers), body);
}

void AnswerRelay::send_whole(std::uint16_t status, std::vector<Header> headers,
                             std::string_view body) {
  forwarded_ = true;
  if (!caller_) {
    return;
  }
  headers.push_back({std::string(header::kContentLength), std::to_string(body.size())});
  caller_->send_head({status, std::move(headers)});
  caller_->send_body(body);
  caller_->finish();
}

}  // namespace ochrespring::proxy
