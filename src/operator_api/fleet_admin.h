// What the operators' service asks of a node. The node's control plane implements it; the gRPC
// service and its tests depend on nothing else of the node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "base/time.h"
#include "engine/types.h"
#include "fleet/errc.h"
#include "fleet/mutation.h"
#include "fleet/types.h"
#include "membership/member_view.h"

namespace ochrespring::operator_api {

enum class AdminErrc : std::uint8_t {
  kRefused,        ///< The fleet layer refused; see `refusal`. Nothing changed.
  kUnavailable,    ///< The key-value service cannot be reached. Nothing changed.
  kRateLimited,    ///< Too many changes for the key-value service's limit. Nothing changed.
  kUnknownEffect,  ///< The change may have been accepted; a repeat with the same id settles it.
  kNotFound,       ///< Nothing is known here of the engine or request asked about.
};

/// Why a call failed.
struct AdminError {
  AdminErrc code{};
  std::string message;
  std::optional<fleet::FleetError> refusal;  ///< For kRefused.
};

/// Completion of a call; runs once, on the control loop, possibly inside the call.
template <class T>
using AdminCallback = std::function<void(Result<T, AdminError>)>;

/// What became of an accepted mutation.
struct MutationOutcome {
  Revision revision;      ///< Accepted under this revision (the earlier one for a repeat).
  bool repeated = false;  ///< The id had been accepted before; nothing changed now.
  bool changed = true;    ///< False if the document already was as asked.
};

/// One node as the answering node knows it.
struct NodeStatus {
  membership::Member member;
  std::optional<Revision> revision_in_force;  ///< As last heard; none if never heard.
};

/// Authority over one shard of engines.
struct ShardStatus {
  ShardId shard;
  std::optional<NodeId> holder;
  Epoch epoch;
  Duration lease_left{};  ///< As the answering node knows it; zero if unknown or lapsed.
};

/// One engine as the answering node knows it.
struct EngineOverview {
  EngineId engine;
  ServiceName service;
  ServerId server;
  ZoneName zone;
  ShardId shard;
  fleet::EngineRole desired_role = fleet::EngineRole::kMixed;
  fleet::EngineRole actual_role = fleet::EngineRole::kMixed;
  ModelName model;
  VersionName version;
  engine::EnginePhase phase = engine::EnginePhase::kServing;
  bool reachable = true;
  bool draining = false;
  std::uint32_t in_flight = 0;
  engine::OrderFence highest_fence;
  engine::LoadReport load;
  Duration load_age{};  ///< Since the figures in `load` were true.
};

/// The answering node's picture of the fleet.
struct FleetStatus {
  NodeId answering;
  Revision revision;  ///< In force at the answering node.
  bool key_value_reachable = true;
  std::vector<NodeStatus> nodes;
  std::vector<ShardStatus> shards;
  std::vector<EngineOverview> engines;
};

/// One decision about an engine.
struct EngineDecision {
  WallTime decided;
  std::string action;  ///< Such as `change role to prefill`.
  std::string reason;
  std::string result;  ///< Such as `done`, `draining`, `refused: stale fence`.
  double expected_gain = 0;
  double expected_cost = 0;
  engine::OrderFence fence;
};

/// Why an engine is as it is.
struct EngineExplanation {
  EngineOverview engine;
  std::optional<NodeId> authority;        ///< Node that decides; ask it for more.
  std::vector<EngineDecision> decisions;  ///< Newest first, bounded.
};

/// One attempt of a request.
struct AttemptExplanation {
  EngineId engine;
  std::string decision;  ///< Such as `dispatched`, `waited`, `refused: queue full`.
  std::string result;    ///< Such as `answered`, `not run: connect failed`.
  Duration predicted_first_token{};
  Duration observed_first_token{};
  std::uint32_t cached_prompt_tokens = 0;
};

/// Why a request went where it went.
struct RequestExplanation {
  RequestId request;
  NodeId node;  ///< Whose proxy took it.
  WallTime arrived;
  TenantName tenant;
  ServiceName service;
  ModelName model;
  std::string outcome;  ///< `answered`, `not-run`, `unknown` or `running`.
  std::vector<AttemptExplanation> attempts;
};

/// Told of each revision that comes into force at this node.
class RevisionObserver {
 public:
  virtual ~RevisionObserver() = default;
  /// Called on the control loop, once per document, in growing order of revision; revisions may be
  /// skipped.
  virtual void on_revision(const std::shared_ptr<const fleet::FleetDocument>& document) = 0;
};

/// The node's control plane as operators use it. Everything is called on the control loop.
class FleetAdmin {
 public:
  virtual ~FleetAdmin() = default;

  /// Document in force at this node; never null.
  virtual std::shared_ptr<const fleet::FleetDocument> document() const = 0;
  /// Applies a mutation to the newest accepted document and commits it by compare-and-swap;
  /// succeeds when the result is accepted and in force at this node.
  virtual void mutate(const fleet::Mutation& mutation, AdminCallback<MutationOutcome> done) = 0;
  /// The observer must be removed before it is destroyed.
  virtual void add_observer(RevisionObserver& observer) = 0;
  virtual void remove_observer(RevisionObserver& observer) = 0;

  /// Picture of the fleet.
  virtual void status(AdminCallback<FleetStatus> done) = 0;
  /// Last decisions about an engine.
  virtual void explain_engine(const EngineId& engine, AdminCallback<EngineExplanation> done) = 0;
  /// What became of a request this node's proxy took.
  virtual void explain_request(const RequestId& request,
                               AdminCallback<RequestExplanation> done) = 0;
};

}  // namespace ochrespring::operator_api
