// The lease under which one node of the fleet does what only one may do at a time: reporting usage,
// ordering servers, giving orders to engines.
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
  std::string holder_key;   ///< Of the store; bound to the lease.
  std::string history_key;  ///< Of the store; stays.
  std::string offset_key;   ///< Of the store; stays.
  NodeId node;
  std::uint64_t incarnation = 0;  ///< Drawn at the node's start.
  Duration time_to_live{std::chrono::milliseconds(3000)};
  /// Kept back from the lease: a call that leaves in time also arrives in time.
  Duration safety_margin{std::chrono::milliseconds(400)};
  Duration renewal_period{std::chrono::milliseconds(900)};       ///< Between two renewals.
  Duration renewal_retry_delay{std::chrono::milliseconds(300)};  ///< After a renewal that failed.
  Duration claim_period{std::chrono::milliseconds(1500)};        ///< Between two claims.
  /// Between two looks at whether this node is the first choice, which cost nothing.
  Duration eligibility_poll_period{std::chrono::milliseconds(300)};
};

/// One lease for all duties, held by at most one node. The fence is the revision of the store at
/// which the holder took it, so that every later holder has a higher one; FenceOffset keeps that
/// true when the store comes back from an older copy. The lease may be lost then while its holder
/// still trusts it: nobody acts in a new life of the store before a whole lease has passed.
///
///     if (const auto fence = lease.fence()) {
///       cloud.report_usage(*fence, ...);  // At most `margin` from now on the way.
///     }
///
/// fence() is empty as soon as this node cannot be sure, by its own monotonic clock: after a
/// freeze, or while the store is out, before anybody else can have taken over. A node that held the
/// duties before the present holder waits for a whole lease before it acts again: no call of its
/// own then frames one of the other's within a lease. The chart `duty_lease` runs it; one loop.
class DutyLease {
 public:
  /// References outlive the lease.
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
  };
  /// What the node is fit for, asked again and again.
  struct Eligibility {
    std::function<bool()> to_claim;  ///< Whether it is the first choice among all nodes.
    std::function<bool()> to_hold;   ///< Whether it is told what a holder needs to know.
  };

  DutyLease(World world, DutyLeaseOptions options, Eligibility eligibility);

  void start();
  /// Gives the lease back, for good.
  void stop() { post(Event::kStopRequested); }
  /// The store has come back from an older copy: the lease may be lost, and what it was bound to.
  void on_store_rolled_back();
  /// The lease is not to be trusted any more: whoever was called knows a later holder.
  void relinquish() { post(Event::kReleaseRequested); }

  /// While this node may act.
  std::optional<Fence> fence() const;
  /// For transactions: the key bound to the lease is as this node wrote it. Whatever depends on it
  /// is only done while nobody else has taken over.
  shared_store::Condition held_condition() const { return {options_.holder_key, holder_revision_}; }
  /// Called each time this node begins to hold; it may act a little later.
  void on_gained(std::function<void()> callback) { on_gained_ = std::move(callback); }
  std::uint64_t times_gained() const { return times_gained_; }

  /// Chart hooks.
  bool evaluate(statechart::DutyLease::Guard guard) const;
  void run(statechart::DutyLease::Action action);

 private:
  using Chart = statechart::DutyLease;
  using Event = Chart::Event;
  using State = Chart::State;

  void post(Event event);
  void schedule_claim();
  /// A claim is five calls, one after the other; the first that fails ends it.
  void read_holder();
  void read_history();
  void read_offset();
  void apply_stored_offset(std::string_view bytes);
  void grant();
  void commit();
  std::vector<shared_store::Write> claiming_writes() const;
  /// The claim that was sent is done, at a revision of the store.
  void on_committed(shared_store::StoreRevision revision);
  /// Another call may have shown that the store has been set back.
  void update_era();
  MonotonicTime earliest_use(bool held_before) const;
  Duration claim_delay() const;
  void fail_claim(std::string_view step, const shared_store::StoreError& error);
  void schedule_renewal();
  void send_renewal();
  void send_release();
  void extend_deadline(MonotonicTime sent);
  void log(std::string_view message, std::string_view detail);
  /// Wraps a callback so that it is dropped once another call has been started.
  template <class Function>
  auto if_current(Function function);

  World world_;
  DutyLeaseOptions options_;
  Eligibility eligibility_;
  statechart::Machine<Chart> machine_;
  Timer timer_;  ///< The next claim or renewal.
  Timer deadline_timer_;
  std::uint64_t current_call_ = 0;  ///< Number of the call that is waited for.
  std::optional<shared_store::LeaseId> lease_;
  /// What the claim under way has read.
  struct Claim {
    shared_store::StoreRevision history_revision;
    HolderHistory history;
    shared_store::StoreRevision offset_revision;
    std::optional<FenceOffset> stored_offset;  ///< None before the first holder of all.
  };
  Claim claim_;
  FenceOffset offset_;
  shared_store::StoreRevision holder_revision_;
  Fence fence_;
  std::optional<shared_store::StoreEra> era_;    ///< Of the store, when this node last looked.
  std::optional<MonotonicTime> rolled_back_at_;  ///< When the store was last found to be.
  MonotonicTime deadline_{};                     ///< Until then nobody else can have the lease.
  MonotonicTime usable_from_{};                  ///< No act before this.
  std::optional<MonotonicTime> claimed_at_;      ///< When the last claim began.
  std::optional<MonotonicTime> ineligible_since_;
  std::uint64_t times_gained_ = 0;
  std::function<void()> on_gained_;
};

}  // namespace ochrespring::duties
