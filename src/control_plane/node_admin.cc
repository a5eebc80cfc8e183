#include "control_plane/node_admin.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "authority/shards.h"

namespace ochrespring::control_plane {

namespace {

/// Status calls without an answer after which an engine is shown as unreachable.
constexpr std::uint32_t kUnreachableAfter = 3;

template <class T>
void answer_not_found(operator_api::AdminCallback<T>& done, std::string message) {
  done(outcome::failure(operator_api::AdminError{operator_api::AdminErrc::kNotFound,
                                                 std::move(message), std::nullopt}));
}

std::string_view action_name(engine::OrderAction action) {
  switch (action) {
    case engine::OrderAction::kChangeRole:
      return "change role";
    case engine::OrderAction::kLoadModel:
      return "load model";
    case engine::OrderAction::kLoadAdapter:
      return "load adapter";
    case engine::OrderAction::kUnloadAdapter:
      return "unload adapter";
    case engine::OrderAction::kRaiseFence:
      return "raise fence";
    case engine::OrderAction::kSetChunk:
      return "set prefill chunk";
  }
  return "unknown";
}

std::string_view outcome_name(controller::DecisionOutcome outcome) {
  switch (outcome) {
    case controller::DecisionOutcome::kStarted:
      return "started";
    case controller::DecisionOutcome::kCompleted:
      return "done";
    case controller::DecisionOutcome::kFailed:
      return "failed";
    case controller::DecisionOutcome::kHeldBack:
      return "held back";
  }
  return "unknown";
}

operator_api::EngineDecision describe(const controller::Decision& decision, const Clock& clock) {
  operator_api::EngineDecision described;
  described.decided = clock.wall_now() - (clock.now() - decision.at);
  described.action = action_name(decision.action);
  described.reason = decision.explanation;
  described.result = outcome_name(decision.outcome);
  described.fence.epoch = decision.epoch;
  return described;
}

void apply_observation(const EngineObservation& observation,
                       operator_api::EngineOverview& overview) {
  overview.reachable = observation.failures < kUnreachableAfter;
  if (!observation.status) {
    return;
  }
  overview.actual_role = observation.status->role;
  overview.model = observation.status->model;
  overview.version = observation.status->version;
  overview.phase = observation.status->phase;
  overview.in_flight = observation.status->in_flight;
  overview.highest_fence = observation.status->highest_fence;
}

}  // namespace

std::shared_ptr<const fleet::FleetDocument> NodeAdmin::document() const {
  return sources_.config.document();
}

void NodeAdmin::mutate(const fleet::Mutation& mutation,
                       operator_api::AdminCallback<operator_api::MutationOutcome> done) {
  sources_.config.mutate(mutation, std::move(done));
}

void NodeAdmin::add_observer(operator_api::RevisionObserver& observer) {
  sources_.config.add_observer(observer);
}

void NodeAdmin::remove_observer(operator_api::RevisionObserver& observer) {
  sources_.config.remove_observer(observer);
}

operator_api::EngineOverview NodeAdmin::overview(const fleet::Engine& engine) const {
  operator_api::EngineOverview overview;
  overview.engine = engine.id;
  overview.service = engine.service;
  overview.server = engine.server;
  overview.zone = engine.zone;
  overview.desired_role = engine.role;
  overview.actual_role = engine.role;
  overview.model = engine.model;
  overview.shard = shard_of(engine).shard;
  overview.draining = engine.drained || sources_.grants.grant(engine.id).draining;
  const EngineObservation* observation = sources_.engines.find(engine.id);
  if (observation != nullptr) {
    apply_observation(*observation, overview);
  }
  if (const auto load = sources_.digest.load(engine)) {
    overview.load = load->report;
    overview.load_age = sources_.clock.now() - load->taken;
  }
  return overview;
}

authority::ShardKey NodeAdmin::shard_of(const fleet::Engine& engine) const {
  const std::uint32_t shards = sources_.authority.layout(engine.zone).shards;
  return {engine.zone, authority::shard_of(engine.server, shards)};
}

operator_api::ShardStatus NodeAdmin::shard_status(const authority::ShardKey& key) const {
  operator_api::ShardStatus status;
  status.shard = key.shard;
  if (const auto held = sources_.authority.held(key)) {
    status.holder = sources_.members.self().node;
    status.epoch = held->epoch;
    status.lease_left = held->deadline - sources_.clock.now();
  } else if (const auto hint = sources_.authority.holder_hint(key)) {
    status.holder = hint->node;
  }
  return status;
}

std::vector<operator_api::ShardStatus> NodeAdmin::shard_statuses() const {
  std::set<authority::ShardKey> keys;
  for (const fleet::Engine& engine : document()->engines) {
    keys.insert(shard_of(engine));
  }
  std::vector<operator_api::ShardStatus> statuses;
  for (const authority::ShardKey& key : keys) {
    statuses.push_back(shard_status(key));
  }
  return statuses;
}

operator_api::NodeStatus NodeAdmin::node_status(const membership::Member& member) const {
  const bool self = member.node == sources_.members.self().node;
  return {member,
          self ? std::optional(document()->revision) : sources_.config.heard_revision(member.peer)};
}

void NodeAdmin::status(operator_api::AdminCallback<operator_api::FleetStatus> done) {
  operator_api::FleetStatus status;
  status.answering = sources_.members.self().node;
  status.revision = document()->revision;
  status.key_value_reachable = sources_.config.key_value_reachable();
  for (const membership::Member& member : sources_.members.members()) {
    status.nodes.push_back(node_status(member));
  }
  status.shards = shard_statuses();
  for (const fleet::Engine& engine : document()->engines) {
    status.engines.push_back(overview(engine));
  }
  done(std::move(status));
}

void NodeAdmin::explain_engine(const EngineId& engine,
                               operator_api::AdminCallback<operator_api::EngineExplanation> done) {
  const auto document = this->document();
  const auto found =
      std::find_if(document->engines.begin(), document->engines.end(),
                   [&](const fleet::Engine& candidate) { return candidate.id == engine; });
  if (found == document->engines.end()) {
    answer_not_found(done, "no engine '" + engine.value() + "' is configured");
    return;
  }
  operator_api::EngineExplanation explanation;
  explanation.engine = overview(*found);
  explanation.authority = shard_status(shard_of(*found)).holder;
  if (const auto decision = sources_.controller.decision(engine)) {
    explanation.decisions.push_back(describe(*decision, sources_.clock));
  }
  done(std::move(explanation));
}

void NodeAdmin::explain_request(
    const RequestId& request, operator_api::AdminCallback<operator_api::RequestExplanation> done) {
  if (!explainer_) {
    answer_not_found(done, "this node took no request '" + request.value() + "'");
    return;
  }
  explainer_(request, std::move(done));
}

}  // namespace ochrespring::control_plane
