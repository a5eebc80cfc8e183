#include <utility>

#include "operator_api/handlers.h"
#include "operator_api/proto_time.h"

namespace ochrespring::operator_api {

namespace {

/// The schema's enumerations begin with an unspecified value; the project's do not.
template <class Target, class Source>
Target shifted(Source value) {
  return static_cast<Target>(static_cast<int>(value) + 1);
}

void write(const engine::OrderFence& fence, v1::OrderFence& message) {
  message.set_epoch(fence.epoch.value());
  message.set_sequence(fence.sequence);
}

void write(const engine::LoadReport& load, Duration age, v1::EngineLoad& message) {
  message.set_queued_requests(load.queued_requests);
  message.set_queued_prefill_tokens(load.queued_prefill_tokens);
  message.set_running_sequences(load.running_sequences);
  message.set_kv_tokens_used(load.kv_tokens_used);
  message.set_kv_tokens_capacity(load.kv_tokens_capacity);
  to_proto_duration(age, *message.mutable_age());
}

void write(const EngineOverview& engine, v1::EngineStatus& message) {
  message.set_engine(engine.engine.value());
  message.set_service(engine.service.value());
  message.set_server(engine.server.value());
  message.set_zone(engine.zone.value());
  message.set_shard(engine.shard.value());
  message.set_desired_role(shifted<v1::EngineRole>(engine.desired_role));
  message.set_actual_role(shifted<v1::EngineRole>(engine.actual_role));
  message.set_model(engine.model.value());
  message.set_version(engine.version.value());
  message.set_phase(shifted<v1::EnginePhase>(engine.phase));
  message.set_reachable(engine.reachable);
  message.set_draining(engine.draining);
  message.set_in_flight(engine.in_flight);
  write(engine.highest_fence, *message.mutable_highest_fence());
  write(engine.load, engine.load_age, *message.mutable_load());
}

void write(const NodeStatus& node, v1::NodeStatus& message) {
  message.set_node(node.member.node.value());
  message.set_zone(node.member.zone.value());
  message.set_region(node.member.region.value());
  message.set_peer_endpoint(node.member.peer.value());
  message.set_incarnation(node.member.incarnation.value());
  message.set_state(shifted<v1::MemberState>(node.member.state));
  if (node.revision_in_force) {
    message.set_revision_in_force(node.revision_in_force->value());
  }
}

void write(const ShardStatus& shard, v1::ShardStatus& message) {
  message.set_shard(shard.shard.value());
  message.set_holder(shard.holder ? shard.holder->value() : "");
  message.set_epoch(shard.epoch.value());
  to_proto_duration(shard.lease_left, *message.mutable_lease_left());
}

void write(const EngineDecision& decision, v1::EngineDecision& message) {
  to_proto_timestamp(decision.decided, *message.mutable_decided());
  message.set_action(decision.action);
  message.set_reason(decision.reason);
  message.set_result(decision.result);
  message.set_expected_gain(decision.expected_gain);
  message.set_expected_cost(decision.expected_cost);
  write(decision.fence, *message.mutable_fence());
}

void write(const AttemptExplanation& attempt, v1::RequestAttempt& message) {
  message.set_engine(attempt.engine.value());
  message.set_decision(attempt.decision);
  message.set_result(attempt.result);
  to_proto_duration(attempt.predicted_first_token, *message.mutable_predicted_first_token());
  to_proto_duration(attempt.observed_first_token, *message.mutable_observed_first_token());
  message.set_cached_prompt_tokens(attempt.cached_prompt_tokens);
}

v1::StatusResponse to_message(const FleetStatus& status) {
  v1::StatusResponse message;
  message.set_answering_node(status.answering.value());
  message.set_revision(status.revision.value());
  message.set_key_value_reachable(status.key_value_reachable);
  for (const NodeStatus& node : status.nodes) {
    write(node, *message.add_nodes());
  }
  for (const ShardStatus& shard : status.shards) {
    write(shard, *message.add_shards());
  }
  for (const EngineOverview& engine : status.engines) {
    write(engine, *message.add_engines());
  }
  return message;
}

v1::ExplainEngineResponse to_message(const EngineExplanation& explanation) {
  v1::ExplainEngineResponse message;
  write(explanation.engine, *message.mutable_engine());
  message.set_authority(explanation.authority ? explanation.authority->value() : "");
  for (const EngineDecision& decision : explanation.decisions) {
    write(decision, *message.add_decisions());
  }
  return message;
}

v1::ExplainRequestResponse to_message(const RequestExplanation& explanation) {
  v1::ExplainRequestResponse message;
  message.set_request_id(explanation.request.value());
  message.set_node(explanation.node.value());
  to_proto_timestamp(explanation.arrived, *message.mutable_arrived());
  message.set_tenant(explanation.tenant.value());
  message.set_service(explanation.service.value());
  message.set_model(explanation.model.value());
  message.set_outcome(explanation.outcome);
  for (const AttemptExplanation& attempt : explanation.attempts) {
    write(attempt, *message.add_attempts());
  }
  return message;
}

/// Completion that turns the node's answer into a message.
template <class Response, class Answer>
AdminCallback<Answer> answer_with(const Reply<Response>& reply) {
  return [reply](Result<Answer, AdminError> result) {
    if (result.has_error()) {
      return reply(outcome::failure(to_call_error(result.error())));
    }
    reply(to_message(result.value()));
  };
}

}  // namespace

void OperationsHandlers::status(const v1::StatusRequest& /*request*/, const Caller& /*caller*/,
                                const Reply<v1::StatusResponse>& reply) {
  admin_.status(answer_with<v1::StatusResponse, FleetStatus>(reply));
}

void OperationsHandlers::explain_engine(const v1::ExplainEngineRequest& request,
                                        const Caller& /*caller*/,
                                        const Reply<v1::ExplainEngineResponse>& reply) {
  admin_.explain_engine(EngineId(request.engine()),
                        answer_with<v1::ExplainEngineResponse, EngineExplanation>(reply));
}

void OperationsHandlers::explain_request(const v1::ExplainRequestRequest& request,
                                         const Caller& /*caller*/,
                                         const Reply<v1::ExplainRequestResponse>& reply) {
  admin_.explain_request(RequestId(request.request_id()),
                         answer_with<v1::ExplainRequestResponse, RequestExplanation>(reply));
}

}  // namespace ochrespring::operator_api
