#include "exploration/model.h"

#include <algorithm>
#include <utility>

#include "statechart/chart_library.h"
#include "wire/codec.h"

namespace ochrespring::exploration {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = seconds(1);
constexpr MonotonicTime kStart{seconds(100)};
const EngineId kEngine("engine");
const ServerId kServer("server");
const ZoneName kZone("zone");
const authority::ShardKey kShard{kZone, ShardId(0)};
const authority::VoterIdentity kVoter{NodeId("voter"), authority::BootId(1), Endpoint("voter")};
const authority::Electorate kElectorate{kZone, authority::Generation(1), {kVoter}};

const statechart::ChartLibrary& charts() {
  return statechart::ChartLibrary::built_in();
}

authority::AuthoritySettings make_authority_settings(Plant plant) {
  authority::AuthoritySettings settings;
  settings.lease = seconds(4);
  settings.renewal = seconds(2);
  settings.claim_timeout = seconds(1);
  settings.faults.deadline_from_answer = plant == Plant::kLeaseDeadlineFromAnswer;
  return settings;
}

grants::GrantSettings make_grant_settings(Plant plant) {
  grants::GrantSettings settings;
  settings.time_to_live = seconds(3);
  settings.faults.deadline_from_answer = plant == Plant::kGrantDeadlineFromAnswer;
  settings.faults.unknown_grants_ignored = plant == Plant::kEarlierGrantsIgnored;
  settings.faults.unfenced_trusted = plant == Plant::kUnfencedTrusted;
  return settings;
}

controller::DriverSettings make_driver_settings(Plant plant) {
  controller::DriverSettings settings;
  settings.busy_poll = milliseconds(500);
  settings.faults.order_before_drain = plant == Plant::kOrderBeforeDrain;
  settings.faults.in_flight_ignored = plant == Plant::kInFlightIgnored;
  return settings;
}

struct PlantName {
  Plant plant;
  std::string_view name;
};

constexpr std::array kPlantNames{
    PlantName{Plant::kFenceIgnored, "fence-ignored"},
    PlantName{Plant::kLeaseDeadlineFromAnswer, "lease-deadline-from-answer"},
    PlantName{Plant::kGrantDeadlineFromAnswer, "grant-deadline-from-answer"},
    PlantName{Plant::kOrderBeforeDrain, "order-before-drain"},
    PlantName{Plant::kInFlightIgnored, "in-flight-ignored"},
    PlantName{Plant::kEarlierGrantsIgnored, "earlier-grants-ignored"},
    PlantName{Plant::kUnfencedTrusted, "unfenced-trusted"},
};

}  // namespace

std::string_view plant_name(Plant plant) {
  for (const PlantName& entry : kPlantNames) {
    if (entry.plant == plant) {
      return entry.name;
    }
  }
  return "none";
}

std::optional<Plant> plant_of(std::string_view name) {
  for (const PlantName& entry : kPlantNames) {
    if (entry.name == name) {
      return entry.plant;
    }
  }
  return std::nullopt;
}

const std::vector<Plant>& all_plants() {
  static const std::vector<Plant> plants = [] {
    std::vector<Plant> result;
    for (const PlantName& entry : kPlantNames) {
      result.push_back(entry.plant);
    }
    return result;
  }();
  return plants;
}

std::string_view promise_name(Promise promise) {
  switch (promise) {
    case Promise::kOneHolder:
      return "at most one holder";
    case Promise::kNoRequestCut:
      return "no request cut by a planned change";
    case Promise::kNoConflictingOrders:
      return "no conflicting orders";
  }
  return "";
}

/// The ledger of one controller of the model, as its driver sees it.
class Model::Gate final : public controller::DrainGate {
 public:
  Gate(Model& model, std::size_t index) : model_(model), index_(index) {}

  void exclude(const EngineId& engine) override {
    restrict_engine(engine, grants::Restriction::kExcluded);
  }
  void request_moves(const EngineId& engine) override {
    restrict_engine(engine, grants::Restriction::kMoving);
  }
  void include(const EngineId& engine) override { ledger().lift(engine); }
  void set_fenced(const EngineId& engine, bool fenced) override {
    ledger().set_fenced(engine, fenced);
  }
  bool acknowledged(const EngineId& engine) const override {
    return ledger().acknowledged(engine, model_.now_);
  }
  std::uint32_t in_flight(const EngineId& engine) const override {
    return ledger().in_flight(engine, model_.now_);
  }

