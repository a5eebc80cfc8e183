// Lease that elects the one node of the fleet that reports usage, orders servers and sends orders
// to engines.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "duties/types.h"
#include "logging/logger.h"
#include "shared_store/store.h"
#include "statechart/charts/duty_lease.h"
#include "statechart/machine.h"

namespace ochrespring::duties {

struct DutyLeaseOptions {
  std::string holder_key;   ///< Store key of the HolderRecord; bound to the lease.
  std::string history_key;  ///< Store key of the HolderHistory; not bound to the lease.
  std::string offset_key;   ///< Store key of the FenceOffset; not bound to the lease.
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Random number drawn when the node starts.
  Duration time_to_live{std::chrono::milliseconds(3000)};
  /// Subtracted from the time to live, so that a call sent before the deadline also arrives before
  /// the lease expires.
  Duration safety_margin{std::chrono::milliseconds(400)};
  Duration renewal_period{std::chrono::milliseconds(900)};  ///< Interval between renewals.
  /// Delay after a failed renewal. A renewal without an answer is sent again after twice this
  /// delay.
  Duration renewal_retry_delay{std::chrono::milliseconds(300)};
  Duration claim_period{std::chrono::milliseconds(1500)};  ///< Average interval between claims.
  /// Minimum delay before eligibility is checked again. The check makes no store call.
  Duration eligibility_poll_period{std::chrono::milliseconds(300)};
};

/// Lease for all duties, held by at most one node. The fence is derived from the store revision of
/// the claim, so every later holder has a higher one; FenceOffset preserves this when the store is
/// restored from an older copy. Such a restore may drop a lease that its holder still relies on, so
/// no node acts in a new store era before a full lease has passed.
///
///     if (const auto fence = lease.fence()) {
///       cloud.report_usage(*fence, ...);  // Must arrive within `safety_margin`.
///     }
///
/// fence() becomes empty as soon as this node cannot be sure, by its own monotonic clock, that it
/// still holds the lease, for instance after a suspension or during an outage of the store. This
/// happens before another node can take over. A node that held the duties before the previous
/// holder waits for a full lease before it acts again, so that its calls never come both before and
/// after those of another node within one lease. Driven by the chart `duty_lease`. Runs on one
/// loop.
class DutyLease {
 public:
  /// The referenced objects must outlive the lease.
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
  };
  /// Whether this node may claim and hold the lease; both are evaluated repeatedly.
  struct Eligibility {
    std::function<bool()> to_claim;  ///< Whether this node is the preferred holder among all nodes.
    std::function<bool()> to_hold;   ///< Whether this node receives the data that a holder needs.
  };

  DutyLease(World world, DutyLeaseOptions options, Eligibility eligibility);

  void start();
  /// Releases the lease permanently.
  void stop() { post(Event::kStopRequested); }
  /// The store was restored from an older copy: the lease and the entries bound to it may be lost.
  void on_store_rolled_back();
  /// Releases the lease, because another service has seen a higher fence.
  void relinquish() { post(Event::kReleaseRequested); }

  /// The fence to act under; empty while this node may not act.
  std::optional<Fence> fence() const;
  /// Transaction condition: the holder entry is as this node wrote it. The transaction then
  /// succeeds only while no other node has taken over.
  shared_store::Condition held_condition() const { return {options_.holder_key, holder_revision_}; }
  /// Sets the callback for each time this node acquires the lease. fence() may become available
  /// later.
  void on_gained(std::function<void()> callback) { on_gained_ = std::move(callback); }
  std::uint64_t times_gained() const { return times_gained_; }

  /// Called by the state machine of the chart.
  bool evaluate(statechart::DutyLease::Guard guard) const;
  void run(statechart::DutyLease::Action action);

 private:
  using Chart = statechart::DutyLease;
  using Event = Chart::Event;
  using State = Chart::State;

  void post(Event event);
  void schedule_claim();
  /// A claim makes up to five store calls in sequence: read holder, history and fence offset, grant
  /// a lease, commit. The first failure ends it. If the holder entry already names this
  /// incarnation, only the fence offset is read after it.
  void read_holder();
  void read_history();
  void read_offset();
  void apply_stored_offset(std::string_view bytes);
  void grant();
  void commit();
  std::vector<shared_store::Write> claiming_writes() const;
  /// The claim was committed at `revision`.
  void on_committed(shared_store::StoreRevision revision);
  /// Detects a new store era, which any store call may have revealed.
  void update_era();
  MonotonicTime earliest_use(bool held_before) const;
  Duration claim_delay() const;
  void fail_claim(std::string_view step, const shared_store::StoreError& error);
  void schedule_renewal();
  void send_renewal();
  void send_release();
  void extend_deadline(MonotonicTime sent);
  void log(std::string_view message, std::string_view detail);
  /// Wraps a callback so that it is dropped once a newer call has started.
  template <class Function>
  auto if_current(Function function);

  World world_;
  DutyLeaseOptions options_;
  Eligibility eligibility_;
  statechart::Machine<Chart> machine_;
  Timer timer_;  ///< Next claim or renewal.
  Timer deadline_timer_;
  std::uint64_t current_call_ = 0;  ///< Number of the pending call.
  std::optional<shared_store::LeaseId> lease_;
  /// Values read during the current claim.
  struct Claim {
    shared_store::StoreRevision history_revision;
    HolderHistory history;
    shared_store::StoreRevision offset_revision;
    std::optional<FenceOffset> stored_offset;  ///< Empty before the first holder of all.
  };
  Claim claim_;
  FenceOffset offset_;
  shared_store::StoreRevision holder_revision_;
  Fence fence_;
  std::optional<shared_store::StoreEra> era_;  ///< Last known store era.
  std::optional<MonotonicTime>
      rolled_back_at_;                       ///< When the last rollback of the store was detected.
  MonotonicTime deadline_{};                 ///< No other node can hold the lease before this time.
  MonotonicTime usable_from_{};              ///< fence() stays empty before this time.
  std::optional<MonotonicTime> claimed_at_;  ///< Start of the last claim.
  std::optional<MonotonicTime> ineligible_since_;
  std::uint64_t times_gained_ = 0;
  std::function<void()> on_gained_;
};

}  // namespace ochrespring::duties
