#include "standin/engine_run.h"

#include <utility>

namespace ochrespring::standin {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kGatewayTimeout = 504;
/// How long a prefilled KV cache is kept for another engine to fetch.
constexpr Duration kHandleLifetime = std::chrono::seconds(30);

}  // namespace

EngineFront::Run::Run(EngineFront& front, SequenceId sequence, const CompletionRequest& request,
                      const WriterPointer& response)
    : front_(front),
      sequence_(sequence),
      request_(request),
      handle_("kv-" + std::to_string(front.process_.order_status().incarnation.value()) + "-" +
              std::to_string(sequence)),
      answer_(request, front.id().value(), response),
      deadline_(front.loop_) {
  response->on_closed([&front, sequence] {
    const auto found = front.runs_.find(sequence);
    if (found != front.runs_.end()) {
      found->second->cancel();
    }
  });
  response->on_drained([&front, sequence] {
    const auto found = front.runs_.find(sequence);
    if (found != front.runs_.end()) {
      found->second->on_drained();
    }
  });
  if (request.deadline) {
    deadline_.arm(*request.deadline, [this] { on_deadline(); });
  }
}

void EngineFront::Run::cancel() {
  front_.process_.cancel(sequence_);
  answer_.abort();
  front_.end_run(sequence_);
}

void EngineFront::Run::exported() {
  front_.end_run(sequence_);
}

void EngineFront::Run::on_prefilled() {
  answer_json(answer_.response(), kOk, {{"id", request_.request_id}, {"kv_handle", handle_}},
              {{"x-request-id", request_.request_id}, {"x-engine", front_.id().value()}});
  deadline_.arm(kHandleLifetime, [this] {
    front_.process_.cancel(sequence_);
    front_.end_run(sequence_);
  });
}

void EngineFront::Run::on_finished(std::uint32_t /*tokens_done*/) {
  finished_ = true;
  answer_.complete();
  if (answer_.pump()) {
    front_.end_run(sequence_);
  }
}

void EngineFront::Run::on_dropped() {
  answer_.abort();
  front_.end_run(sequence_);
}

void EngineFront::Run::on_drained() {
  if (answer_.pump() && finished_) {
    front_.end_run(sequence_);
  }
}

void EngineFront::Run::on_deadline() {
  if (answer_.begun()) {
    cancel();
    return;
  }
  std::vector<http::Header> headers{{"x-request-id", request_.request_id}};
  if (!front_.process_.running(sequence_)) {
    headers.push_back({"x-not-run", "1"});
    headers.push_back({"x-not-run-reason", "overloaded"});
  }
  answer_error(answer_.response(), kGatewayTimeout, "deadline", "the time allowed is over",
               std::move(headers));
  front_.process_.cancel(sequence_);
  front_.end_run(sequence_);
}

}  // namespace ochrespring::standin
