// The claiming side of the ledger: gathers votes of a majority, retransmits, follows the roster.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "base/timer.h"
#include "ledger/attempt_ledger.h"
#include "ledger/messages.h"
#include "ledger/replica_set.h"
#include "ledger/settings.h"

namespace ochrespring::ledger {

/// Counters of the claiming side.
struct CoordinatorStatistics {
  std::uint64_t granted = 0;
  std::uint64_t repeated = 0;
  std::uint64_t keys_reused = 0;
  std::uint64_t unavailable = 0;
  std::uint64_t recorded = 0;
  std::uint64_t record_timeouts = 0;
};

/// Claims on behalf of this node's proxies. Used on the control loop.
class Coordinator final : public AttemptLedger {
 public:
  Coordinator(const LedgerSettings& settings, BootId self, const Clock& clock, TimerService& timers,
              LedgerSender& sender);

  void claim(const ClaimKey& key, std::uint64_t body_hash,
             std::function<void(ClaimResult)> done) override;
  void record(const ClaimKey& key, RecordedOutcome outcome,
              std::function<void(bool)> done) override;
  void release(const ClaimKey& key) override;

  /// A newer roster is in force: votes are asked again where the generation changed.
  void update(const Roster& roster);
  void on_claim_reply(const ClaimReply& reply);
  void on_record_reply(const RecordReply& reply);

  const CoordinatorStatistics& statistics() const { return statistics_; }

 private:
  /// A claim waiting for votes.
  struct PendingClaim {
    ClaimRequest request;
    std::map<BootId, ClaimReply> votes;  ///< All of the request's generation.
    std::function<void(ClaimResult)> done;
    MonotonicTime started;
  };
  /// An outcome waiting for acknowledgements.
  struct PendingRecord {
    RecordRequest request;
    std::set<BootId> acknowledged;
    std::function<void(bool)> done;
    MonotonicTime started;
  };
  /// A claim granted to this node whose outcome is not recorded.
  struct Granted {
    ClaimId claim;
    std::uint64_t body_hash = 0;
  };

  const Assignment* assignment(PartitionId partition) const;
  Address address_of(const ClaimKey& key) const;
  template <class Request>
  void send_to_replicas(const Request& request);
  template <class Request>
  void send_to_silent(const Request& request, const std::set<BootId>& heard);
  void decide(ClaimId claim);
  void finish_claim(ClaimId claim, ClaimResult result);
  void finish_record(ClaimId claim, bool recorded);
  void send_release(ClaimId claim, const ClaimKey& key);
  void tick();
  void arm_tick();

  const LedgerSettings& settings_;
  BootId self_;
  const Clock& clock_;
  TimerService& timers_;
  LedgerSender& sender_;
  Roster roster_;
  std::uint64_t next_claim_ = 1;
  std::map<ClaimId, PendingClaim> claims_;
  std::map<ClaimId, PendingRecord> records_;
  std::map<ClaimKey, Granted> granted_;
  CoordinatorStatistics statistics_;
  Timer tick_timer_;
};

}  // namespace ochrespring::ledger
