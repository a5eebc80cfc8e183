// Messages of routing grants, between a proxy and the node that holds a shard's lease.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "authority/types.h"
#include "base/ids.h"

namespace ochrespring::grants {

/// Position in a shard's history of restrictions: grows within an epoch and with each epoch.
struct GrantVersion {
  Epoch epoch;
  std::uint64_t number = 0;

  auto operator<=>(const GrantVersion&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& epoch& number;
  }
};

enum class Restriction : std::uint8_t {
  kExcluded,  ///< No new work.
  kMoving,    ///< No new work, and streams in flight are to move to other engines.
};

struct RestrictedEngine {
  EngineId engine;
  Restriction restriction = Restriction::kExcluded;

  bool operator==(const RestrictedEngine&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& restriction;
  }
};

/// What a shard's holder says of its engines under one version.
struct ShardRules {
  GrantVersion version;
  std::vector<RestrictedEngine> restricted;
  /// Whether `listed` names the engines whose fence this holder has raised, or those it has not:
  /// whichever is shorter. An engine not fenced yet may still be changed by an order of an earlier
  /// holder, so a proxy may go on using it only if it was using it.
  bool listed_are_fenced = false;
  std::vector<EngineId> listed;

  bool operator==(const ShardRules&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& version& restricted& listed_are_fenced& listed;
  }
};

struct EngineInFlight {
  EngineId engine;
  std::uint32_t requests = 0;

  bool operator==(const EngineInFlight&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& engine& requests;
  }
};

/// Asks for leave to dispatch to a shard's engines; acknowledges the rules in force at the proxy.
struct GrantRequest {
  authority::ShardKey key;
  std::uint32_t shards = 1;  ///< Of the layout the proxy believes in.
  NodeId proxy;
  authority::BootId boot;
  std::uint64_t round = 0;                ///< Echoed; grows with each request of this proxy.
  GrantVersion applied;                   ///< No new work goes to engines these rules restrict.
  std::vector<EngineInFlight> in_flight;  ///< On restricted engines; absent means none.

  bool operator==(const GrantRequest&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& shards& proxy& boot& round& applied& in_flight;
  }
};

/// Leave to dispatch for `time_to_live` from when the request was sent.
struct GrantReply {
  authority::ShardKey key;
  std::uint32_t shards = 1;
  std::uint64_t round = 0;
  Duration time_to_live{};
  std::optional<ShardRules> rules;  ///< Absent if the proxy's version is current.
  GrantVersion version;

  bool operator==(const GrantReply&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& shards& round& time_to_live& rules& version;
  }
};

/// Answer of a node that does not hold the shard.
struct NotHolderReply {
  authority::ShardKey key;
  std::uint64_t round = 0;
  authority::ShardLayout layout;
  Endpoint hint;  ///< Of the holder it knows, or empty.

  bool operator==(const NotHolderReply&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& round& layout& hint;
  }
};

/// New rules, sent at once; extends no grant.
struct RulesNotice {
  authority::ShardKey key;
  std::uint32_t shards = 1;
  ShardRules rules;

  bool operator==(const RulesNotice&) const = default;
  template <class Archive>
  void serialize(Archive& archive, unsigned /*version*/) {
    archive& key& shards& rules;
  }
};

using GrantMessage = std::variant<GrantRequest, GrantReply, NotHolderReply, RulesNotice>;

/// Planted bugs for the tests that show that the checks can fail. All off in production.
struct GrantFaults {
  bool deadline_from_answer = false;    ///< Proxy counts its grant from the answer.
  bool older_rules_applied = false;     ///< Proxy takes rules older than the ones in force.
  bool unknown_grants_ignored = false;  ///< Holder forgets that earlier holders granted, too.
  bool expiry_ignored = false;          ///< Holder counts a silent proxy as acknowledged at once.
  bool unfenced_trusted = false;        ///< Proxy uses engines that are not fenced yet.
};

struct GrantSettings {
  Duration time_to_live{std::chrono::seconds(10)};
  Duration interval{std::chrono::seconds(3)};      ///< Between a proxy's requests.
  Duration retry{std::chrono::milliseconds(500)};  ///< Without an answer.
  double drift = 0.02;                             ///< Clock rate error allowed for.
  GrantFaults faults;

  /// How long a holder must count a grant it has given.
  Duration holder_time() const {
    return time_to_live +
           Duration(static_cast<Duration::rep>(static_cast<double>(time_to_live.count()) * drift));
  }
};

}  // namespace ochrespring::grants
