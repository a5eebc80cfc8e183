// What operators ask of this node, answered from its components.
#pragma once

#include <functional>
#include <memory>

#include "authority/authority.h"
#include "config/config_service.h"
#include "control_plane/engine_poller.h"
#include "controller/controller.h"
#include "digest/digest_service.h"
#include "grants/grants.h"
#include "membership/member_view.h"
#include "operator_api/fleet_admin.h"

namespace ochrespring::control_plane {

/// Components the answers come from; all outlive the admin.
struct NodeAdminSources {
  const Clock& clock;
  config::ConfigService& config;
  const membership::MemberView& members;
  const EnginePoller& engines;
  const digest::DigestService& digest;
  const authority::Authority& authority;
  const grants::Grants& grants;
  const controller::Controller& controller;
};

/// Used on the control loop only.
class NodeAdmin final : public operator_api::FleetAdmin {
 public:
  explicit NodeAdmin(NodeAdminSources sources) : sources_(sources) {}

  std::shared_ptr<const fleet::FleetDocument> document() const override;
  void mutate(const fleet::Mutation& mutation,
              operator_api::AdminCallback<operator_api::MutationOutcome> done) override;
  void add_observer(operator_api::RevisionObserver& observer) override;
  void remove_observer(operator_api::RevisionObserver& observer) override;
  void status(operator_api::AdminCallback<operator_api::FleetStatus> done) override;
  void explain_engine(const EngineId& engine,
                      operator_api::AdminCallback<operator_api::EngineExplanation> done) override;
  void explain_request(const RequestId& request,
                       operator_api::AdminCallback<operator_api::RequestExplanation> done) override;

  /// Answers explain_request(); the node sets it to ask its proxy loops.
  using RequestExplainer = std::function<void(
      const RequestId&, operator_api::AdminCallback<operator_api::RequestExplanation>)>;
  void set_request_explainer(RequestExplainer explainer) { explainer_ = std::move(explainer); }

 private:
  operator_api::EngineOverview overview(const fleet::Engine& engine) const;
  authority::ShardKey shard_of(const fleet::Engine& engine) const;
  std::vector<operator_api::ShardStatus> shard_statuses() const;
  operator_api::ShardStatus shard_status(const authority::ShardKey& key) const;
  operator_api::NodeStatus node_status(const membership::Member& member) const;

  NodeAdminSources sources_;
  RequestExplainer explainer_;
};

}  // namespace ochrespring::control_plane