 private:
  grants::GrantLedger& ledger() const { return *model_.controllers_[index_].ledger; }
  void restrict_engine(const EngineId& engine, grants::Restriction restriction) {
    if (ledger().restrict_engine(engine, restriction)) {
      model_.send(index_, grants::RulesNotice{kShard, 1, ledger().rules()});
    }
  }

  Model& model_;
  std::size_t index_;
};

Model::Model(const Settings& settings)
    : settings_(settings),
      authority_settings_(make_authority_settings(settings.plant)),
      grant_settings_(make_grant_settings(settings.plant)),
      driver_settings_(make_driver_settings(settings.plant)),
      now_(kStart),
      voter_(kElectorate, kVoter, authority_settings_, kStart - seconds(60)),
      table_(grant_settings_) {
  for (std::size_t index = 0; index < kControllers; ++index) {
    controllers_.emplace_back(make_lease(index));
  }
  table_.set_engines({{kEngine, kServer, kZone}});
  engine_.engine = kEngine;
  engine_.incarnation = Incarnation(1);
  prepare();
}

authority::LeaseHolder Model::make_lease(std::size_t index) const {
  const std::uint64_t life = controllers_.size() > index ? controllers_[index].life : 1;
  const authority::VoterIdentity self{NodeId(std::to_string(index)),
                                      authority::BootId(10 * (index + 1) + life),
                                      Endpoint(std::to_string(index))};
  authority::LeaseHolder lease(charts().lease_holder, kShard, self, authority_settings_);
  lease.take_commands();
  lease.configure(kElectorate, {}, true);
  return lease;
}

/// Brings the system to the start by delivering everything at once.
void Model::prepare() {
  controllers_[0].lease.claim_due(now_);
  run_lease(0);
  deliver_all();
  now_ += grant_settings_.holder_time();
  ask(0);
  deliver_all();
  dispatch();
  settings_.dispatches += 1;
  deliver_all();
  if (settings_.start == Start::kSteady) {
    return;
  }
  want_change(0);
  deliver_all();
  if (settings_.start == Start::kDraining) {
    return;
  }
  finish_request();
  deliver_all();
  ask(0);
  deliver_all();
  now_ += kStep;
  controllers_[0].driver->on_tick(*std::make_unique<Gate>(*this, 0), now_);
  run_driver(0);
  // What is on the way now stays there: among it the order.
  for (int step = 0; step < 4; ++step) {
    for (std::size_t index = 0; index < messages_.size(); ++index) {
      if (!std::holds_alternative<engine::EngineOrder>(messages_[index].body)) {
        deliver_at(index, false);
        break;
      }
    }
  }
  now_ += authority_settings_.lease;
}

void Model::deliver_all() {
  while (!messages_.empty()) {
    deliver_at(0, false);
  }
}

void Model::send(std::size_t index, Body body) {
  messages_.push_back({index, controllers_[index].life, now_, std::move(body)});
}

std::size_t Model::transition_count() const {
  constexpr std::size_t kSingle = 5;  // Advance, dispatch, complete, finish, crash.
  constexpr std::size_t kPerController = 3;
  constexpr std::size_t kPerMessage = 3;
  return kSingle + kPerController * kControllers + kPerMessage * messages_.size();
}

Model::Choice Model::choice(std::size_t transition) const {
  constexpr std::array kSingles{Kind::kAdvance, Kind::kDispatch, Kind::kCompleteOrder,
                                Kind::kFinishRequest, Kind::kCrashEngine};
  constexpr std::array kOfControllers{Kind::kTick, Kind::kAsk, Kind::kRestart};
  constexpr std::array kOfMessages{Kind::kDeliver, Kind::kLose, Kind::kDuplicate};
  if (transition < kSingles.size()) {
    return {kSingles[transition], 0};
  }
  transition -= kSingles.size();
  if (transition < kOfControllers.size() * kControllers) {
    return {kOfControllers[transition / kControllers], transition % kControllers};
  }
  transition -= kOfControllers.size() * kControllers;
  return {kOfMessages[transition % kOfMessages.size()], transition / kOfMessages.size()};
}

