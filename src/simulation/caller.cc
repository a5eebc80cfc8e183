#include "simulation/caller.h"

#include <utility>

#include "proxy/headers.h"
#include "simulation/completion_protocol.h"

namespace ochrespring::simulation {

using oracle::AnswerVerdict;

namespace {

constexpr std::uint16_t kFirstSuccess = 200;
constexpr std::uint16_t kFirstRedirect = 300;

bool is_success(std::uint16_t status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

}  // namespace

void CallerRecord::on_finish() {
  if (!head_) {
    end(AnswerVerdict::kUnknown, {});
    return;
  }
  const std::string_view stated = http::find_header(head_->headers, proxy::header::kOutcome);
  if (stated == "not-run") {
    end(AnswerVerdict::kNotRun, {});
  } else if (stated == "unknown" || !is_success(head_->status)) {
    end(AnswerVerdict::kUnknown, {});
  } else {
    end(AnswerVerdict::kWhole, request_.completion ? text_of_answer(body_) : body_);
  }
}

void CallerRecord::on_abort() {
  end(AnswerVerdict::kUnknown, {});
}

void CallerRecord::on_gone() {
  end(AnswerVerdict::kGone, {});
}

void CallerRecord::end(AnswerVerdict verdict, std::string answer) {
  if (ended_) {
    return;
  }
  ended_ = true;
  surroundings_.observe(oracle::RequestEnded{request_.id, verdict, std::move(answer)});
}

void SimulatedCallerStream::send_head(const proxy::BackendResponseHead& head) {
  proxy::BackendResponseHead seen = head;
  for (proxy::Header& header : seen.headers) {
    if (hides_unknown_ && header.name == proxy::header::kOutcome && header.value == "unknown") {
      header.value = "not-run";
    }
  }
  record_->on_head(seen);
}

SimulatedCallerStream::~SimulatedCallerStream() {
  // A connection that closes before its end is proven is a cut.
  record_->on_abort();
}

}  // namespace ochrespring::simulation
