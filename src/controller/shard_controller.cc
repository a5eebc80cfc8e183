#include "controller/shard_controller.h"

#include <algorithm>
#include <utility>

#include "authority/shards.h"
#include "controller/desired_state.h"

namespace ochrespring::controller {

namespace {

constexpr Duration kFirstRetry = std::chrono::seconds(2);
constexpr Duration kLongestRetry = std::chrono::minutes(2);

OrderResult result_of(external::ExternalErrc code) {
  switch (code) {
    case external::ExternalErrc::kStaleFence:
      return OrderResult::kStale;
    case external::ExternalErrc::kUnknownEffect:
    case external::ExternalErrc::kMalformed:
      return OrderResult::kUnknown;
    case external::ExternalErrc::kNotSent:
    case external::ExternalErrc::kRateLimited:
    case external::ExternalErrc::kBusy:
    case external::ExternalErrc::kNotFound:
    case external::ExternalErrc::kRefused:
      return OrderResult::kRefused;
  }
  return OrderResult::kUnknown;
}

}  // namespace

/// The shard's grant ledger as the drivers see it.
class ShardController::LedgerGate final : public DrainGate {
 public:
  LedgerGate(const ControllerDependencies& dependencies, authority::ShardKey key, Epoch epoch)
      : dependencies_(dependencies), key_(std::move(key)), epoch_(epoch) {}

  void exclude(const EngineId& engine) override {
    restrict_engine(engine, grants::Restriction::kExcluded);
  }
  void request_moves(const EngineId& engine) override {
    restrict_engine(engine, grants::Restriction::kMoving);
  }
  void include(const EngineId& engine) override {
    grants::GrantLedger* ledger = current();
    if (ledger != nullptr && ledger->lift(engine)) {
      dependencies_.grants.publish(key_);
    }
  }
  void set_fenced(const EngineId& engine, bool fenced) override {
    grants::GrantLedger* ledger = current();
    if (ledger != nullptr && ledger->fenced(engine) != fenced) {
      ledger->set_fenced(engine, fenced);
      dependencies_.grants.publish(key_);
    }
  }
  bool acknowledged(const EngineId& engine) const override {
    const grants::GrantLedger* ledger = current();
    return ledger != nullptr && ledger->acknowledged(engine, dependencies_.clock.now());
  }
  std::uint32_t in_flight(const EngineId& engine) const override {
    const grants::GrantLedger* ledger = current();
    return ledger == nullptr ? 0 : ledger->in_flight(engine, dependencies_.clock.now());
  }

 private:
  void restrict_engine(const EngineId& engine, grants::Restriction restriction) {
    grants::GrantLedger* ledger = current();
    if (ledger != nullptr && ledger->restrict_engine(engine, restriction)) {
      dependencies_.grants.publish(key_);
    }
  }

  /// A later epoch of the shard has a ledger of its own.
  grants::GrantLedger* current() const {
    grants::GrantLedger* ledger = dependencies_.grants.ledger(key_);
    return ledger != nullptr && ledger->version().epoch == epoch_ ? ledger : nullptr;
  }

