#include "simulation/relay.h"

#include <utility>

#include "proxy/headers.h"
#include "simulation/completion_protocol.h"

namespace ochrespring::simulation {
namespace {

constexpr Duration kServiceTime = std::chrono::milliseconds(20);

}  // namespace

std::string receipt_for(const std::string& idempotency_key) {
  return "receipt " + idempotency_key;
}

SimulatedRelay::SimulatedRelay(RelaySite site, Surroundings surroundings)
    : site_(std::move(site)), surroundings_(surroundings), restart_timer_(surroundings.time) {}

void SimulatedRelay::serve(const ServedRequest& request, std::shared_ptr<ServerStream> stream) {
  const std::string key(http::find_header(request.request.headers, proxy::header::kIdempotencyKey));
  log_.record_run(key);
  surroundings_.observe(
      oracle::RunStarted{site_.id, submission_of(request.request), key, request.sent});
  const std::uint64_t number = next_run_++;
  Run run{request, std::move(stream), key, answer_faults_.take()};
  Duration service_time = kServiceTime;
  if (run.fault && run.fault->kind == AnswerFaultKind::kDelay) {
    surroundings_.faults.count(FaultKind::kAnswerLate);
    service_time += run.fault->delay;
  }
  runs_.emplace(number, std::move(run));
  surroundings_.time.schedule_after(service_time, [this, number] { answer(number); });
}

void SimulatedRelay::answer(std::uint64_t number) {
  auto found = runs_.extract(number);
  if (found.empty()) {
    return;
  }
  const Run& run = found.mapped();
  const RequestId& id = run.request.request.id;
  const auto kind = run.fault ? run.fault->kind : AnswerFaultKind::kDelay;
  if (kind != AnswerFaultKind::kDelay) {
    surroundings_.observe(
        oracle::RunCut{site_.id, submission_of(run.request.request), oracle::CutCause::kFault});
  }
  const std::string receipt = receipt_for(run.key);
  proxy::BackendResponseHead head = answer_head(id, "text/plain");
  head.headers.push_back({"content-length", std::to_string(receipt.size())});
  switch (kind) {
    case AnswerFaultKind::kReset:
      surroundings_.faults.count(FaultKind::kConnectionReset);
      run.stream->reset();
      return;
    case AnswerFaultKind::kTruncate:
      surroundings_.faults.count(FaultKind::kAnswerTruncated);
      run.stream->send_head(head);
      run.stream->send_body(receipt.substr(0, receipt.size() / 2));
      run.stream->finish();
      return;
    case AnswerFaultKind::kCross:
      surroundings_.faults.count(FaultKind::kAnswerCrossed);
      run.stream->send_head(answer_head(RequestId("other-" + id.value()), "text/plain"));
      run.stream->send_body(receipt_for("other-" + run.key));
      run.stream->finish();
      return;
    case AnswerFaultKind::kDelay:
      run.stream->send_head(head);
      run.stream->send_body(receipt);
      run.stream->finish();
      return;
  }
}

void SimulatedRelay::crash(Duration down) {
  surroundings_.faults.count(FaultKind::kEngineCrashed);
  down_ = true;
  incarnation_ = incarnation_.next();
  auto runs = std::exchange(runs_, {});
  for (const auto& [number, run] : runs) {
    surroundings_.observe(
        oracle::RunCut{site_.id, submission_of(run.request.request), oracle::CutCause::kFault});
    run.stream->reset();
  }
  restart_timer_.arm(down, [this] { down_ = false; });
}

}  // namespace ochrespring::simulation
