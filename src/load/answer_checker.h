// Judges one answer from the caller's side: is it whole, is it the answer to this request, are its
// tokens the right ones in order. Knows nothing of how the system works. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/time.h"
#include "http/message.h"

namespace ochrespring::load {

/// What a caller expects of its answer.
struct Expectation {
  std::string request_id;
  bool model = true;   ///< Answered by a model engine; otherwise by an ordinary back end.
  bool stream = true;  ///< As server-sent events.
  bool chat = false;
  std::uint64_t prompt_hash = 0;
  std::uint32_t output_tokens = 0;
  std::string idempotency_key;  ///< Echoed by ordinary back ends.
};

/// What the caller can say of its request in the end.
enum class Outcome : std::uint8_t { kAnswered, kNotRun, kUnknown };

/// Faults of an answer.
struct Defects {
  bool cut = false;             ///< It began and ended without its proven end, or lacks tokens.
  bool crossed = false;         ///< It is not the answer to this request.
  bool doubled_tokens = false;  ///< A token came twice.

  bool any() const { return cut || crossed || doubled_tokens; }
};

/// Fed with what the HTTP client sees; times are the caller's.
class AnswerChecker {
 public:
  explicit AnswerChecker(Expectation expectation) : expectation_(std::move(expectation)) {}

  void on_head(const http::ResponseHead& head, MonotonicTime now);
  void on_body(std::string_view bytes, MonotonicTime now);
  /// The exchange ended as HTTP wants it.
  void on_complete(MonotonicTime now);
  /// The exchange broke; `sent` as http::ResponseObserver::on_failure has it.
  void on_failure(bool sent);

  Outcome outcome() const { return outcome_; }
  const Defects& defects() const { return defects_; }
  /// Whole, right, and this request's.
  bool whole() const { return outcome_ == Outcome::kAnswered && !defects_.any(); }
  /// The first token, or for an ordinary back end the end of the answer.
  std::optional<MonotonicTime> first_token() const { return first_token_; }
  /// Spans between consecutive tokens.
  const std::vector<Duration>& gaps() const { return gaps_; }
  std::uint32_t tokens() const { return next_offset_; }
  std::uint16_t status() const { return status_; }

 private:
  bool success() const;
  void read_event(std::string_view event, MonotonicTime now);
  void read_token(std::string_view json, MonotonicTime now);
  void judge_whole_completion();
  void judge_ordinary();
  std::string expected_text(std::uint32_t tokens) const;

  Expectation expectation_;
  std::uint16_t status_ = 0;
  std::string buffer_;  ///< An event's beginning, or the body so far.
  Outcome outcome_ = Outcome::kUnknown;
  Defects defects_;
  bool done_ = false;  ///< The terminal event has come.
  std::uint32_t next_offset_ = 0;
  std::optional<MonotonicTime> first_token_;
  MonotonicTime last_token_;
  std::vector<Duration> gaps_;
};

}  // namespace ochrespring::load
