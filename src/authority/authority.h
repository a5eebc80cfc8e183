// Leases and epochs over shards of engines: which node controls which engines. Leases are granted
// by a majority of a zone's voters, so that they outlive outages of the key-value service; the
// service holds who the voters are. See docs/design/authority.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "authority/lease_view.h"
#include "authority/zone_authority.h"
#include "base/timer.h"
#include "fleet/types.h"
#include "logging/logger.h"
#include "membership/member_view.h"
#include "peer/transport.h"
#include "statechart/chart_library.h"

namespace ochrespring::authority {

/// Counts over all zones of a node.
struct AuthorityStatistics {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t messages_malformed = 0;
  std::uint64_t leases_gained = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t store_calls = 0;
  std::uint64_t electorates_created = 0;
};

/// What the authority is built from; all must outlive it.
struct AuthorityDependencies {
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  peer::Transport& transport;
  membership::MemberView& members;
  external::KeyValueStore& store;
  logging::Logger& logger;
  const statechart::Chart& lease_chart;
};

/// Used on the control loop only.
class Authority final : public LeaseView,
                        public peer::Receiver,
                        public membership::MembershipObserver {
 public:
  Authority(const AuthorityDependencies& dependencies, const AuthoritySettings& settings);
  ~Authority() override;

  /// Zones, shards and revision of the newest configuration.
  void configure(const fleet::FleetDocument& document);
  /// Whether the platform's list says that a node's machine is gone for good.
  void set_machine_gone(std::function<bool(const NodeId&)> machine_gone);
  /// Hands over all leases for a planned stop.
  void stop();

  std::optional<HeldLease> held(const ShardKey& key) const override;
  std::optional<VoterIdentity> holder_hint(const ShardKey& key) const override;
  ShardLayout layout(const ZoneName& zone) const override;
  void require_epoch_above(const ShardKey& key, Epoch epoch) override;
  void add_observer(LeaseObserver& observer) override;
  void remove_observer(LeaseObserver& observer) override;

  void on_message(const Endpoint& from, std::string_view payload) override;
  void on_member_changed(const membership::Member& member) override;

  /// All leases held now, by shard.
  std::vector<HeldLease> held_leases() const;
  AuthorityStatistics statistics() const;

 private:
  ZoneAuthority& zone(const ZoneName& name);
  void send(const Endpoint& to, const AuthorityMessage& message);
  void dispatch(const Endpoint& from, const AuthorityMessage& message);
  void deliver_local();
  void tick();
  void refresh_members();
  void announce_gained(const HeldLease& lease);
  void announce_lost(const ShardKey& key);

  AuthorityDependencies dependencies_;
  AuthoritySettings settings_;
  VoterIdentity self_;
  ShardLayout layout_;
  std::function<bool(const NodeId&)> machine_gone_;
  std::map<ZoneName, std::unique_ptr<ZoneAuthority>> zones_;
  std::vector<LeaseObserver*> observers_;
  std::vector<AuthorityMessage> local_;  ///< Messages to this node itself.
  bool delivering_ = false;
  bool members_changed_ = true;
  AuthorityStatistics statistics_;
  Timer tick_timer_;
};

}  // namespace ochrespring::authority
