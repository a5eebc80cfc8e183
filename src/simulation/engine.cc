#include "simulation/engine.h"

#include <utility>

#include "base/hash.h"
#include "simulation/completion_protocol.h"

namespace ochrespring::simulation {

using engine::EngineOrder;
using external::ExternalErrc;
using oracle::CutCause;

namespace {

constexpr Duration kTokenInterval = std::chrono::milliseconds(30);
constexpr Duration kFirstToken = std::chrono::milliseconds(120);
constexpr Duration kShortestOrder = std::chrono::seconds(1);
constexpr Duration kLongestOrder = std::chrono::seconds(4);
constexpr std::uint64_t kKvTokensCapacity = 200'000;

engine::EngineStatus initial_status(const EngineSite& site) {
  engine::EngineStatus status;
  status.engine = site.id;
  status.incarnation = Incarnation(1);
  status.role = site.role;
  status.model = site.model;
  status.version = site.version;
  return status;
}

proxy::BackendResponseHead whole_answer_head(const RequestId& id, const std::string& body) {
  proxy::BackendResponseHead head = answer_head(id, "application/json");
  head.headers.push_back({"content-length", std::to_string(body.size())});
  return head;
}

std::string describe(const EngineOrder& order) {
  return "action=" + std::to_string(static_cast<int>(order.action)) +
         " role=" + std::to_string(static_cast<int>(order.role)) + " model=" + order.model.value() +
         " version=" + order.version.value() + " adapter=" + order.adapter.value() +
         " chunk=" + std::to_string(order.prefill_chunk_tokens);
}

}  // namespace

SimulatedEngine::SimulatedEngine(EngineSite site, Surroundings surroundings)
    : site_(std::move(site)),
      surroundings_(surroundings),
      orders_(initial_status(site_)),
      order_timer_(surroundings.time),
      restart_timer_(surroundings.time),
      crash_timer_(surroundings.time) {}

engine::EngineStatus SimulatedEngine::status() const {
  engine::EngineStatus status = orders_.status();
  status.in_flight = static_cast<std::uint32_t>(runs_.size());
  return status;
}

SimulatedEngine::StatusResult SimulatedEngine::order(const EngineOrder& order, const NodeId& sender,
                                                     MonotonicTime sent) {
  force_acceptable(order);
  switch (orders_.accept(order)) {
    case standin::OrderVerdict::kStaleFence:
      return fail(ExternalErrc::kStaleFence, "a higher fence has been seen");
    case standin::OrderVerdict::kBusy:
      return fail(ExternalErrc::kBusy, "another order is being carried out");
    case standin::OrderVerdict::kWrongEngine:
      return fail(ExternalErrc::kRefused, "meant for another engine");
    case standin::OrderVerdict::kAccepted:
      break;
  }
  const bool changes = standin::leaves_service(order.action);
  surroundings_.observe(oracle::OrderTaken{site_.id, site_.zone, incarnation(), order.fence.epoch,
                                           order.fence.sequence, describe(order), changes, sender,
                                           sent});
  if (changes) {
    begin_order(order);
  }
  return status();
}

void SimulatedEngine::force_acceptable(const EngineOrder& order) {
  const engine::EngineStatus& status = orders_.status();
  if (site_.testing_faults.ignores_fence && order.fence <= status.highest_fence) {
    orders_.forget_fence();
  }
  if (site_.testing_faults.takes_while_busy && status.current_order &&
      order.fence > status.highest_fence) {
    orders_.complete();
  }
}

void SimulatedEngine::begin_order(const EngineOrder& /*order*/) {
  end_runs(CutCause::kPlannedChange);
  const Duration span = kShortestOrder + from_seconds(to_seconds(kLongestOrder - kShortestOrder) *
                                                      surroundings_.random.unit());
  order_timer_.arm(span, [this] { complete_order(); });
  if (crash_in_order_) {
    const EngineCrash planned = *std::exchange(crash_in_order_, std::nullopt);
    surroundings_.faults.count(FaultKind::kEngineCrashedDuringOrder);
    crash_timer_.arm(from_seconds(to_seconds(span) * surroundings_.random.unit()),
                     [this, planned] { crash(planned); });
  }
}

void SimulatedEngine::complete_order() {
  const auto order = orders_.status().current_order;
  orders_.complete();
  if (order) {
    surroundings_.observe(
        oracle::OrderEnded{site_.id, incarnation(), order->fence.epoch, order->fence.sequence});
  }
}

std::vector<engine::LoadReport> SimulatedEngine::load() {
  engine::LoadReport report;
  report.engine = site_.id;
  report.incarnation = incarnation();
  report.sequence = next_report_++;
  report.running_sequences = static_cast<std::uint32_t>(runs_.size());
  report.kv_tokens_capacity = kKvTokensCapacity;
  report.prefill_tokens_per_second = 8000;
  report.decode_tokens_per_second = 1000;
  return {report};
}

void SimulatedEngine::crash(const EngineCrash& crash) {
  surroundings_.faults.count(FaultKind::kEngineCrashed);
  if (crash.forgets_fence) {
    surroundings_.faults.count(FaultKind::kEngineForgotFence);
  }
  end_runs(CutCause::kFault);
  order_timer_.disarm();
  crash_timer_.disarm();
  down_ = true;
  orders_.crash(incarnation().next(), crash.forgets_fence);
  surroundings_.observe(oracle::EngineRestarted{site_.id, incarnation(), crash.forgets_fence});
  restart_timer_.arm(crash.down, [this] { down_ = false; });
}

void SimulatedEngine::serve(const ServedRequest& request, std::shared_ptr<ServerStream> stream) {
  if (!orders_.serving()) {
    stream->send_head(not_run_head(request.request.id, "changing"));
    stream->finish();
    return;
  }
  start_run(request, std::move(stream));
}

void SimulatedEngine::start_run(const ServedRequest& request,
                                std::shared_ptr<ServerStream> stream) {
  const auto asked = read_completion(request.request);
  if (!asked) {
    stream->send_head(not_run_head(request.request.id, "malformed"));
    stream->finish();
    return;
  }
  surroundings_.observe(
      oracle::RunStarted{site_.id, submission_of(request.request), "", request.sent});
  Run run{request,
          std::move(stream),
          asked->prompt,
          asked->resume_offset,
          asked->answer_tokens,
          asked->streaming,
          {},
          answer_faults_.take()};
  const std::uint64_t number = next_run_++;
  Duration first = kFirstToken;
  if (run.fault && run.fault->kind == AnswerFaultKind::kDelay) {
    surroundings_.faults.count(FaultKind::kAnswerLate);
    first += run.fault->delay;
  }
  runs_.emplace(number, std::move(run));
  run_timers_[number] =
      surroundings_.time.schedule_after(first, [this, number] { step_run(number); });
}

void SimulatedEngine::step_run(std::uint64_t number) {
  run_timers_.erase(number);
  Run& run = runs_.at(number);
  if (!run.stream->wanted()) {
    runs_.erase(number);
    return;
  }
  const bool first = run.text.empty();
  if (first && run.streaming) {
    run.stream->send_head(answer_head(run.request.request.id, "text/event-stream"));
  }
  const bool half_way = run.next_token * 2 >= run.end_token;
  if (run.fault && half_way && run.fault->kind != AnswerFaultKind::kDelay) {
    finish_run(run);
    runs_.erase(number);
    return;
  }
  const std::string token = answer_text(run.prompt, run.next_token, run.next_token + 1);
  const std::uint64_t offset = run.next_token++;
  run.text += token;
  if (run.streaming) {
    run.stream->send_body(token_event(run.request.request.id, offset, token));
  }
  if (run.next_token >= run.end_token) {
    finish_run(run);
    runs_.erase(number);
    return;
  }
  run_timers_[number] =
      surroundings_.time.schedule_after(kTokenInterval, [this, number] { step_run(number); });
}

void SimulatedEngine::finish_run(Run& run) {
  const RequestId& id = run.request.request.id;
  const RequestId submission = submission_of(run.request.request);
  const auto kind = run.fault ? run.fault->kind : AnswerFaultKind::kDelay;
  if (kind != AnswerFaultKind::kDelay) {
    surroundings_.observe(oracle::RunCut{site_.id, submission, CutCause::kFault});
  }
  switch (kind) {
    case AnswerFaultKind::kTruncate:
      surroundings_.faults.count(FaultKind::kAnswerTruncated);
      if (!run.streaming) {
        const std::string whole = whole_completion(run.text);
        run.stream->send_head(whole_answer_head(id, whole));
        run.stream->send_body(whole.substr(0, whole.size() / 2));
      }
      run.stream->finish();
      return;
    case AnswerFaultKind::kReset:
      surroundings_.faults.count(FaultKind::kConnectionReset);
      run.stream->reset();
      return;
    case AnswerFaultKind::kCross:
      surroundings_.faults.count(FaultKind::kAnswerCrossed);
      if (run.streaming) {
        const std::string foreign = answer_text(run.prompt + "?", run.next_token, run.end_token);
        run.stream->send_body(
            token_event(RequestId("other-" + id.value()), run.next_token, foreign));
        run.stream->send_body(std::string(kEndEvent));
        run.stream->finish();
        return;
      }
      run.stream->send_head(answer_head(RequestId("other-" + id.value()), "application/json"));
      run.stream->send_body(whole_completion(last_answer_));
      run.stream->finish();
      return;
    case AnswerFaultKind::kDelay:
      break;
  }
  last_answer_ = run.text;
  if (run.streaming) {
    run.stream->send_body(std::string(kEndEvent));
  } else {
    const std::string whole = whole_completion(run.text);
    run.stream->send_head(whole_answer_head(id, whole));
    run.stream->send_body(whole);
  }
  run.stream->finish();
}

void SimulatedEngine::end_runs(CutCause cause) {
  for (const auto& [number, timer] : run_timers_) {
    surroundings_.time.cancel(timer);
  }
  run_timers_.clear();
  auto runs = std::exchange(runs_, {});
  for (auto& [number, run] : runs) {
    if (run.stream->wanted()) {
      surroundings_.observe(oracle::RunCut{site_.id, submission_of(run.request.request), cause});
      run.stream->reset();
    }
  }
}

}  // namespace ochrespring::simulation
