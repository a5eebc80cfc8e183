// The fleet document: everything operators configure, under one revision.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace ochrespring::fleet {

/// What an engine does for its service.
enum class EngineRole : std::uint8_t {
  kMixed,     ///< Prefill and decode.
  kPrefill,   ///< Reads prompts, hands the KV cache to a decode engine.
  kDecode,    ///< Generates tokens; short prompts in chunks only.
  kOrdinary,  ///< Back end of an ordinary service; never changes.
};

enum class ServiceKind : std::uint8_t {
  kModel,     ///< Answers come from model engines.
  kOrdinary,  ///< Answers come from plain HTTP back ends.
};

/// Targets and bounds of one service.
struct ServiceLimits {
  Duration first_token{
      std::chrono::milliseconds(1700)};  ///< Goodput limit; first byte for ordinary services.
  Duration between_tokens{
      std::chrono::milliseconds(37)};            ///< Goodput limit, 95th percentile of a stream.
  Duration deadline{std::chrono::seconds(120)};  ///< Default deadline of a request.
  std::uint64_t body_bytes = 4U << 20U;          ///< Largest request body.
  std::uint32_t queued_requests = 1024;          ///< Per proxy; beyond it requests are refused.
  std::uint32_t minimum_serving_percent =
      60;  ///< Planned changes never take serving capacity below this.
  Duration drain{std::chrono::seconds(30)};  ///< After this, streams are moved instead of awaited.

  bool operator==(const ServiceLimits&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& first_token& between_tokens& deadline& body_bytes& queued_requests&
        minimum_serving_percent& drain;
  }
};

/// A service callers address by name.
struct Service {
  ServiceName name;
  ServiceKind kind = ServiceKind::kModel;
  bool repeatable = true;  ///< Whether a request whose effect is unknown may run again.
  ServiceLimits limits{};
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Service&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& kind& repeatable& limits& changed_at;
  }
};

/// A model of a service.
struct Model {
  ModelName name;
  ServiceName service;
  VersionName serving_version;                ///< Version that new loads use.
  std::uint64_t kv_bytes_per_token = 131072;  ///< Size of the KV cache per token of context.
  std::uint32_t context_tokens = 32768;       ///< Longest prompt plus output.
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Model&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& service& serving_version& kv_bytes_per_token& context_tokens& changed_at;
  }
};

/// One set of weights of a model.
struct ModelVersion {
  ModelName model;
  VersionName version;
  std::uint64_t weight_bytes = 0;
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const ModelVersion&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& model& version& weight_bytes& changed_at;
  }
};

/// A small set of weights applied on top of a model.
struct Adapter {
  AdapterName name;
  ModelName model;
  std::uint64_t weight_bytes = 0;
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Adapter&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& model& weight_bytes& changed_at;
  }
};

/// One engine (or ordinary back end) and what operators want of it.
struct Engine {
  EngineId id;
  ServiceName service;
  ServerId server;
  ZoneName zone;
  RegionName region;
  Endpoint endpoint;
  EngineRole role =
      EngineRole::kMixed;  ///< Starting role; the planner may move it unless `role_pinned`.
  bool role_pinned = false;
  ModelName model;  ///< Empty for ordinary back ends.
  std::vector<AdapterName> adapters;
  std::uint32_t accelerators = 1;
  bool drained = false;   ///< Operators asked for no work here.
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Engine&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& service& server& zone& region& endpoint& role& role_pinned& model& adapters&
        accelerators& drained& changed_at;
  }
};

/// A caller's organisation.
struct Tenant {
  TenantName name;
  std::uint32_t weight = 1;  ///< Share of contended capacity, relative to other tenants.
  std::uint32_t requests_per_second = 0;  ///< 0: no limit of its own.
  std::uint32_t queued_requests = 256;    ///< Per proxy.
  std::uint8_t priority = 1;              ///< 0 is shed first, 2 last.
  Revision changed_at{};  ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Tenant&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& name& weight& requests_per_second& queued_requests& priority& changed_at;
  }
};

/// Goals and bounds for the automatic decisions.
struct Policy {
  /// Requests per second a role change must gain, relative to the cost of the change, before it is
  /// ordered: 1 breaks even; the gateway runs near 1.2, the auction near 3.
  double role_change_price = 1.2;
  std::uint32_t concurrent_changes = 1;  ///< Engines of one service out of service at once.
  Duration role_change_cooldown{std::chrono::seconds(60)};
  std::uint32_t shards = 1;  ///< Groups of engines, each under one authority.
  Duration attempt_window{
      std::chrono::minutes(10)};  ///< How long a claim of a non-repeatable request is kept.
  double retry_budget = 0.1;      ///< Retries as a fraction of requests.
  Revision changed_at{};          ///< Set by apply(): revision that last changed this resource.

  bool operator==(const Policy&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& role_change_price& concurrent_changes& role_change_cooldown& shards& attempt_window&
        retry_budget& changed_at;
  }
};

/// Length of FleetDocument::recent_mutations: about a quarter of a day at 830 changes a day.
inline constexpr std::size_t kRecentMutations = 200;

/// One accepted mutation, kept for recognising repeats and for the operators' history.
struct AppliedMutation {
  MutationId id;
  Revision revision;  ///< Revision the mutation made.
  std::uint64_t fingerprint =
      0;  ///< Hash of what it asked for; the id with another one is refused.
  std::int64_t wall_milliseconds = 0;  ///< Since 1970, on the clock of the accepting node.
  std::string author;                  ///< Operator as authenticated, or as named by the client.
  std::string summary;                 ///< What changed, for people.

  bool operator==(const AppliedMutation&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& id& revision& fingerprint& wall_milliseconds& author& summary;
  }
};

/// The whole configuration. Ordered by revision; a later revision replaces an earlier one.
struct FleetDocument {
  Revision revision;
  std::vector<Service> services;
  std::vector<Model> models;
  std::vector<ModelVersion> versions;
  std::vector<Adapter> adapters;
  std::vector<Engine> engines;
  std::vector<Tenant> tenants;
  Policy policy;
  /// Newest last, at most kRecentMutations; a repeated mutation is recognised.
  std::vector<AppliedMutation> recent_mutations;

  bool operator==(const FleetDocument&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& revision& services& models& versions& adapters& engines& tenants& policy&
        recent_mutations;
  }
};

}  // namespace ochrespring::fleet
