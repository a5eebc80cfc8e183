#include "router/engine_table.h"

#include <algorithm>

namespace ochrespring::router {
namespace {

/// Sends remembered per engine; older ones are in any report that still matters.
constexpr std::size_t kRememberedSends = 512;

/// Even if others seem to send all an engine can take, some of its backlog drains.
constexpr double kLeastDrainShare = 0.05;

void forget_oldest_send(TrackedEngine& engine) {
  engine.sent_context_tokens -= engine.sent.front().context_tokens;
  engine.sent.pop_front();
}

}  // namespace

void EngineTable::update(const FleetView& view, MonotonicTime now) {
  bool regroup = order_.size() != view.engines.size();
  for (std::size_t i = 0; i < view.engines.size(); ++i) {
    const EngineView& engine = view.engines[i];
    const bool in_place = i < order_.size() && engines_[order_[i]].view.id == engine.id;
    if (in_place) {
      TrackedEngine& tracked = engines_[order_[i]];
      regroup =
          regroup || tracked.view.service != engine.service || tracked.view.model != engine.model;
      refresh(tracked, engine, now);
    } else {
      regroup = true;
      break;
    }
  }
  if (!regroup) {
    return;
  }
  for (TrackedEngine& engine : engines_) {
    engine.present = false;
  }
  order_.clear();
  for (const EngineView& engine : view.engines) {
    EngineSlot slot = find(engine.id);
    if (slot == kNoSlot) {
      if (free_.empty()) {
        slot = static_cast<EngineSlot>(engines_.size());
        engines_.emplace_back();
      } else {
        slot = free_.back();
        free_.pop_back();
        const std::uint32_t epoch = engines_[slot].epoch + 1;
        engines_[slot] = TrackedEngine{};
        engines_[slot].epoch = epoch;
      }
      slots_[engine.id] = slot;
    }
    engines_[slot].present = true;
    order_.push_back(slot);
    refresh(engines_[slot], engine, now);
  }
  for (auto entry = slots_.begin(); entry != slots_.end();) {
    // A slot with requests in flight keeps its counts until they end.
    const TrackedEngine& engine = engines_[entry->second];
    if (!engine.present && engine.own_in_flight == 0) {
      free_.push_back(entry->second);
      entry = slots_.erase(entry);
    } else {
      ++entry;
    }
  }
  rebuild_groups();
}

void EngineTable::rebuild_groups() {
  groups_.clear();
  for (const EngineSlot slot : order_) {
    const EngineView& view = engines_[slot].view;
    groups_[{view.service, view.model}].push_back(slot);
    if (!view.model.empty()) {
      groups_[{view.service, ModelName()}].push_back(slot);
    }
  }
}

void EngineTable::refresh(TrackedEngine& engine, const EngineView& view, MonotonicTime now) {
  const bool restarted = engine.view.load.incarnation != view.load.incarnation;
  const bool role_changed = engine.view.role != view.role || engine.view.model != view.model;
  const bool newer = restarted || view.load.sequence != engine.view.load.sequence ||
                     view.load_taken != engine.view.load_taken;
  engine.view = view;
  if (restarted || role_changed) {
    ++engine.epoch;
  }
  if (!newer && !role_changed) {
    return;
  }
  const MonotonicTime taken = std::min(view.load_taken, now);
  while (!engine.sent.empty() && engine.sent.front().at <= taken) {
    forget_oldest_send(engine);
  }
  engine.backlog_tokens = view.load.queued_prefill_tokens;
  engine.backlog_at = taken;
  engine.running = view.load.running_sequences + view.load.queued_requests;
  engine.context_tokens = static_cast<double>(view.load.context_tokens);
  LoadEstimate load;
  load.role = view.role;
  load.running = engine.running;
  load.context_tokens = engine.context_tokens;
  if (view.load.prefill_chunk_tokens > 0) {
    load.chunk_tokens = view.load.prefill_chunk_tokens;
  }
  // What other proxies send after the report is not seen until the next: expect them to go on as
  // they did, so that a backlog does not seem to melt.
  const double capacity = prefill_rate(parameters_.cost, load);
  const double others = parameters_.others_share * view.load.prefill_tokens_per_second;
  engine.drain_rate = std::max(kLeastDrainShare * capacity, capacity - others);
  if (parameters_.correct_lag) {
    replay_sent(engine);
  }
}

void EngineTable::replay_sent(TrackedEngine& engine) {
  for (const TrackedEngine::Sent& sent : engine.sent) {
    const double drained = engine.drain_rate * to_seconds(sent.at - engine.backlog_at);
    engine.backlog_tokens = std::max(0.0, engine.backlog_tokens - drained) +
                            parameters_.own_weight * sent.backlog_tokens;
    engine.backlog_at = sent.at;
    engine.running += parameters_.own_weight;
    engine.context_tokens += parameters_.own_weight * sent.context_tokens;
  }
}

const EngineTable::Group* EngineTable::group(const ServiceName& service,
                                             const ModelName& model) const {
  const auto found = groups_.find({service, model});
  return found == groups_.end() ? nullptr : &found->second;
}

bool EngineTable::knows_service(const ServiceName& service) const {
  return groups_.contains({service, ModelName()});
}

EngineSlot EngineTable::find(const EngineId& id) const {
  const auto found = slots_.find(id);
  return found == slots_.end() ? kNoSlot : found->second;
}

bool EngineTable::dispatchable(EngineSlot slot, MonotonicTime now) const {
  const TrackedEngine& engine = engines_[slot];
  return engine.present && engine.view.phase == engine::EnginePhase::kServing &&
         !engine.view.draining && now < engine.view.dispatchable_until;
}

LoadEstimate EngineTable::estimate(EngineSlot slot, MonotonicTime now) const {
  const TrackedEngine& engine = engines_[slot];
  LoadEstimate load;
  load.role = engine.view.role;
  const double drained = engine.drain_rate * to_seconds(now - engine.backlog_at);
  load.backlog_tokens = std::max(0.0, engine.backlog_tokens - drained);
  load.running = std::max(engine.running, static_cast<double>(engine.own_in_flight));
  load.context_tokens = std::max(0.0, engine.context_tokens);
  // What is known without any report: own requests that have not answered are still there.
  const double weight = parameters_.outstanding_weight;
  load.backlog_tokens = std::max(load.backlog_tokens, weight * engine.own_prefill_tokens);
  load.running = std::max(load.running, weight * engine.own_decodes);
  load.context_tokens = std::max(load.context_tokens, weight * engine.own_context_tokens);
  const engine::LoadReport& report = engine.view.load;
  load.kv_tokens_free = report.kv_tokens_capacity == 0
                            ? 1e12
                            : static_cast<double>(report.kv_tokens_capacity) -
                                  static_cast<double>(report.kv_tokens_used);
  load.kv_tokens_free -= engine.sent_context_tokens;
  if (report.prefill_chunk_tokens > 0) {
    load.chunk_tokens = report.prefill_chunk_tokens;
  }
  return load;
}

void EngineTable::on_sent(EngineSlot slot, double backlog_tokens, double context_tokens,
                          MonotonicTime now) {
  TrackedEngine& engine = engines_[slot];
  ++engine.own_in_flight;
  engine.own_prefill_tokens += backlog_tokens;
  engine.own_context_tokens += context_tokens;
  engine.own_decodes += context_tokens > 0 ? 1 : 0;
  if (!parameters_.correct_lag) {
    return;
  }
  const double drained = engine.drain_rate * to_seconds(now - engine.backlog_at);
  engine.backlog_tokens =
      std::max(0.0, engine.backlog_tokens - drained) + parameters_.own_weight * backlog_tokens;
  engine.backlog_at = now;
  engine.running += parameters_.own_weight;
  engine.context_tokens += parameters_.own_weight * context_tokens;
  engine.sent.push_back({now, backlog_tokens, context_tokens});
  engine.sent_context_tokens += context_tokens;
  if (engine.sent.size() > kRememberedSends) {
    forget_oldest_send(engine);
  }
}

void EngineTable::on_prefilled(EngineSlot slot, double backlog_tokens) {
  double& waiting = engines_[slot].own_prefill_tokens;
  waiting = std::max(0.0, waiting - backlog_tokens);
}

void EngineTable::on_ended(EngineSlot slot, double context_tokens) {
  TrackedEngine& engine = engines_[slot];
  if (engine.own_in_flight > 0) {
    --engine.own_in_flight;
  }
  engine.own_context_tokens = std::max(0.0, engine.own_context_tokens - context_tokens);
  engine.own_decodes = std::max(0.0, engine.own_decodes - (context_tokens > 0 ? 1 : 0));
  if (parameters_.correct_lag) {
    engine.running = std::max(0.0, engine.running - 1);
    engine.context_tokens = std::max(0.0, engine.context_tokens - context_tokens);
  }
}

}  // namespace ochrespring::router