std::string Model::describe(std::size_t transition) const {
  constexpr std::array<std::string_view, 11> kKinds{
      "clock advances",   "controller ticks",          "proxy asks controller",
      "proxy dispatches", "order completes",           "request finishes",
      "engine crashes",   "controller restarts",       "message delivered",
      "message lost",     "message delivered and kept"};
  constexpr std::array<std::string_view, 12> kBodies{
      "claim",        "claim reply",   "release",     "status query", "status", "order",
      "order answer", "grant request", "grant reply", "rules",        "work",   "work done"};
  const Choice chosen = choice(transition);
  std::string text(kKinds[static_cast<std::size_t>(chosen.kind)]);
  if (chosen.kind >= Kind::kDeliver) {
    const Message& message = messages_[chosen.index];
    text += ": " + std::string(kBodies[message.body.index()]);
    return text + ", controller " + std::to_string(message.controller);
  }
  return text + " " + std::to_string(chosen.index);
}

std::uint32_t Model::weight(std::size_t transition) const {
  switch (choice(transition).kind) {
    case Kind::kCrashEngine:
    case Kind::kRestart:
      return 1;
    case Kind::kLose:
    case Kind::kDuplicate:
      return 4;
    case Kind::kAdvance:
    case Kind::kTick:
    case Kind::kDispatch:
      return 20;
    case Kind::kAsk:
    case Kind::kCompleteOrder:
    case Kind::kFinishRequest:
      return 30;
    case Kind::kDeliver:
      return kLargestWeight;
  }
  return kLargestWeight;
}

bool Model::take(std::size_t transition) {
  const Choice chosen = choice(transition);
  switch (chosen.kind) {
    case Kind::kAdvance:
      return advance();
    case Kind::kTick:
      return tick(chosen.index);
    case Kind::kAsk:
      return ask(chosen.index);
    case Kind::kDispatch:
      return dispatch();
    case Kind::kCompleteOrder:
      return complete_order();
    case Kind::kFinishRequest:
      return finish_request();
    case Kind::kCrashEngine:
      return crash_engine();
    case Kind::kRestart:
      return restart(chosen.index);
    case Kind::kDeliver:
      return deliver_at(chosen.index, false);
    case Kind::kLose:
      return lose(chosen.index);
    case Kind::kDuplicate:
      return deliver_at(chosen.index, true);
  }
  return false;
}

bool Model::advance() {
  if (settings_.seconds == 0) {
    return false;
  }
  --settings_.seconds;
  now_ += kStep;
  check_holders();
  return true;
}

bool Model::tick(std::size_t index) {
  Controller& controller = controllers_[index];
  controller.lease.on_tick(now_);
  controller.lease.claim_due(now_);
  run_lease(index);
  if (controller.driver && controller.lease.holds(now_)) {
    Gate gate(*this, index);
    controller.driver->on_tick(gate, now_);
    run_driver(index);
    want_change(index);
  }
  return true;
}

/// Each controller wants another role, so that their orders conflict.
void Model::want_change(std::size_t index) {
  Controller& controller = controllers_[index];
  const auto role = index == 0 ? fleet::EngineRole::kPrefill : fleet::EngineRole::kDecode;
  if (!controller.driver || !controller.driver->ready() ||
      controller.driver->status()->role == role) {
    return;
  }
  controller::WantedChange change;
  change.order.action = engine::OrderAction::kChangeRole;
  change.order.role = role;
  change.drain_limit = seconds(30);
  Gate gate(*this, index);
  controller.driver->request_change(change, gate, now_);
  run_driver(index);
}

void Model::run_lease(std::size_t index) {
  Controller& controller = controllers_[index];
  for (const authority::LeaseCommand command : controller.lease.take_commands()) {
    switch (command) {
      case authority::LeaseCommand::kSendClaim:
        send(index, controller.lease.claim_request());
        break;
      case authority::LeaseCommand::kSendRelease:
        send(index, controller.lease.release_notice());
        break;
      case authority::LeaseCommand::kGained: {
        const authority::HeldLease lease = controller.lease.lease();
        controller.ledger.emplace(lease.epoch, lease.gained, grant_settings_);
        controller.ledger->set_engines({kEngine});
        controller.driver.emplace(charts(), kEngine, lease.epoch, driver_settings_);
        Gate gate(*this, index);
        controller.driver->start(gate, now_);
        run_driver(index);
        break;
      }
      case authority::LeaseCommand::kLost:
        controller.driver.reset();
        controller.ledger.reset();
        break;
      case authority::LeaseCommand::kScheduleClaim:
        break;
    }
  }
  check_holders();
}

