// The answer that the caller of one request receives.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "gateway/failure_answer.h"
#include "gateway/held_answers.h"
#include "gateway/statistics.h"
#include "http/message.h"
#include "http/server.h"

namespace ochrespring::gateway {

/// Writes one answer: an event stream with the head of the first back end that answers with events,
/// or a complete answer. Used on one event loop.
class CallerAnswer {
 public:
  /// `arrived` is when the request reached this machine. The referenced objects must outlive it.
  CallerAnswer(const Clock& clock, GatewayStatistics& statistics,
               std::shared_ptr<http::ResponseWriter> writer, MonotonicTime arrived)
      : clock_(clock), statistics_(statistics), writer_(std::move(writer)), arrived_(arrived) {}

  const std::shared_ptr<http::ResponseWriter>& writer() const { return writer_; }
  /// Whether the caller has been sent the head of a back end's answer.
  bool has_begun() const { return begun_; }
  /// Bytes that wait for the caller.
  std::size_t buffered_bytes() const { return writer_->buffered_bytes(); }

  /// Sends the head of a stream, unless an earlier back end's has been sent.
  void begin_stream(const http::ResponseHead& head);
  /// Sends one complete event of a stream that has begun.
  void send_event(std::string_view event) { writer_->send_body(event); }
  void finish_stream() { writer_->finish(); }
  /// Ends a stream such that the caller sees that it is incomplete.
  void abort_stream() { writer_->abort(); }

  /// Sends a complete answer of a back end.
  void send(const http::ResponseHead& head, std::string_view body);
  /// Sends an answer of this node.
  void send(FailureAnswer answer);

  /// Keeps an error answer of a back end, for a caller that gets no better one from later attempts.
  void keep_error(http::ResponseHead head, std::string body, std::unique_ptr<HeldBytes> held);
  bool has_kept_error() const { return kept_error_.has_value(); }
  /// Returns false if there is none.
  bool send_kept_error();

 private:
  void note_begin();

  const Clock& clock_;
  GatewayStatistics& statistics_;
  std::shared_ptr<http::ResponseWriter> writer_;
  MonotonicTime arrived_;
  bool begun_ = false;
  std::optional<http::Response> kept_error_;
  std::unique_ptr<HeldBytes> kept_bytes_;
};

}  // namespace ochrespring::gateway
