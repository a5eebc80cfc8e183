// Holder's side of one shard's grants: which proxies may be dispatching under which rules. Pure and
// copyable; time is handed in.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "grants/messages.h"

namespace ochrespring::grants {

class GrantLedger {
 public:
  /// `gained`: when the lease was gained on this node's clock.
  GrantLedger(Epoch epoch, MonotonicTime gained, const GrantSettings& settings);

  /// Engines of the shard now; new ones are not fenced.
  void set_engines(const std::vector<EngineId>& engines);
  /// Restricts an engine; returns whether the rules changed.
  bool restrict_engine(const EngineId& engine, Restriction restriction);
  /// Lifts a restriction; returns whether the rules changed.
  bool lift(const EngineId& engine);
  /// The engine has seen this epoch's fence, or (false) may have forgotten it.
  void set_fenced(const EngineId& engine, bool fenced);

  /// Grants, and takes note of what the proxy acknowledges and has in flight.
  GrantReply on_request(const GrantRequest& request, const Endpoint& from, MonotonicTime now);

  /// Whether no proxy can dispatch new work to a restricted engine any more: each has acknowledged
  /// the restriction or its grant has passed, those of earlier holders among them.
  bool acknowledged(const EngineId& engine, MonotonicTime now) const;
  /// Requests that proxies with a running grant last reported on a restricted engine.
  std::uint32_t in_flight(const EngineId& engine, MonotonicTime now) const;

  /// Everything that decides what this ledger does next; for exploration.
  template <class Archive>
  void save_state(Archive& archive) const {
    archive << gained_.time_since_epoch() << version_ << fenced_;
    for (const auto& [engine, entry] : restricted_) {
      archive << engine << entry.restriction << entry.since;
    }
    for (const auto& [key, proxy] : proxies_) {
      archive << key.node << key.boot << proxy.until.time_since_epoch() << proxy.round
              << proxy.applied << proxy.in_flight;
    }
  }

  ShardRules rules() const;
  GrantVersion version() const { return version_; }
  bool fenced(const EngineId& engine) const { return fenced_.contains(engine); }
  /// Where proxies with a running grant are reached.
  std::set<Endpoint> proxies(MonotonicTime now) const;
  /// Forgets proxies whose grant has passed.
  void expire(MonotonicTime now);

 private:
  struct ProxyKey {
    NodeId node;
    authority::BootId boot;  ///< A restarted proxy has applied nothing.
    auto operator<=>(const ProxyKey&) const = default;
  };
  struct ProxyGrant {
    Endpoint endpoint;
    MonotonicTime until;
    std::uint64_t round = 0;
    GrantVersion applied;
    std::vector<EngineInFlight> in_flight;
  };
  struct RestrictedSince {
    Restriction restriction = Restriction::kExcluded;
    GrantVersion since;
  };

  void advance() { ++version_.number; }

  GrantSettings settings_;
  MonotonicTime gained_;
  GrantVersion version_;
  std::set<EngineId> engines_;
  std::set<EngineId> fenced_;
  std::map<EngineId, RestrictedSince> restricted_;
  std::map<ProxyKey, ProxyGrant> proxies_;
};

}  // namespace ochrespring::grants
