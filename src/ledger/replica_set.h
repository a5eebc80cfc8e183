// The replica side of the ledger: the partitions one process holds, how they are filled, and when
// they may vote.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/timer.h"
#include "ledger/claim_store.h"
#include "ledger/messages.h"
#include "ledger/roster.h"
#include "ledger/settings.h"

namespace ochrespring::ledger {

/// Sends a ledger message to another process, or back to this one.
class LedgerSender {
 public:
  virtual ~LedgerSender() = default;
  virtual void send(const Endpoint& to, LedgerBody body) = 0;
};

/// Partitions held by this process. A partition votes only in the generation whose claims it is
/// known to hold: at least those of a majority of the generation before. Used on the control loop.
class ReplicaSet {
 public:
  ReplicaSet(const LedgerSettings& settings, BootId self, const Clock& clock, TimerService& timers,
             LedgerSender& sender);

  /// A newer roster is in force: begins to fill what this process was assigned.
  void update(const Roster& roster);

  ClaimReply on_claim(const ClaimRequest& request);
  RecordReply on_record(const RecordRequest& request);
  void on_release(const ReleaseRequest& request);
  SealReply on_seal(const SealRequest& request);
  void on_seal_reply(const SealReply& reply);

  /// Whether this process votes in exactly this generation.
  bool voting(const Address& address) const;
  /// Partitions it votes in.
  std::vector<Address> voting_addresses() const;
  /// Claims held.
  std::size_t claim_count() const;
  const ClaimBudget& budget() const { return budget_; }

 private:
  /// Progress of reading the previous generation.
  struct Fill {
    Assignment assignment;
    std::map<BootId, std::optional<ClaimKey>> cursors;  ///< Read so far, by source.
    std::set<BootId> complete;
    MonotonicTime not_before;  ///< For kWaitOutWindow.
  };
  struct Partition {
    std::unique_ptr<ClaimStore> store;
    std::optional<Generation> generation;  ///< It holds all that it voted for up to here.
    bool sealed = false;
    std::optional<Fill> fill;
  };

  void begin_fill(PartitionId id, Partition& partition, const Assignment& assignment);
  void continue_fill(PartitionId id, Partition& partition);
  void request_pages(PartitionId id, const Fill& fill);
  bool fill_complete(const Fill& fill) const;
  void activate(Partition& partition);
  void tick();
  bool assigned_to_self(const Assignment& assignment) const;
  std::size_t sources_needed(const Assignment& assignment) const;

  const LedgerSettings& settings_;
  BootId self_;
  const Clock& clock_;
  LedgerSender& sender_;
  ClaimBudget budget_;
  std::map<PartitionId, Partition> partitions_;
  TimerService& timers_;
  Timer tick_timer_;
};

}  // namespace ochrespring::ledger