void Model::run_driver(std::size_t index) {
  Controller& controller = controllers_[index];
  for (const controller::DriverCommand command : controller.driver->take_commands()) {
    switch (command) {
      case controller::DriverCommand::kReadStatus:
        send(index, StatusQuery{});
        break;
      case controller::DriverCommand::kSendOrder:
        if (controller.lease.holds(now_)) {
          send(index, controller.driver->order());
        }
        break;
      case controller::DriverCommand::kSuperseded:
      case controller::DriverCommand::kCompleted:
      case controller::DriverCommand::kFailed:
        break;
    }
  }
}

bool Model::ask(std::size_t index) {
  const bool asked = std::any_of(messages_.begin(), messages_.end(), [&](const Message& message) {
    return message.controller == index &&
           (std::holds_alternative<grants::GrantRequest>(message.body) ||
            std::holds_alternative<grants::GrantReply>(message.body));
  });
  if (asked) {
    return false;
  }
  grants::GrantRequest request;
  request.key = kShard;
  request.proxy = NodeId("proxy");
  request.round = ++round_;
  request.applied = table_.applied(kShard, 1);
  if (table_.grant(kEngine).draining && proxy_in_flight_ > 0) {
    request.in_flight.push_back({kEngine, proxy_in_flight_});
  }
  send(index, std::move(request));
  return true;
}

bool Model::dispatch() {
  if (settings_.dispatches == 0 || now_ >= table_.grant(kEngine).dispatchable_until) {
    return false;
  }
  --settings_.dispatches;
  ++proxy_in_flight_;
  send(0, Work{});
  return true;
}

bool Model::complete_order() {
  if (!engine_.current_order) {
    return false;
  }
  engine_.role = engine_.current_order->role;
  engine_.last_completed = engine_.current_order->fence;
  engine_.current_order.reset();
  engine_.phase = engine::EnginePhase::kServing;
  return true;
}

bool Model::finish_request() {
  if (engine_.in_flight == 0) {
    return false;
  }
  --engine_.in_flight;
  send(0, WorkDone{});
  return true;
}

/// The engine forgets everything, its fence among it; what was on the way to it is lost with its
/// connections.
bool Model::crash_engine() {
  if (settings_.crashes == 0) {
    return false;
  }
  --settings_.crashes;
  const Incarnation incarnation = engine_.incarnation.next();
  engine_ = engine::EngineStatus{};
  engine_.engine = kEngine;
  engine_.incarnation = incarnation;
  highest_effect_ = {};
  std::erase_if(messages_, [](const Message& message) {
    return std::holds_alternative<engine::EngineOrder>(message.body) ||
           std::holds_alternative<Work>(message.body);
  });
  return true;
}

bool Model::restart(std::size_t index) {
  if (settings_.crashes == 0) {
    return false;
  }
  --settings_.crashes;
  Controller& controller = controllers_[index];
  ++controller.life;
  controller.ledger.reset();
  controller.driver.reset();
  controller.lease = make_lease(index);
  return true;
}

bool Model::deliver_at(std::size_t index, bool keep) {
  if (keep && settings_.duplicated == 0) {
    return false;
  }
  const Message message = messages_[index];
  if (keep) {
    --settings_.duplicated;
  } else {
    messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  }
  deliver(message);
  return true;
}

bool Model::lose(std::size_t index) {
  if (settings_.lost == 0) {
    return false;
  }
  --settings_.lost;
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  return true;
}

