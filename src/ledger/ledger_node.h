// The attempt ledger of one node: replica, coordinator and keeper over the peer transport.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "external/key_value_store.h"
#include "external/machine_list.h"
#include "ledger/coordinator.h"
#include "ledger/replica_set.h"
#include "ledger/roster_keeper.h"
#include "ledger/settings.h"
#include "membership/member_view.h"
#include "peer/transport.h"

namespace ochrespring::ledger {

struct Statistics {
  CoordinatorStatistics coordinator;
  KeeperStatistics keeper;
  std::uint64_t claims_held = 0;
  std::uint64_t outcome_bytes_held = 0;
  std::uint64_t partitions_voting = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t malformed = 0;
  RosterRevision roster;
};

/// Used on the control loop only. All references must outlive it.
class LedgerNode final : public AttemptLedger, public peer::Receiver, private LedgerSender {
 public:
  LedgerNode(LedgerSettings settings, const membership::MemberView& members,
             peer::Transport& transport, external::KeyValueStore& store,
             external::MachineList& machines, const Clock& clock, TimerService& timers,
             RandomSource& random);

  /// Begins to keep, fill and spread.
  void start();

  void claim(const ClaimKey& key, std::uint64_t body_hash,
             std::function<void(ClaimResult)> done) override;
  void record(const ClaimKey& key, RecordedOutcome outcome,
              std::function<void(bool)> done) override;
  void release(const ClaimKey& key) override;

  void on_message(const Endpoint& from, std::string_view payload) override;

  /// Whether the roster still counts on this process; a planned stop waits until it does not.
  bool holds_partitions() const;
  Statistics statistics() const;

 private:
  void send(const Endpoint& to, LedgerBody body) override;
  void handle(const Endpoint& from, const LedgerMessage& message);
  void adopt(Roster roster);
  void apply_push(const Endpoint& from, const RosterPush& push);
  void push_roster(const Endpoint& to, RosterRevision known);
  void compare_rosters(const Endpoint& from, RosterRevision theirs);
  void tick();
  StatusReply own_status() const;
  bool listed_under_other_boot() const;

  LedgerSettings settings_;
  BootId self_;
  const membership::MemberView& members_;
  peer::Transport& transport_;
  const Clock& clock_;
  TimerService& timers_;
  RandomSource& random_;
  Roster roster_;
  std::map<Endpoint, MonotonicTime> last_push_;
  std::uint64_t messages_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t malformed_ = 0;
  ReplicaSet replicas_;
  Coordinator coordinator_;
  RosterKeeper keeper_;
  Timer tick_timer_;
};

}  // namespace ochrespring::ledger
