// The caller's side of one request: relays the answer in order and exactly once, whichever attempt
// it comes from, or says why there is none.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/backend.h"
#include "proxy/errc.h"
#include "proxy/request.h"
#include "proxy/token_events.h"

namespace ochrespring::proxy {

/// What became of bytes handed to the relay.
enum class RelayVerdict : std::uint8_t {
  kGood,
  kCrossed,    ///< An event carried another request's id.
  kTruncated,  ///< Tokens are missing, or the stream is malformed.
};

/// Free of I/O. Outlives the caller: without one, bytes are dropped but still understood.
class AnswerRelay {
 public:
  /// Answers up to this size are held back until their end is proven, so that a failed attempt can
  /// be repeated without the caller noticing.
  static constexpr std::size_t kLargestHeldBytes = 256U << 10U;

  AnswerRelay(AnswerKind kind, RequestId backend_id, RequestId caller_id,
              std::unique_ptr<CallerStream> caller);

  /// A new attempt begins; tokens already delivered are not expected again.
  void begin_attempt();
  /// The attempt's answer began; kept until the first bytes go to the caller.
  void on_head(BackendResponseHead head);
  RelayVerdict on_body(std::string_view bytes);
  /// Whether the answer is whole, given that its transport ended as it should.
  bool whole() const { return kind_ != AnswerKind::kTokenStream || terminal_seen_; }
  /// Whether another attempt can go on where this one stopped.
  bool resumable() const { return kind_ == AnswerKind::kTokenStream || !forwarded_; }

  /// Ends a whole answer.
  void finish();
  /// Answers with an error; cuts the answer instead if part of it was sent.
  void fail(const ProxyError& error, Outcome outcome);
  /// Answers with a recorded answer of an earlier request with the same key.
  void replay(std::uint16_t status, const std::string& content_type, std::string_view body);
  /// The caller went away.
  void detach() { caller_.reset(); }

  /// Tokens delivered; the offset a resumed attempt starts from.
  std::uint64_t delivered_tokens() const { return delivered_; }
  std::size_t caller_buffered_bytes() const { return caller_ ? caller_->buffered_bytes() : 0; }
  const BackendResponseHead& head() const { return head_; }
  const std::string& held_body() const { return held_; }
  bool holds_whole_body() const { return kind_ == AnswerKind::kWhole && !forwarded_; }

 private:
  RelayVerdict on_tokens(std::string_view bytes);
  RelayVerdict take_event(const TokenEvent& event, std::string& out);
  void append_event(const TokenEvent& event, std::string& out) const;
  void translate_held_id();
  void forward_head(Outcome outcome, std::optional<std::size_t> length);
  void send_whole(std::uint16_t status, std::vector<Header> headers, std::string_view body);
  std::vector<Header> identity_headers(Outcome outcome) const;

  const AnswerKind asked_kind_;
  AnswerKind kind_;  ///< Of the present attempt's answer.
  RequestId backend_id_;
  RequestId caller_id_;
  std::unique_ptr<CallerStream> caller_;
  TokenEventReader reader_;
  BackendResponseHead head_;
  std::string held_;
  std::uint64_t delivered_ = 0;
  bool token_stream_answer_ = false;  ///< This attempt's answer is an event stream.
  bool terminal_seen_ = false;
  bool forwarded_ = false;  ///< The head has gone to the caller.
};

/// JSON error body.
std::string render_error(const ProxyError& error, Outcome outcome, const RequestId& request);

}  // namespace ochrespring::proxy
