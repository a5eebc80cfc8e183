// One zone at one node: its vote, its claims on shards, and the keeping of the electorate.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "authority/electorate_keeper.h"
#include "authority/lease_holder.h"
#include "authority/messages.h"
#include "authority/voter.h"
#include "base/random.h"

namespace ochrespring::authority {

/// Counts of one zone at one node.
struct ZoneStatistics {
  std::uint64_t leases_gained = 0;
  std::uint64_t leases_lost = 0;
  std::uint64_t claims_sent = 0;  ///< Rounds, renewals among them.
  std::uint64_t claims_answered = 0;
};

class ZoneAuthority {
 public:
  struct Callbacks {
    std::function<void(const Endpoint&, const AuthorityMessage&)> send;
    std::function<void(const HeldLease&)> on_gained;
    std::function<void(const ShardKey&)> on_lost;
    std::function<bool(const NodeId&)> machine_gone;
  };

  ZoneAuthority(ZoneName zone, VoterIdentity self, const AuthoritySettings& settings,
                const statechart::Chart& chart, external::KeyValueStore& store,
                RandomSource& random, Callbacks callbacks);

  /// The layout operators want; a later one heard from voters wins.
  void configure(ShardLayout layout, MonotonicTime now);
  /// Whether the zone has engines, so that its leases are wanted.
  void set_wanted(bool wanted) { wanted_ = wanted; }
  /// The member table changed.
  void on_members(const std::vector<membership::Member>& members);
  void on_tick(MonotonicTime now);
  void on_message(const Endpoint& from, const AuthorityMessage& message, MonotonicTime now);
  /// Gives up all leases to the next candidates; claims none from now on.
  void stop(MonotonicTime now);
  void require_epoch_above(ShardId shard, Epoch epoch, MonotonicTime now);

  std::optional<HeldLease> held(ShardId shard, MonotonicTime now) const;
  std::optional<VoterIdentity> holder_hint(ShardId shard) const;
  ShardLayout layout() const { return layout_; }
  const std::optional<Electorate>& electorate() const { return keeper_.electorate(); }
  const ZoneStatistics& statistics() const { return statistics_; }
  const KeeperStatistics& keeper_statistics() const { return keeper_.statistics(); }

 private:
  struct Candidate {
    LeaseHolder holder;
    std::size_t rank = 0;
    MonotonicTime claim_at{};
    std::optional<VoterIdentity> hint;
  };

  void handle(const Endpoint& from, const ClaimRequest& request);
  void handle(const Endpoint& from, const ClaimReply& reply);
  void handle(const Endpoint& from, const ReleaseNotice& notice);
  void handle(const Endpoint& from, const HandoverNotice& notice);
  void handle(const Endpoint& from, const ElectorateQuery& query);
  void handle(const Endpoint& from, const ElectorateInfo& info);
  void handle(const Endpoint& from, const SealRequest& request);
  void handle(const Endpoint& from, const SealReply& reply);
  void handle(const Endpoint& from, const AdoptRequest& request);

  void take_layout(ShardLayout layout);
  void on_electorate(const Electorate& electorate);
  void update_candidates();
  void configure(Candidate& candidate);
  void run_commands(Candidate& candidate);
  void schedule_claim(Candidate& candidate);
  void announce_handover(const ShardKey& key, Epoch epoch);

  ZoneName zone_;
  VoterIdentity self_;
  AuthoritySettings settings_;
  const statechart::Chart& chart_;
  RandomSource& random_;
  Callbacks callbacks_;
  ElectorateKeeper keeper_;
  std::optional<Voter> voter_;
  Generation sealed_;  ///< Asked to seal this generation, perhaps before it was known.
  ShardLayout layout_;
  bool wanted_ = false;
  bool stopping_ = false;
  MonotonicTime now_{};
  std::vector<membership::Member> members_;
  std::map<ShardId, Candidate> candidates_;
  ZoneStatistics statistics_;
};

}  // namespace ochrespring::authority
