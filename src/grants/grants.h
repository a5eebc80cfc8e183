// Routing grants of one node: asks the holders for leave to dispatch, and gives it where this node
// holds a shard. See docs/design/drain.md.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "authority/lease_view.h"
#include "base/random.h"
#include "base/timer.h"
#include "fleet/types.h"
#include "grants/grant_ledger.h"
#include "grants/grant_table.h"
#include "membership/member_view.h"
#include "peer/transport.h"

namespace ochrespring::grants {

struct GrantStatistics {
  std::uint64_t requests_sent = 0;
  std::uint64_t requests_answered = 0;
  std::uint64_t grants_received = 0;
  std::uint64_t notices_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_malformed = 0;
};

/// All must outlive the component.
struct GrantDependencies {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  membership::MemberView& members;
  authority::LeaseView& leases;
};

/// Used on the control loop only.
class Grants final : public peer::Receiver, public authority::LeaseObserver {
 public:
  Grants(const GrantDependencies& dependencies, const GrantSettings& settings);
  ~Grants() override;

  /// Engines and layout of the newest configuration. `zones`: those this node's proxy dispatches
  /// to; empty for all.
  void configure(const fleet::FleetDocument& document, const std::set<ZoneName>& zones);
  /// Requests this node's proxies have in flight on an engine; called on the control loop.
  void set_in_flight(std::function<std::uint32_t(const EngineId&)> in_flight);
  /// Called after rules or deadlines changed, so that a new snapshot can be published.
  void set_on_change(std::function<void()> on_change);

  /// What this node's proxy may do with an engine.
  EngineGrant grant(const EngineId& engine) const { return table_.grant(engine); }

  /// Ledger of a shard this node holds, for its controller; null if it holds none.
  GrantLedger* ledger(const authority::ShardKey& key);
  /// Sends the shard's changed rules to its proxies, soon and together.
  void publish(const authority::ShardKey& key);
  /// Engines of a shard under the layout in force.
  std::vector<fleet::Engine> engines_of(const authority::ShardKey& key, std::uint32_t shards) const;

  void on_message(const Endpoint& from, std::string_view payload) override;
  void on_lease_gained(const authority::HeldLease& lease) override;
  void on_lease_lost(const authority::ShardKey& key) override;

  const GrantStatistics& statistics() const { return statistics_; }

 private:
  struct OwnRequest {
    std::uint64_t round = 0;
    MonotonicTime sent;
    MonotonicTime next;
    Endpoint holder;           ///< Last known to answer; empty if none.
    std::size_t attempts = 0;  ///< Without an answer.
    bool answered = true;
  };

  void tick();
  void request(const authority::ShardKey& key, OwnRequest& own);
  Endpoint target(const authority::ShardKey& key, const OwnRequest& own) const;
  std::uint32_t shards_of(const ZoneName& zone) const;
  void handle(const Endpoint& from, const GrantRequest& request);
  void handle(const Endpoint& from, const GrantReply& reply);
  void handle(const Endpoint& from, const NotHolderReply& reply);
  void handle(const Endpoint& from, const RulesNotice& notice);
  void send(const Endpoint& to, const GrantMessage& message);
  void send_notices();
  void changed();

  GrantDependencies dependencies_;
  GrantSettings settings_;
  NodeId self_;
  Endpoint self_endpoint_;
  authority::BootId boot_;
  GrantTable table_;
  std::vector<fleet::Engine> engines_;
  std::set<ZoneName> zones_;
  std::map<ZoneName, authority::ShardLayout> layouts_;
  std::map<authority::ShardKey, OwnRequest> own_;
  std::map<authority::ShardKey, GrantLedger> ledgers_;
  std::set<authority::ShardKey> to_publish_;
  std::uint64_t last_round_ = 0;
  std::function<std::uint32_t(const EngineId&)> in_flight_;
  std::function<void()> on_change_;
  GrantStatistics statistics_;
  Timer tick_timer_;
  Timer publish_timer_;
  std::vector<std::pair<Endpoint, GrantMessage>> local_;
  Timer local_timer_;
};

}  // namespace ochrespring::grants
