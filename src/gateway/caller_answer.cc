#include "gateway/caller_answer.h"

#include <utility>

#include "gateway/header_rules.h"

namespace ochrespring::gateway {

void CallerAnswer::begin_stream(const http::ResponseHead& head) {
  if (begun_) {
    return;
  }
  note_begin();
  writer_->send_head({head.status, headers_for_caller(head.headers)});
}

void CallerAnswer::send(const http::ResponseHead& head, std::string_view body) {
  note_begin();
  writer_->respond(head.status, headers_for_caller(head.headers), body);
}

void CallerAnswer::send(FailureAnswer answer) {
  writer_->respond(answer.status, std::move(answer.headers), answer.body);
}

void CallerAnswer::keep_error(http::ResponseHead head, std::string body,
                              std::unique_ptr<HeldBytes> held) {
  kept_bytes_ = std::move(held);
  kept_error_ = http::Response{std::move(head), std::move(body)};
}

bool CallerAnswer::send_kept_error() {
  if (!kept_error_) {
    return false;
  }
  send(kept_error_->head, kept_error_->body);
  return true;
}

void CallerAnswer::note_begin() {
  begun_ = true;
  statistics_.first_byte.note(clock_.now() - arrived_);
}

}  // namespace ochrespring::gateway