void Model::deliver(const Message& message) {
  std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

void Model::handle(const Message& from, const authority::ClaimRequest& body) {
  send(from.controller, voter_.on_claim(body, now_));
  messages_.back().life = from.life;
}

void Model::handle(const Message& from, const authority::ClaimReply& body) {
  if (controllers_[from.controller].life == from.life) {
    controllers_[from.controller].lease.on_reply(body, now_);
    run_lease(from.controller);
  }
}

void Model::handle(const Message& /*from*/, const authority::ReleaseNotice& body) {
  voter_.on_release(body);
}

void Model::handle(const Message& from, const StatusQuery& /*body*/) {
  send(from.controller, engine_);
  messages_.back().life = from.life;
}

void Model::handle(const Message& from, const engine::EngineStatus& body) {
  Controller& controller = controllers_[from.controller];
  if (controller.life == from.life && controller.driver) {
    Gate gate(*this, from.controller);
    controller.driver->on_status(body, gate, now_);
    run_driver(from.controller);
  }
}

void Model::handle(const Message& from, const engine::EngineOrder& body) {
  OrderAnswer answer{body.fence, controller::OrderResult::kAccepted};
  const bool raising = body.action == engine::OrderAction::kRaiseFence;
  const bool fence_ignored = settings_.plant == Plant::kFenceIgnored;
  if (body.fence <= engine_.highest_fence && !fence_ignored) {
    answer.result = controller::OrderResult::kStale;
  } else if (engine_.current_order && !raising && !fence_ignored) {
    answer.result = controller::OrderResult::kRefused;
  } else {
    if (body.fence <= highest_effect_ || (engine_.current_order && !raising)) {
      violate(Promise::kNoConflictingOrders);
    }
    highest_effect_ = std::max(highest_effect_, body.fence);
    engine_.highest_fence = std::max(engine_.highest_fence, body.fence);
    if (!raising) {
      if (engine_.in_flight > 0) {
        violate(Promise::kNoRequestCut);
      }
      engine_.current_order = body;
      engine_.phase = engine::EnginePhase::kChanging;
    }
  }
  send(from.controller, answer);
  messages_.back().life = from.life;
}

void Model::handle(const Message& from, const OrderAnswer& body) {
  Controller& controller = controllers_[from.controller];
  if (controller.life == from.life && controller.driver) {
    Gate gate(*this, from.controller);
    controller.driver->on_order_result(body.fence, body.result, gate, now_);
    run_driver(from.controller);
  }
}

void Model::handle(const Message& from, const grants::GrantRequest& body) {
  Controller& controller = controllers_[from.controller];
  if (!controller.ledger || !controller.lease.holds(now_)) {
    return;
  }
  send(from.controller, controller.ledger->on_request(body, Endpoint("proxy"), now_));
  messages_.back().sent = from.sent;
}

void Model::handle(const Message& from, const grants::GrantReply& body) {
  table_.on_reply(body, from.sent, now_);
}

void Model::handle(const Message& /*from*/, const grants::RulesNotice& body) {
  table_.on_rules(kShard, 1, body.rules, now_);
}

void Model::handle(const Message& /*from*/, const Work& /*body*/) {
  if (engine_.phase == engine::EnginePhase::kServing) {
    ++engine_.in_flight;
  } else {
    send(0, WorkDone{});  // Refused as not run.
  }
}

void Model::handle(const Message& /*from*/, const WorkDone& /*body*/) {
  proxy_in_flight_ -= proxy_in_flight_ > 0 ? 1 : 0;
}

void Model::violate(Promise promise) {
  violated_ = violated_.value_or(promise);
}

void Model::check_holders() {
  if (controllers_[0].lease.holds(now_) && controllers_[1].lease.holds(now_)) {
    violate(Promise::kOneHolder);
  }
}

std::string Model::state() const {
  std::string bytes;
  wire::OutputArchive archive(bytes);
  archive << settings_.lost << settings_.duplicated << settings_.crashes << settings_.dispatches
          << settings_.seconds << now_.time_since_epoch() << proxy_in_flight_ << engine_
          << highest_effect_;
  voter_.save_state(archive);
  table_.save_state(archive);
  for (const Controller& controller : controllers_) {
    archive << controller.life << controller.driver.has_value();
    controller.lease.save_state(archive);
    if (controller.driver) {
      controller.driver->save_state(archive);
      controller.ledger->save_state(archive);
    }
  }
  // The network keeps no order, so that states that differ only in it are one.
  std::vector<std::string> encoded;
  for (const Message& message : messages_) {
    std::string one;
    wire::OutputArchive out(one);
    out << message.controller << message.life << message.body.index();
    std::visit(
        [&](const auto& body) {
          using T = std::decay_t<decltype(body)>;
          if constexpr (std::is_same_v<T, OrderAnswer>) {
            out << body.fence << body.result;
          } else if constexpr (std::is_same_v<T, grants::GrantReply>) {
            out << body << message.sent.time_since_epoch();
          } else if constexpr (std::is_same_v<T, grants::GrantRequest>) {
            out << body << message.sent.time_since_epoch();
          } else if constexpr (!std::is_empty_v<T>) {
            out << body;
          }
        },
        message.body);
    encoded.push_back(std::move(one));
  }
  std::sort(encoded.begin(), encoded.end());
  archive << encoded;
  return bytes;
}

}  // namespace ochrespring::exploration