  ControllerDependencies dependencies_;
  authority::ShardKey key_;
  Epoch epoch_;
};

ShardController::ShardController(const ControllerDependencies& dependencies,
                                 const DriverSettings& settings, const authority::HeldLease& lease,
                                 ControllerStatistics& statistics)
    : dependencies_(dependencies),
      settings_(settings),
      lease_(lease),
      statistics_(statistics),
      gate_(std::make_unique<LedgerGate>(dependencies, lease.key, lease.epoch)) {}

ShardController::~ShardController() = default;

void ShardController::configure(const fleet::FleetDocument& document) {
  document_ = document;
  std::map<EngineId, ManagedEngine> updated;
  for (const fleet::Engine& engine : document_.engines) {
    const bool own = engine.zone == lease_.key.zone &&
                     authority::shard_of(engine.server, lease_.layout.shards) == lease_.key.shard;
    if (!own || is_ordinary(engine, document_)) {
      continue;
    }
    auto existing = engines_.extract(engine.id);
    if (!existing.empty()) {
      existing.mapped().configuration = engine;
      updated.insert(std::move(existing));
      continue;
    }
    ManagedEngine fresh{
        engine, EngineDriver(dependencies_.charts, engine.id, lease_.epoch, settings_), {}, {}, {}};
    fresh.driver.start(*gate_, dependencies_.clock.now());
    updated.emplace(engine.id, std::move(fresh));
  }
  engines_ = std::move(updated);
  for (auto& [id, engine] : engines_) {
    engine.driver.set_held_drained(engine.configuration.drained,
                                   drain_limit(engine.configuration, document_), *gate_,
                                   dependencies_.clock.now());
    run_commands(engine);
  }
  update_ordinary();
}

/// Back ends of ordinary services take no orders: there is nothing to fence, only to drain.
void ShardController::update_ordinary() {
  for (const fleet::Engine& engine :
       dependencies_.grants.engines_of(lease_.key, lease_.layout.shards)) {
    if (!is_ordinary(engine, document_)) {
      continue;
    }
    gate_->set_fenced(engine.id, true);
    if (engine.drained) {
      gate_->exclude(engine.id);
    } else {
      gate_->include(engine.id);
    }
  }
}

void ShardController::on_tick() {
  const MonotonicTime now = dependencies_.clock.now();
  for (auto& [id, engine] : engines_) {
    if (engine.driver.drained() && engine.driver.change()) {
      for (const fleet::Service& service : document_.services) {
        if (service.name == engine.configuration.service) {
          engine.driver.set_may_order(
              may_proceed(id, budget(service.name), service.limits, document_.policy));
        }
      }
    }
    engine.driver.on_tick(*gate_, now);
    run_commands(engine);
  }
}

void ShardController::on_load(const engine::LoadReport& report) {
  if (ManagedEngine* engine = managed(report.engine)) {
    engine->driver.on_incarnation(report.incarnation, *gate_, dependencies_.clock.now());
    run_commands(*engine);
  }
}

ShardController::ManagedEngine* ShardController::managed(const EngineId& engine) {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second;
}

const EngineDriver* ShardController::find(const EngineId& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end() ? nullptr : &found->second.driver;
}

std::optional<Decision> ShardController::decision(const EngineId& engine) const {
  const auto found = decisions_.find(engine);
  return found == decisions_.end() ? std::nullopt : std::optional(found->second);
}

void ShardController::run_commands(ManagedEngine& engine) {
  for (const DriverCommand command : engine.driver.take_commands()) {
    switch (command) {
      case DriverCommand::kReadStatus:
        read_status(engine);
        break;
      case DriverCommand::kSendOrder:
        send_order(engine);
        break;
      case DriverCommand::kSuperseded:
        ++statistics_.superseded;
        if (engine.driver.status()) {
          dependencies_.leases.require_epoch_above(lease_.key,
                                                   engine.driver.status()->highest_fence.epoch);
          return;  // The lease may have been given up, and with it this object's use.
        }
        break;
      case DriverCommand::kCompleted:
        finish(engine, true);
        break;
      case DriverCommand::kFailed:
        finish(engine, false);
        break;
    }
  }
}

void ShardController::read_status(ManagedEngine& engine) {
  ++statistics_.status_reads;
  dependencies_.engines.status(
      engine.configuration.endpoint,
      [this, id = engine.configuration.id, alive = std::weak_ptr(alive_)](auto result) {
        ManagedEngine* target = alive.expired() ? nullptr : managed(id);
        if (target == nullptr) {
          return;
        }
        const MonotonicTime now = dependencies_.clock.now();
        if (result.has_error() || result.value().engine != id) {
          target->driver.on_status_failed(*gate_, now);
        } else {
          target->driver.on_status(result.value(), *gate_, now);
        }
        run_commands(*target);
      });
}

void ShardController::send_order(ManagedEngine& engine) {
  const auto lease = dependencies_.leases.held(lease_.key);
  // Asked at the last moment; what slips past between this check and the sending, the fence stops.
  const bool held = lease && lease->epoch == lease_.epoch;
  if (!held && !settings_.faults.lease_not_checked) {
    ++statistics_.orders_withheld;
    return;
  }
  const engine::EngineOrder order = engine.driver.order();
  if (order.action == engine::OrderAction::kRaiseFence) {
    ++statistics_.fences_raised;
  } else {
    ++statistics_.orders_sent;
  }
  dependencies_.engines.order(
      engine.configuration.endpoint, order,
      [this, id = order.engine, fence = order.fence, alive = std::weak_ptr(alive_)](auto result) {
        ManagedEngine* target = alive.expired() ? nullptr : managed(id);
        if (target == nullptr) {
          return;
        }
        const OrderResult outcome =
            result.has_error() ? result_of(result.error().code) : OrderResult::kAccepted;
        target->driver.on_order_result(fence, outcome, *gate_, dependencies_.clock.now());
        run_commands(*target);
      });
}

void ShardController::finish(ManagedEngine& engine, bool completed) {
  engine.last_changed = dependencies_.clock.now();
  if (completed) {
    engine.retry_delay = Duration::zero();
    ++statistics_.changes_completed;
  } else {
    engine.retry_delay = std::clamp(engine.retry_delay * 2, kFirstRetry, kLongestRetry);
    engine.retry_at = dependencies_.clock.now() + engine.retry_delay;
    ++statistics_.changes_failed;
  }
  if (!engine.driver.finished()) {
    return;  // It was ordered by an earlier holder.
  }
  const bool role = engine.driver.finished()->order.action == engine::OrderAction::kChangeRole;
  statistics_.role_changes += completed && role ? 1 : 0;
  note(engine, completed ? DecisionOutcome::kCompleted : DecisionOutcome::kFailed,
       *engine.driver.finished());
}

void ShardController::note(ManagedEngine& engine, DecisionOutcome outcome,
                           const WantedChange& change) {
  decisions_[engine.configuration.id] =
      Decision{engine.configuration.id, dependencies_.clock.now(), lease_.epoch, outcome,
               change.order.action,     change.explanation};
}

void ShardController::plan() {
  for (const fleet::Service& service : document_.services) {
    if (service.kind == fleet::ServiceKind::kModel) {
      plan_service(service);
    }
  }
}

void ShardController::plan_service(const fleet::Service& service) {
  const planner::PlannerInput input = planner_input(service);
  if (input.engines.empty()) {
    return;
  }
  for (auto& [id, engine] : engines_) {
    if (engine.configuration.service != service.name || !engine.driver.ready() ||
        !engine.driver.status()) {
      continue;
    }
    if (const auto change =
            next_configured_change(engine.configuration, document_, *engine.driver.status())) {
      consider(service, *change);
    }
  }
  auto& planner = planners_[service.name];
  if (!planner && dependencies_.planner_factory) {
    planner = dependencies_.planner_factory(service.name);
  }
  if (!planner) {
    return;
  }
  for (const planner::PlannedAction& action : planner->plan(input)) {
    WantedChange change;
    change.reason = ChangeReason::kPlanner;
    change.explanation = action.reason;
    change.drain_limit = service.limits.drain;
    change.order.engine = action.engine;
    change.order.action = action.action;
    change.order.role = action.role;
    change.order.model = action.model;
    change.order.version = action.version;
    change.order.adapter = action.adapter;
    change.order.prefill_chunk_tokens = action.prefill_chunk_tokens;
    consider(service, change);
  }
}

/// Starts a change if the engine is free and the service can spare it.
void ShardController::consider(const fleet::Service& service, const WantedChange& change) {
  ManagedEngine* engine = managed(change.order.engine);
  const MonotonicTime now = dependencies_.clock.now();
  if (engine == nullptr || !engine->driver.ready() || now < engine->retry_at) {
    return;
  }
  const bool spare = !needs_drain(change.order.action) || engine->configuration.drained ||
                     may_start(budget(service.name), service.limits, document_.policy);
  const bool weights_busy = loads_weights(change.order.action) && loading();
  if (!spare || weights_busy) {
    note(*engine, DecisionOutcome::kHeldBack, change);
    return;
  }
  ++statistics_.changes_started;
  note(*engine, DecisionOutcome::kStarted, change);
  engine->driver.request_change(change, *gate_, now);
  run_commands(*engine);
}

/// The weight store's limit is shared by the fleet: a shard fetches one set at a time.
bool ShardController::loading() const {
  return std::any_of(engines_.begin(), engines_.end(), [](const auto& entry) {
    const auto& change = entry.second.driver.change();
    return change && loads_weights(change->order.action);
  });
}

std::vector<BudgetEngine> ShardController::budget(const ServiceName& service) const {
  std::vector<BudgetEngine> result;
  for (const fleet::Engine& engine : document_.engines) {
    if (engine.service != service) {
      continue;
    }
    BudgetEngine entry;
    entry.engine = engine.id;
    entry.shard = {engine.zone, authority::shard_of(engine.server, lease_.layout.shards)};
    if (const EngineDriver* driver = find(engine.id)) {
      entry.out = driver->out();
      entry.planned = driver->change().has_value();
    } else {
      entry.out = engine.drained || !dependencies_.observations.in_service(engine.id);
      entry.planned = entry.out && !engine.drained;
    }
    result.push_back(entry);
  }
  return result;
}

planner::PlannerInput ShardController::planner_input(const fleet::Service& service) const {
  planner::PlannerInput input;
  input.now = dependencies_.clock.now();
  input.policy = document_.policy;
  input.services = {service};
  std::size_t fleet_engines = 0;
  for (const fleet::Engine& engine : document_.engines) {
    fleet_engines += engine.service == service.name ? 1 : 0;
  }
  for (const fleet::Model& model : document_.models) {
    if (model.service == service.name) {
      input.models.push_back(model);
    }
  }
  for (const auto& [id, managed] : engines_) {
    if (managed.configuration.service != service.name || !managed.driver.status()) {
      continue;
    }
    const engine::EngineStatus& status = *managed.driver.status();
    planner::PlannerEngine engine;
    engine.id = id;
    engine.service = service.name;
    engine.zone = managed.configuration.zone;
    engine.role = status.role;
    engine.role_pinned = managed.configuration.role_pinned;
    engine.model = status.model;
    engine.version = status.version;
    engine.adapters = status.adapters;
    engine.phase = status.phase;
    engine.draining = managed.driver.out();
    engine.reachable = managed.driver.reachable();
    engine.last_changed = managed.last_changed;
    if (const auto load = dependencies_.observations.load(id)) {
      engine.load = load->first;
      engine.load_taken = load->second;
    }
    input.engines.push_back(std::move(engine));
  }
  // The planner sees this shard's engines and their share of the fleet's demand.
  const double share = fleet_engines == 0 ? 0
                                          : static_cast<double>(input.engines.size()) /
                                                static_cast<double>(fleet_engines);
  input.demand = dependencies_.observations.demand(service.name);
  for (planner::DemandSample& sample : input.demand) {
    sample.requests_per_second *= share;
    sample.prefill_tokens_per_second *= share;
    sample.decode_tokens_per_second *= share;
    sample.queued_requests *= share;
  }
  return input;
}

}  // namespace ochrespring::controller
