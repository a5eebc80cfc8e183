// Fetches from other nodes the changes that their updates announce but cannot carry.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/poll_schedule.h"
#include "discovery/view_transfer.h"

namespace ochrespring::discovery {

/// A request for another node's view.
struct ViewRequest {
  Endpoint holder;
  /// Changes after this revision suffice; nullopt: the complete view is needed.
  std::optional<shared_store::StoreRevision> after;
};

/// Receives nullopt if the node did not answer or has nothing to provide.
using TransferCallback = std::function<void(std::optional<ViewTransfer> transfer)>;

/// Many updates that start after the revision this node has seen cause a single fetch, from the
/// sender of the newest; the next one follows only after an interval. A holder that cannot serve is
/// retried a few times, because it serves other nodes first. A node whose fetches fail polls the
/// store itself in time. Used on one event loop.
class ViewFetcher {
 public:
  struct Callbacks {
    std::function<void(const ViewRequest&, TransferCallback)> fetch;
    /// Returns the revision up to which this node's view is complete.
    std::function<std::optional<shared_store::StoreRevision>()> seen_revision;
    /// Applies a transfer requested at the given time. Returns false if it was skipped
    /// (UpdateOutcome::kSkipped).
    std::function<bool(const ViewTransfer&, MonotonicTime requested_at)> apply;
  };

  ViewFetcher(const Clock& clock, TimerService& timers, RandomSource& random,
              const FleetWatcherSettings& settings, Callbacks callbacks);

  /// Schedules a fetch of missing changes from `holder`.
  void request(const Endpoint& holder);
  /// Schedules a fetch of the complete view from `holder` because this node's view is wrong.
  void request_snapshot(const Endpoint& holder);
  /// Fetches immediately, independent of scheduled fetches, and passes the result to `done`.
  void fetch_now(const Endpoint& holder, TransferCallback done);

 private:
  /// Attempts per update; after these, this node's own poll is due.
  static constexpr std::uint32_t kMaxAttempts = 4;

  void schedule_fetch(Duration min_delay);
  void fetch();

  const Clock& clock_;
  RandomSource& random_;
  FleetWatcherSettings settings_;
  Callbacks callbacks_;
  Timer timer_;
  /// Sender of the newest update that starts after the revision this node has seen.
  Endpoint holder_;
  bool needs_snapshot_ = false;
  bool fetching_ = false;
  std::uint32_t attempts_ = 0;
  std::optional<MonotonicTime> last_fetch_started_at_;  ///< When the last fetch started.
};

}  // namespace ochrespring::discovery
