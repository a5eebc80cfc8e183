#include "engine_model/engine_model.h"

#include <algorithm>
#include <utility>

namespace ochrespring::engine_model {
namespace {

/// Shortest span over which reported rates are averaged.
constexpr Duration kRateWindow = std::chrono::seconds(1);

std::uint64_t blocks_of(std::uint64_t tokens) {
  return (tokens + engine::kTokensPerBlock - 1) / engine::kTokensPerBlock;
}

}  // namespace

bool EngineModel::QueuePosition::operator<(const QueuePosition& other) const {
  if (priority != other.priority) {
    return priority > other.priority;
  }
  return arrival < other.arrival;
}

EngineModel::EngineModel(EngineId id, fleet::EngineRole role, const EngineParameters& parameters)
    : id_(std::move(id)),
      role_(role),
      parameters_(parameters),
      cache_(parameters.kv_tokens_capacity / engine::kTokensPerBlock) {}

EngineModel::QueuePosition EngineModel::position_of(const Sequence& sequence) {
  return {sequence.spec.priority, sequence.arrival, sequence.spec.id};
}

bool EngineModel::role_accepts(const SequenceSpec& spec) const {
  if (role_ == fleet::EngineRole::kPrefill) {
    return spec.kind == SequenceKind::kPrefill;
  }
  if (role_ == fleet::EngineRole::kDecode && spec.kind != SequenceKind::kImport) {
    const std::uint32_t cached = cached_prompt_tokens(spec.blocks);
    const std::uint32_t prefill = spec.prompt_tokens + spec.resume_offset;
    return prefill <= cached + parameters_.decode_role_prompt_tokens;
  }
  return true;
}

SubmitResult EngineModel::submit(const SequenceSpec& spec, MonotonicTime now) {
  advance(now);
  if (phase_ != engine::EnginePhase::kServing) {
    return SubmitResult::kOutOfService;
  }
  if (sequences_.contains(spec.id)) {
    return SubmitResult::kDuplicate;
  }
  if (!role_accepts(spec)) {
    return SubmitResult::kWrongRole;
  }
  Sequence sequence;
  sequence.spec = spec;
  sequence.spec.output_tokens = std::max(spec.output_tokens, spec.resume_offset + 1);
  sequence.arrival = next_arrival_++;
  sequence.prefill_target = std::max(1U, spec.prompt_tokens + spec.resume_offset);
  if (blocks_for(sequence) > cache_.capacity()) {
    return SubmitResult::kTooLong;
  }
  Sequence& stored = sequences_.emplace(spec.id, std::move(sequence)).first->second;
  if (spec.kind == SequenceKind::kImport) {
    stored.stage = Stage::kImporting;
    importing_.emplace(std::max(spec.import_ready, now), spec.id);
  } else {
    waiting_.insert(position_of(stored));
  }
  if (!step_) {
    start_step(now);
  }
  return SubmitResult::kAccepted;
}

bool EngineModel::cancel(SequenceId sequence, MonotonicTime now) {
  advance(now);
  const auto found = sequences_.find(sequence);
  if (found == sequences_.end()) {
    return false;
  }
  remove(sequence, found->second);
  return true;
}

void EngineModel::advance(MonotonicTime now) {
  return_to_service(now);
  while (step_ && step_->end <= now) {
    finish_step();
  }
  release_exports(now);
  if (!step_ && !importing_.empty() && importing_.begin()->first <= now) {
    // An idle engine starts when the KV cache arrived, which may be before the call.
    start_step(importing_.begin()->first);
    advance(now);
  }
}

std::optional<MonotonicTime> EngineModel::next_event_time() const {
  std::optional<MonotonicTime> next;
  const auto consider = [&next](MonotonicTime time) {
    if (!next || time < *next) {
      next = time;
    }
  };
  if (phase_ != engine::EnginePhase::kServing) {
    consider(out_of_service_until_);
  }
  if (!exporting_.empty()) {
    consider(exporting_.begin()->first);
  }
  if (step_) {
    const bool eventful = !step_->prefill.empty() || !awaiting_first_token_.empty() ||
                          parameters_.report_tokens ||
                          (!importing_.empty() && importing_.begin()->first <= step_->end);
    consider(eventful ? step_->end : next_finish_time());
  }
  if (!importing_.empty() && (!step_ || importing_.begin()->first > step_->end)) {
    consider(importing_.begin()->first);
  }
  return next;
}

MonotonicTime EngineModel::next_finish_time() const {
  if (decoding_.empty()) {
    return step_->end;
  }
  const std::uint64_t steps = decoding_.begin()->first - decode_steps_;
  if (steps <= 1) {
    return step_->end;
  }
  // Each later step reads one more token per sequence than the one before it.
  const auto more = static_cast<double>(steps - 1);
  const double first = to_seconds(step_->end - step_->start);
  const double growth = parameters_.cost.context_token * static_cast<double>(decoding_.size());
  return step_->end + from_seconds(more * first + growth * more * (more + 1) / 2);
}

std::vector<SequenceEvent> EngineModel::take_events() {
  taken_gaps_ = std::exchange(finished_gaps_, {});
  return std::exchange(events_, {});
}

void EngineModel::emit(SequenceEventKind kind, const Sequence& sequence, MonotonicTime at,
                       std::uint32_t tokens) {
  events_.push_back({kind, sequence.spec.id, at, tokens});
}

std::uint32_t EngineModel::tokens_done(const Sequence& sequence) const {
  if (sequence.stage != Stage::kDecoding) {
    return sequence.spec.resume_offset;
  }
  return sequence.tokens_at_start +
         static_cast<std::uint32_t>(decode_steps_ - sequence.decode_start);
}

std::uint32_t EngineModel::chunk_budget() const {
  return role_ == fleet::EngineRole::kPrefill ? parameters_.prefill_role_chunk_tokens
                                              : parameters_.prefill_chunk_tokens;
}

std::uint64_t EngineModel::blocks_for(const Sequence& sequence) const {
  const std::uint64_t output = sequence.spec.kind == SequenceKind::kPrefill
                                   ? 0
                                   : sequence.spec.output_tokens - sequence.spec.resume_offset;
  return blocks_of(sequence.prefill_target + output);
}

void EngineModel::start_step(MonotonicTime at) {
  step_.reset();
  if (phase_ != engine::EnginePhase::kServing) {
    return;
  }
  accept_imports(at);
  admit_waiting();
  Step step;
  step.start = at;
  StepLoad load;
  load.decode_sequences = static_cast<std::uint32_t>(decoding_.size());
  load.context_tokens = context_tokens_;
  step.decodes = load.decode_sequences > 0;
  step_ = std::move(step);
  plan_prefill(load);
  if (!step_->decodes && step_->prefill.empty()) {
    step_.reset();
    return;
  }
  step_->end = at + std::max(Duration(1), from_seconds(parameters_.cost.step_seconds(load)));
}

void EngineModel::accept_imports(MonotonicTime at) {
  while (!importing_.empty() && importing_.begin()->first <= at) {
    Sequence& sequence = sequences_.at(importing_.begin()->second);
    importing_.erase(importing_.begin());
    sequence.stage = Stage::kWaiting;
    waiting_.insert(position_of(sequence));
  }
}

void EngineModel::admit_waiting() {
  while (!waiting_.empty() &&
         decoding_.size() + prefilling_.size() < parameters_.maximum_sequences) {
    Sequence& sequence = sequences_.at(waiting_.begin()->id);
    if (!admit(sequence)) {
      return;
    }
    waiting_.erase(waiting_.begin());
    if (sequence.spec.kind == SequenceKind::kImport) {
      sequence.prefill_done = sequence.prefill_target;
      start_decoding(sequence, sequence.spec.resume_offset);
      awaiting_first_token_.push_back(sequence.spec.id);
    } else {
      sequence.stage = Stage::kPrefilling;
      prefilling_.insert(position_of(sequence));
    }
  }
}

bool EngineModel::admit(Sequence& sequence) {
  const std::span<const std::uint64_t> blocks(sequence.spec.blocks);
  // The last prompt token is always computed: its result is the first token of the answer.
  const std::size_t usable =
      std::min<std::size_t>(blocks.size(), (sequence.prefill_target - 1) / engine::kTokensPerBlock);
  const std::uint32_t hits = cache_.pin_prefix(blocks.first(usable));
  const std::uint64_t needed = blocks_for(sequence) - hits;
  if (!cache_.reserve(needed)) {
    cache_.unpin(blocks.first(hits));
    return false;
  }
  sequence.pinned_blocks = hits;
  sequence.private_blocks = needed;
  sequence.cached_tokens = hits * engine::kTokensPerBlock;
  sequence.prefill_done = sequence.cached_tokens;
  if (sequence.spec.kind != SequenceKind::kImport) {
    statistics_.cached_prompt_tokens += sequence.cached_tokens;
  }
  return true;
}

void EngineModel::plan_prefill(StepLoad& load) {
  std::uint32_t budget = chunk_budget();
  for (const QueuePosition& position : prefilling_) {
    if (budget == 0) {
      return;
    }
    const Sequence& sequence = sequences_.at(position.id);
    const std::uint32_t tokens = std::min(budget, sequence.prefill_target - sequence.prefill_done);
    const double mean_context = sequence.prefill_done + tokens / 2.0;
    load.prefill_tokens += tokens;
    load.prefill_token_contexts += tokens * mean_context;
    step_->prefill.push_back({position.id, tokens});
    budget -= tokens;
  }
}

void EngineModel::finish_step() {
  const Step step = std::move(*step_);
  const Duration length = step.end - step.start;
  statistics_.busy += length;
  ++statistics_.steps;
  if (step.decodes) {
    ++decode_steps_;
    context_tokens_ += decoding_.size();
    statistics_.decode_tokens += decoding_.size();
    step_gaps_.add(length);
    emit_decoded_tokens(step.end);
    finish_due_sequences(step.end);
  }
  for (const PrefillShare& share : step.prefill) {
    const auto found = sequences_.find(share.id);
    if (found == sequences_.end() || found->second.stage != Stage::kPrefilling) {
      continue;  // Cancelled during the step.
    }
    Sequence& sequence = found->second;
    sequence.prefill_done += share.tokens;
    statistics_.prefill_tokens += share.tokens;
    if (sequence.prefill_done >= sequence.prefill_target) {
      complete_prefill(sequence, step.end);
    }
  }
  start_step(step.end);
}

void EngineModel::emit_decoded_tokens(MonotonicTime at) {
  if (parameters_.report_tokens) {
    for (const auto& [finish, id] : decoding_) {
      const Sequence& sequence = sequences_.at(id);
      const bool first = tokens_done(sequence) == sequence.spec.resume_offset + 1;
      if (!first) {
        emit(SequenceEventKind::kToken, sequence, at, tokens_done(sequence));
      }
    }
  }
  for (const SequenceId id : awaiting_first_token_) {
    const auto found = sequences_.find(id);
    if (found != sequences_.end()) {
      found->second.gaps_at_start = step_gaps_;
      emit(SequenceEventKind::kFirstToken, found->second, at, tokens_done(found->second));
    }
  }
  awaiting_first_token_.clear();
}

void EngineModel::finish_due_sequences(MonotonicTime at) {
  while (!decoding_.empty() && decoding_.begin()->first <= decode_steps_) {
    const SequenceId id = decoding_.begin()->second;
    Sequence& sequence = sequences_.at(id);
    finished_gaps_[id] = step_gaps_.since(sequence.gaps_at_start);
    emit(SequenceEventKind::kFinished, sequence, at, tokens_done(sequence));
    ++statistics_.finished;
    remove(id, sequence);
  }
}

void EngineModel::complete_prefill(Sequence& sequence, MonotonicTime at) {
  prefilling_.erase(position_of(sequence));
  const std::span<const std::uint64_t> blocks(sequence.spec.blocks);
  const auto fresh = blocks.subspan(sequence.pinned_blocks);
  cache_.publish(fresh);
  sequence.private_blocks -= fresh.size();
  sequence.pinned_blocks += static_cast<std::uint32_t>(fresh.size());
  if (sequence.spec.kind == SequenceKind::kPrefill) {
    sequence.stage = Stage::kExporting;
    emit(SequenceEventKind::kPrefilled, sequence, at, sequence.spec.resume_offset);
    return;
  }
  start_decoding(sequence, sequence.spec.resume_offset + 1);
  ++statistics_.decode_tokens;
  emit(SequenceEventKind::kFirstToken, sequence, at, tokens_done(sequence));
  finish_due_sequences(at);
}

void EngineModel::start_decoding(Sequence& sequence, std::uint32_t done) {
  sequence.stage = Stage::kDecoding;
  sequence.decode_start = decode_steps_;
  sequence.tokens_at_start = done;
  sequence.finish_step = decode_steps_ + (sequence.spec.output_tokens - done);
  sequence.gaps_at_start = step_gaps_;
  context_tokens_ += sequence.prefill_target;
  decoding_.emplace(sequence.finish_step, sequence.spec.id);
}

void EngineModel::release_exports(MonotonicTime at) {
  while (!exporting_.empty() && exporting_.begin()->first <= at) {
    const SequenceId id = exporting_.begin()->second;
    remove(id, sequences_.at(id));
  }
}

void EngineModel::remove(SequenceId id, Sequence& sequence) {
  switch (sequence.stage) {
    case Stage::kImporting:
      std::erase_if(importing_, [id](const auto& entry) { return entry.second == id; });
      break;
    case Stage::kWaiting:
      waiting_.erase(position_of(sequence));
      break;
    case Stage::kPrefilling:
      prefilling_.erase(position_of(sequence));
      break;
    case Stage::kDecoding:
      decoding_.erase({sequence.finish_step, id});
      context_tokens_ -= sequence.prefill_target + (decode_steps_ - sequence.decode_start);
      break;
    case Stage::kExporting:
      std::erase_if(exporting_, [id](const auto& entry) { return entry.second == id; });
      break;
  }
  cache_.unpin(std::span<const std::uint64_t>(sequence.spec.blocks).first(sequence.pinned_blocks));
  cache_.release(sequence.private_blocks);
  sequences_.erase(id);
}

MonotonicTime EngineModel::export_cache(SequenceId sequence, Distance distance, MonotonicTime now) {
  advance(now);
  const auto found = sequences_.find(sequence);
  if (found == sequences_.end() || found->second.stage != Stage::kExporting) {
    return now;
  }
  const std::uint64_t bytes = found->second.prefill_target * parameters_.kv_bytes_per_token;
  const Duration span = from_seconds(parameters_.transfer.transfer_seconds(bytes, distance));
  link_free_ = std::max(link_free_, now) + span;
  exporting_.emplace(link_free_, sequence);
  return link_free_;
}

std::optional<SequenceProgress> EngineModel::progress(SequenceId sequence) const {
  const auto found = sequences_.find(sequence);
  if (found == sequences_.end()) {
    return std::nullopt;
  }
  const Sequence& entry = found->second;
  SequenceProgress progress;
  progress.tokens_done = tokens_done(entry);
  progress.cached_tokens = entry.cached_tokens;
  progress.context_tokens = entry.prefill_done;
  if (entry.stage == Stage::kDecoding) {
    progress.context_tokens += decode_steps_ - entry.decode_start;
  }
  progress.running = entry.stage == Stage::kPrefilling || entry.stage == Stage::kDecoding;
  return progress;
}

GapHistogram EngineModel::gaps(SequenceId sequence) const {
  const auto found = sequences_.find(sequence);
  if (found == sequences_.end() || found->second.stage != Stage::kDecoding) {
    return {};
  }
  return step_gaps_.since(found->second.gaps_at_start);
}

GapHistogram EngineModel::finished_gaps(SequenceId sequence) const {
  const auto found = taken_gaps_.find(sequence);
  return found == taken_gaps_.end() ? GapHistogram{} : found->second;
}

void EngineModel::drop_everything(MonotonicTime at) {
  // In order of arrival, so that the same run gives the same events on every machine.
  std::vector<const Sequence*> dropped;
  for (const auto& [id, sequence] : sequences_) {
    dropped.push_back(&sequence);
  }
  std::sort(dropped.begin(), dropped.end(),
            [](const Sequence* a, const Sequence* b) { return a->arrival < b->arrival; });
  for (const Sequence* sequence : dropped) {
    if (sequence->stage == Stage::kDecoding) {
      finished_gaps_[sequence->spec.id] = step_gaps_.since(sequence->gaps_at_start);
    }
    emit(SequenceEventKind::kDropped, *sequence, at, tokens_done(*sequence));
  }
  statistics_.dropped += dropped.size();
  sequences_.clear();
  waiting_.clear();
  prefilling_.clear();
  importing_.clear();
  decoding_.clear();
  exporting_.clear();
  awaiting_first_token_.clear();
  context_tokens_ = 0;
  step_.reset();
  cache_.clear();
}

void EngineModel::take_out_of_service(engine::EnginePhase phase, MonotonicTime until,
                                      MonotonicTime now) {
  advance(now);
  drop_everything(now);
  phase_ = phase;
  out_of_service_until_ = until;
}

void EngineModel::return_to_service(MonotonicTime now) {
  if (phase_ != engine::EnginePhase::kServing && out_of_service_until_ <= now) {
    phase_ = engine::EnginePhase::kServing;
  }
}

void EngineModel::change_role(fleet::EngineRole role, MonotonicTime now) {
  take_out_of_service(engine::EnginePhase::kChanging, now + parameters_.role_change, now);
  role_ = role;
}

void EngineModel::change_model(Duration span, MonotonicTime now) {
  take_out_of_service(engine::EnginePhase::kChanging, now + span, now);
}

void EngineModel::crash(Duration restart, MonotonicTime now) {
  take_out_of_service(engine::EnginePhase::kStarting, now + restart, now);
  incarnation_ = incarnation_.next();
  report_sequence_ = 0;
}

std::uint32_t EngineModel::cached_prompt_tokens(const std::vector<std::uint64_t>& blocks) const {
  return cache_.cached_prefix(blocks) * engine::kTokensPerBlock;
}

void EngineModel::sample_rates(MonotonicTime now) {
  const Duration span = now - rates_taken_;
  if (span < kRateWindow) {
    return;
  }
  const auto seconds = static_cast<float>(to_seconds(span));
  prefill_rate_ =
      static_cast<float>(statistics_.prefill_tokens - rates_base_.prefill_tokens) / seconds;
  decode_rate_ =
      static_cast<float>(statistics_.decode_tokens - rates_base_.decode_tokens) / seconds;
  rates_base_ = statistics_;
  rates_taken_ = now;
}

engine::LoadReport EngineModel::load_report(MonotonicTime now) {
  advance(now);
  sample_rates(now);
  engine::LoadReport report;
  report.engine = id_;
  report.incarnation = incarnation_;
  report.sequence = ++report_sequence_;
  report.queued_requests = static_cast<std::uint32_t>(waiting_.size() + importing_.size());
  report.running_sequences = static_cast<std::uint32_t>(prefilling_.size() + decoding_.size());
  for (const auto* queue : {&waiting_, &prefilling_}) {
    for (const QueuePosition& position : *queue) {
      const Sequence& sequence = sequences_.at(position.id);
      if (sequence.spec.kind != SequenceKind::kImport) {
        report.queued_prefill_tokens += sequence.prefill_target - sequence.prefill_done;
      }
    }
  }
  report.context_tokens = context_tokens_;
  report.kv_tokens_used = cache_.blocks_in_use() * engine::kTokensPerBlock;
  report.kv_tokens_capacity = cache_.capacity() * engine::kTokensPerBlock;
  report.prefill_tokens_per_second = prefill_rate_;
  report.decode_tokens_per_second = decode_rate_;
  report.prefill_chunk_tokens = chunk_budget();
  return report;
}

}  // namespace ochrespring::engine_model
