#include "simulated_engine.h"

#include <chrono>
#include <cmath>
#include <utility>

namespace ochrespring::gateway_load {

namespace {

/// Factor on the prefill time of an engine that also decodes.
constexpr double kMixedPrefillSlowdown = 2;

bool is_prefill_only(const gateway::Backend& backend) {
  return backend.role == gateway::EngineRole::kPrefill;
}

engine_model::EngineParameters parameters_of(const gateway::Backend& backend,
                                             const EnginePerformance& performance) {
  const double prompt_token = 1e-3 / performance.prompt_tokens_per_ms;
  engine_model::EngineParameters parameters;
  // The model adds `step_base` to every step, but a step without decode has no fixed cost.
  parameters.cost = {
      .step_base = is_prefill_only(backend) ? 0 : to_seconds(performance.output_token),
      .prefill_token =
          is_prefill_only(backend) ? prompt_token : kMixedPrefillSlowdown * prompt_token,
      .prefill_token_context = 0,
      .decode_sequence = 0,
      .context_token = 0};
  parameters.prefill_chunk_tokens = performance.chunk_tokens;
  parameters.prefill_role_chunk_tokens = performance.chunk_tokens;
  parameters.maximum_sequences = performance.slots;
  parameters.report_tokens = true;
  return parameters;
}

}  // namespace

SimulatedEngine::SimulatedEngine(gateway::Backend backend, const EnginePerformance& performance,
                                 double speed)
    : backend_(std::move(backend)),
      performance_(performance),
      speed_(speed),
      model_(EngineId(backend_.id.value()),
             is_prefill_only(backend_) ? fleet::EngineRole::kPrefill : fleet::EngineRole::kMixed,
             parameters_of(backend_, performance)) {}

MonotonicTime SimulatedEngine::to_local(MonotonicTime at) const {
  return local_at_change_ + from_seconds(to_seconds(at - changed_at_) * speed_ / slowdown_);
}

MonotonicTime SimulatedEngine::from_local(MonotonicTime at) const {
  return changed_at_ + from_seconds(to_seconds(at - local_at_change_) * slowdown_ / speed_);
}

void SimulatedEngine::collect(MonotonicTime now) {
  model_.advance(to_local(now));
  for (engine_model::SequenceEvent event : model_.take_events()) {
    event.at = from_local(event.at);
    events_.push_back(event);
  }
}

void SimulatedEngine::set_slowdown(double factor, MonotonicTime now) {
  collect(now);
  local_at_change_ = to_local(now);
  changed_at_ = now;
  slowdown_ = factor;
}

void SimulatedEngine::submit(engine_model::SequenceSpec spec, MonotonicTime now) {
  if (spec.kind == engine_model::SequenceKind::kImport) {
    spec.import_ready = to_local(spec.import_ready);
  }
  model_.submit(spec, to_local(now));
}

void SimulatedEngine::cancel(engine_model::SequenceId sequence, MonotonicTime now) {
  model_.cancel(sequence, to_local(now));
}

MonotonicTime SimulatedEngine::export_cache(engine_model::SequenceId sequence,
                                            engine_model::Distance distance, MonotonicTime now) {
  return from_local(model_.export_cache(sequence, distance, to_local(now)));
}

std::vector<engine_model::SequenceEvent> SimulatedEngine::advance(MonotonicTime now) {
  collect(now);
  return std::exchange(events_, {});
}

gateway::ReportedLoad SimulatedEngine::report() const {
  const std::uint32_t all = model_.in_flight();
  const std::uint32_t running = std::min(all, performance_.slots);
  return {.running = running,
          .waiting = all - running,
          .slots = performance_.slots,
          .pace_percent = static_cast<std::uint32_t>(std::lround(slowdown_ * 100))};
}

gateway::EngineProfile SimulatedEngine::profile() const {
  return {.output_token = from_seconds(to_seconds(performance_.output_token) / speed_),
          .prompt_token = from_seconds(1e-3 / performance_.prompt_tokens_per_ms / speed_)};
}

}  // namespace ochrespring::gateway_load
