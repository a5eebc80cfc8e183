// Keeps the roster in the key-value service: reads it, proposes changes by compare-and-swap.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "external/key_value_store.h"
#include "external/machine_list.h"
#include "ledger/replica_set.h"
#include "ledger/roster.h"
#include "ledger/roster_plan.h"
#include "ledger/settings.h"
#include "membership/member_view.h"

namespace ochrespring::ledger {

/// Key of the roster in the key-value service.
inline constexpr char kRosterKey[] = "ochrespring/ledger/roster";

struct KeeperStatistics {
  std::uint64_t reads = 0;
  std::uint64_t proposals = 0;
  std::uint64_t restored = 0;  ///< The service held an older roster than this node.
};

/// Runs on every node; acts on the one that ranks first among live members. Two that both act are
/// harmless: compare-and-swap lets one roster follow another, never two.
class RosterKeeper {
 public:
  /// `adopt` is called with every roster read or accepted; older ones are the callee's to ignore.
  RosterKeeper(const LedgerSettings& settings, BootId self, const membership::MemberView& members,
               external::KeyValueStore& store, external::MachineList& machines, const Clock& clock,
               TimerService& timers, RandomSource& random, LedgerSender& sender,
               std::function<void(Roster)> adopt);

  /// Begins to watch over the roster.
  void start();
  /// The roster now in force on this node.
  void update(const Roster& roster);
  void on_status(const StatusReply& reply, const Endpoint& from, RosterRevision roster);
  const KeeperStatistics& statistics() const { return statistics_; }
  /// The node that keeps the roster now; this node's own endpoint if it does.
  std::optional<Endpoint> keeper_endpoint() const;

 private:
  struct HeardStatus {
    ReplicaStatus status;
    MonotonicTime heard;
  };

  void tick();
  bool is_keeper() const;
  void read_roster();
  void read_machines();
  void on_roster_read(const std::optional<external::KeyValueEntry>& entry);
  void consider_change();
  void consider_first_roster(const RosterPlanInput& input);
  void ask(const std::set<NodeId>& nodes);
  void propose(const Roster& roster);
  RosterPlanInput plan_input() const;

  const LedgerSettings& settings_;
  BootId self_;
  const membership::MemberView& members_;
  external::KeyValueStore& store_;
  external::MachineList& machines_;
  const Clock& clock_;
  RandomSource& random_;
  LedgerSender& sender_;
  std::function<void(Roster)> adopt_;

  Roster roster_;
  std::map<NodeId, HeardStatus> statuses_;
  std::set<NodeId> unlisted_;
  std::optional<external::KeyVersion> stored_version_;
  RosterRevision stored_revision_;
  bool call_outstanding_ = false;
  MonotonicTime last_read_;
  MonotonicTime members_changed_;
  std::uint64_t members_version_ = 0;
  KeeperStatistics statistics_;
  Timer tick_timer_;
};

}  // namespace ochrespring::ledger
