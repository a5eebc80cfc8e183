#include "standin/engine_process.h"

#include <algorithm>
#include <utility>

namespace ochrespring::standin {

using engine::OrderAction;
using engine_model::SequenceEventKind;
using engine_model::SubmitResult;

namespace {

constexpr std::size_t kReportsKept = 4096;
constexpr std::size_t kCacheEventsKept = 4096;
constexpr Duration kWeightRetry = std::chrono::milliseconds(500);
/// Weights of an adapter, as a part of a model's.
constexpr std::uint64_t kAdapterWeightDivisor = 64;
constexpr std::uint64_t kCacheLossSeed = 77;

engine_model::EngineParameters with_token_reports(engine_model::EngineParameters parameters) {
  parameters.report_tokens = true;
  return parameters;
}

bool loads_weights(OrderAction action) {
  return action == OrderAction::kLoadModel || action == OrderAction::kLoadAdapter;
}

std::string weight_name(const engine::EngineOrder& order) {
  if (order.action == OrderAction::kLoadAdapter) {
    return order.adapter.value();
  }
  return order.model.value() + "@" + order.version.value();
}

}  // namespace

EngineProcess::EngineProcess(const Clock& clock, TimerService& timers, FaultInjector& faults,
                             external::WeightStore* weights, EngineProcessSettings settings)
    : clock_(clock),
      faults_(faults),
      weights_(weights),
      settings_(std::move(settings)),
      started_(clock.now()),
      model_(settings_.initial.engine, settings_.initial.role,
             with_token_reports(settings_.parameters)),
      orders_(settings_.initial),
      cache_loss_(kCacheLossSeed),
      step_(timers),
      order_(timers),
      crash_timer_(timers),
      sampling_(timers) {
  sample();
}

MonotonicTime EngineProcess::model_now() const {
  const Duration real = clock_.now() - started_;
  return MonotonicTime(from_seconds(to_seconds(real) * settings_.time_scale));
}

Duration EngineProcess::real_span(Duration model_span) const {
  return from_seconds(to_seconds(model_span) / settings_.time_scale);
}

SubmitResult EngineProcess::submit(engine_model::SequenceSpec spec, Duration import_delay,
                                   SequenceObserver& observer) {
  if (!orders_.serving()) {
    return SubmitResult::kOutOfService;
  }
  const MonotonicTime now = model_now();
  spec.import_ready = now + import_delay;
  const SubmitResult result = model_.submit(spec, now);
  if (result == SubmitResult::kAccepted) {
    observers_[spec.id] = &observer;
  }
  arm_step();
  return result;
}

void EngineProcess::cancel(SequenceId sequence) {
  observers_.erase(sequence);
  model_.cancel(sequence, model_now());
  arm_step();
}

bool EngineProcess::running(SequenceId sequence) const {
  const auto progress = model_.progress(sequence);
  return progress && progress->running;
}

std::optional<Duration> EngineProcess::export_cache(SequenceId sequence,
                                                    engine_model::Distance distance) {
  const auto progress = model_.progress(sequence);
  if (!progress) {
    return std::nullopt;
  }
  const MonotonicTime now = model_now();
  const MonotonicTime arrived = model_.export_cache(sequence, distance, now);
  arm_step();
  if (arrived > now) {
    observers_.erase(sequence);  // It leaves with its cache; nothing more is told of it.
    return arrived - now;
  }
  // A running sequence goes on here; its cache is copied.
  const std::uint64_t bytes = progress->context_tokens * settings_.parameters.kv_bytes_per_token;
  return from_seconds(settings_.parameters.transfer.transfer_seconds(bytes, distance));
}

void EngineProcess::advance() {
  model_.advance(model_now());
  for (const engine_model::SequenceEvent& event : model_.take_events()) {
    dispatch(event);
  }
  arm_step();
}

void EngineProcess::dispatch(const engine_model::SequenceEvent& event) {
  const auto found = observers_.find(event.sequence);
  if (found == observers_.end()) {
    return;
  }
  SequenceObserver& observer = *found->second;
  switch (event.kind) {
    case SequenceEventKind::kFirstToken:
    case SequenceEventKind::kToken:
      observer.on_tokens(event.tokens_done);
      break;
    case SequenceEventKind::kPrefilled:
      observer.on_prefilled();
      break;
    case SequenceEventKind::kFinished:
      observers_.erase(found);
      observer.on_finished(event.tokens_done);
      break;
    case SequenceEventKind::kDropped:
      observers_.erase(found);
      observer.on_dropped();
      break;
  }
}

void EngineProcess::arm_step() {
  const std::optional<MonotonicTime> next = model_.next_event_time();
  if (!next) {
    step_.disarm();
    return;
  }
  const Duration wait = std::max(Duration::zero(), *next - model_now());
  step_.arm(real_span(wait), [this] { advance(); });
}

OrderVerdict EngineProcess::accept(const engine::EngineOrder& order) {
  const OrderVerdict verdict = orders_.accept(order);
  if (verdict != OrderVerdict::kAccepted) {
    return verdict;
  }
  if (order.action == OrderAction::kSetChunk) {
    model_.set_prefill_chunk(order.prefill_chunk_tokens);
  }
  if (leaves_service(order.action)) {
    begin_order(order);
  }
  return verdict;
}

void EngineProcess::begin_order(const engine::EngineOrder& order) {
  const engine_model::EngineParameters& parameters = settings_.parameters;
  if (!loads_weights(order.action)) {
    model_.change_role(order.role, model_now());
    take_out_of_service(parameters.role_change);
  } else {
    model_.change_model(parameters.model_change, model_now());
    if (weights_ == nullptr) {
      take_out_of_service(parameters.model_change);
    } else {
      fetch_weights(order);
    }
  }
  advance();
}

void EngineProcess::fetch_weights(const engine::EngineOrder& order) {
  const std::uint64_t bytes = order.action == OrderAction::kLoadAdapter
                                  ? settings_.weight_bytes / kAdapterWeightDivisor
                                  : settings_.weight_bytes;
  const Incarnation incarnation = orders_.status().incarnation;
  weights_->fetch(weight_name(order), bytes,
                  [this, order, incarnation](
                      const Result<external::FetchGrant, external::ExternalError>& granted) {
                    if (orders_.status().incarnation != incarnation) {
                      return;  // The process that asked has crashed.
                    }
                    if (granted.has_error()) {
                      order_.arm(kWeightRetry, [this, order] { fetch_weights(order); });
                      return;
                    }
                    take_out_of_service(granted.value().transfer);
                  });
}

void EngineProcess::take_out_of_service(Duration span) {
  const Duration real = real_span(span);
  order_.arm(real, [this] { complete_order(); });
  if (faults_.draw_crash_in_order()) {
    crash_timer_.arm(real / 2, [this] { crash(); });
  }
}

void EngineProcess::complete_order() {
  orders_.complete();
  advance();
}

void EngineProcess::crash() {
  if (faults_.settings().crash_exits && crash_exit_) {
    crash_exit_();
    return;
  }
  order_.disarm();
  crash_timer_.disarm();
  const MonotonicTime now = model_now();
  orders_.crash(orders_.status().incarnation.next(), faults_.settings().forget_fence);
  model_.crash(settings_.parameters.restart, now);
  advance();
  // The new process knows its command line only: the starting role, an empty cache.
  model_ = engine_model::EngineModel(settings_.initial.engine, settings_.initial.role,
                                     with_token_reports(settings_.parameters));
  model_.crash(settings_.parameters.restart, now);
  reports_.clear();
  cache_events_.clear();
  last_cache_event_ = 0;
  arm_step();
}

engine::EngineStatus EngineProcess::status() {
  advance();
  engine::EngineStatus status = orders_.status();
  if (model_.phase() == engine::EnginePhase::kStarting) {
    status.phase = engine::EnginePhase::kStarting;
  }
  status.in_flight = model_.in_flight();
  status.prefill_chunk_tokens = model_.parameters().prefill_chunk_tokens;
  return status;
}

std::optional<engine::LoadReport> EngineProcess::load_report() {
  const MonotonicTime now = clock_.now();
  const MonotonicTime visible = now - settings_.report_lag - faults_.settings().lag;
  const auto newer = std::find_if(reports_.begin(), reports_.end(),
                                  [visible](const auto& report) { return report.taken > visible; });
  if (newer == reports_.begin()) {
    return std::nullopt;
  }
  const TimedReport& shown = *std::prev(newer);
  engine::LoadReport report = shown.report;
  report.age = now - shown.taken;
  return report;
}

external::CacheEventBatch EngineProcess::cache_events(std::uint64_t after) {
  const MonotonicTime visible = clock_.now() - settings_.cache_event_lag - faults_.settings().lag;
  external::CacheEventBatch batch;
  batch.incarnation = orders_.status().incarnation;
  for (const TimedCacheEvent& event : cache_events_) {
    if (event.event.sequence > after && event.taken <= visible) {
      batch.events.push_back(event.event);
    }
  }
  return batch;
}

void EngineProcess::sample() {
  advance();
  engine::LoadReport report = model_.load_report(model_now());
  report.incarnation = orders_.status().incarnation;
  reports_.push_back({clock_.now(), std::move(report)});
  if (reports_.size() > kReportsKept) {
    reports_.pop_front();
  }
  collect_cache_events();
  sampling_.arm(settings_.report_interval, [this] { sample(); });
}

void EngineProcess::collect_cache_events() {
  for (engine::CacheEvent& event : model_.cache_events(last_cache_event_)) {
    last_cache_event_ = event.sequence;
    if (!cache_loss_.chance(settings_.cache_event_loss)) {
      cache_events_.push_back({clock_.now(), std::move(event)});
    }
  }
  while (cache_events_.size() > kCacheEventsKept) {
    cache_events_.pop_front();
  }
}

}  // namespace ochrespring::standin
