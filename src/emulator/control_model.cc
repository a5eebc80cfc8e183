#include "emulator/control_model.h"

#include <algorithm>
#include <array>

#include "planner/goodput_planner.h"
#include "planner/reactive_planner.h"

namespace ochrespring::emulator {
namespace {

/// After this no proxy dispatches to a draining engine any more.
constexpr Duration kGrantMargin = std::chrono::milliseconds(200);

std::unique_ptr<planner::Planner> make_planner(const PolicyConfiguration& policy) {
  if (policy.planner == PlannerKind::kReactive) {
    return std::make_unique<planner::ReactivePlanner>(policy.reactive);
  }
  if (policy.planner == PlannerKind::kGoodput) {
    return std::make_unique<planner::GoodputPlanner>(policy.goodput_planner);
  }
  return nullptr;
}

}  // namespace

ControlModel::ControlModel(const Deployment& deployment, const PolicyConfiguration& policy,
                           EnginePool& engines, ControlHost& host)
    : deployment_(deployment),
      policy_(policy),
      engines_(engines),
      host_(host),
      planner_(make_planner(policy)),
      changes_(engines.size()) {}

std::uint32_t ControlModel::changes_under_way() const {
  return static_cast<std::uint32_t>(std::count_if(
      changes_.begin(), changes_.end(), [](const auto& change) { return change.has_value(); }));
}

void ControlModel::start(std::uint32_t engine, fleet::EngineRole role, MonotonicTime now) {
  changes_[engine] = Change{role, now, false};
  engines_.record_control(engine, engines_.at(engine).model.role(), true, now);
}

void ControlModel::advance_changes(MonotonicTime now) {
  for (std::uint32_t i = 0; i < changes_.size(); ++i) {
    if (!changes_[i]) {
      continue;
    }
    Change& change = *changes_[i];
    engine_model::EngineModel& model = engines_.at(i).model;
    if (change.ordered) {
      if (model.phase() == engine::EnginePhase::kServing) {
        engines_.record_control(i, change.role, false, now);
        changes_[i].reset();
      }
      continue;
    }
    const Duration drained = now - change.started;
    const bool acknowledged =
        drained >= deployment_.control_lag + deployment_.view_interval + kGrantMargin;
    const bool empty = model.in_flight() == 0 && host_.attempts_under_way(i) == 0;
    if (acknowledged && !empty && drained >= deployment_.model_service.limits.drain) {
      host_.move_streams(i);
    }
    if (acknowledged && model.in_flight() == 0 && host_.attempts_under_way(i) == 0) {
      model.change_role(change.role, now);
      engines_.at(i).last_changed = now;
      change.ordered = true;
      ++role_changes_;
    }
  }
}

void ControlModel::on_crash(std::uint32_t engine, MonotonicTime now) {
  if (changes_[engine]) {
    engines_.record_control(engine, engines_.at(engine).model.role(), false, now);
    changes_[engine].reset();
  }
}

planner::PlannerInput ControlModel::make_input(const DemandTotals& demand,
                                               MonotonicTime now) const {
  planner::PlannerInput input;
  input.now = now;
  input.policy = deployment_.policy;
  input.services = {deployment_.model_service};
  input.models = {deployment_.model};
  planner::DemandSample sample;
  sample.model = deployment_.model.name;
  sample.taken = now;
  if (demand.seconds > 0) {
    sample.requests_per_second = demand.requests / demand.seconds;
    sample.prefill_tokens_per_second = demand.prefill_tokens / demand.seconds;
    sample.decode_tokens_per_second = demand.decode_tokens / demand.seconds;
  }
  sample.queued_requests = demand.waiting;
  input.demand = {sample};
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    const EmulatedEngine& engine = engines_.at(i);
    const router::EngineView view = engines_.view(i, now);
    planner::PlannerEngine entry;
    entry.id = engine.model.id();
    entry.service = view.service;
    entry.zone = view.zone;
    entry.role = changes_[i] ? changes_[i]->role : engine.model.role();
    entry.model = view.model;
    entry.phase = view.phase == engine::EnginePhase::kServing ? engine.model.phase() : view.phase;
    entry.draining = changes_[i] && !changes_[i]->ordered;
    entry.reachable = view.phase == engine::EnginePhase::kServing;
    entry.last_changed = engine.last_changed;
    entry.load = view.load;
    entry.load_taken = view.load_taken;
    input.engines.push_back(entry);
  }
  return input;
}

void ControlModel::plan(const DemandTotals& demand, MonotonicTime now) {
  if (policy_.planner == PlannerKind::kSchedule) {
    follow_schedule(now);
  }
  if (!planner_) {
    return;
  }
  for (const planner::PlannedAction& action : planner_->plan(make_input(demand, now))) {
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      if (engines_.at(i).model.id() != action.engine || changes_[i]) {
        continue;
      }
      if (action.action == engine::OrderAction::kSetChunk) {
        engines_.at(i).model.set_prefill_chunk(action.prefill_chunk_tokens);
      } else if (action.action == engine::OrderAction::kChangeRole &&
                 changes_under_way() < deployment_.policy.concurrent_changes) {
        start(i, action.role, now);
      }
    }
  }
}

void ControlModel::follow_schedule(MonotonicTime now) {
  const ScheduledSplit* wanted = nullptr;
  for (const ScheduledSplit& entry : policy_.schedule) {
    if (MonotonicTime(entry.at) <= now) {
      wanted = &entry;
    }
  }
  if (wanted == nullptr) {
    return;
  }
  // Surplus of each role against the plan; an engine of a role in surplus goes where one lacks.
  constexpr std::array kRoles{fleet::EngineRole::kPrefill, fleet::EngineRole::kDecode,
                              fleet::EngineRole::kMixed};
  std::array<int, 3> surplus{-static_cast<int>(wanted->split.prefill),
                             -static_cast<int>(wanted->split.decode),
                             -static_cast<int>(wanted->split.mixed)};
  const auto index_of = [&](fleet::EngineRole role) {
    return static_cast<std::size_t>(std::find(kRoles.begin(), kRoles.end(), role) - kRoles.begin());
  };
  const auto role_of = [&](std::uint32_t i) {
    return changes_[i] ? changes_[i]->role : engines_.at(i).model.role();
  };
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    ++surplus.at(index_of(role_of(i)));
  }
  for (std::uint32_t i = 0; i < engines_.size(); ++i) {
    const auto lacking = std::find_if(surplus.begin(), surplus.end(), [](int n) { return n < 0; });
    if (lacking == surplus.end() || changes_under_way() >= deployment_.policy.concurrent_changes) {
      return;
    }
    const std::size_t from = index_of(role_of(i));
    if (!changes_[i] && surplus.at(from) > 0 &&
        engines_.at(i).model.phase() == engine::EnginePhase::kServing) {
      start(i, kRoles.at(static_cast<std::size_t>(lacking - surplus.begin())), now);
      --surplus.at(from);
      ++*lacking;
    }
  }
}

}  // namespace ochrespring::emulator
