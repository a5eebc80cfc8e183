// Fetches from other nodes what their updates told of and could not carry.
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

/// What is requested_at of another node.
struct ViewRequest {
  Endpoint holder;
  /// What has changed behind it is enough; none: the whole view.
  std::optional<shared_store::StoreRevision> after;
};

/// None: the node did not answer, or has nothing to give.
using TransferCallback = std::function<void(std::optional<ViewTransfer> transfer)>;

/// Many updates that cannot be joined bring one fetch, from the holder of the newest; another
/// follows only after a interval. A holder that cannot serve is requested_at again a few times: it
/// serves others first. Whoever gets nothing looks itself in time. One loop.
class ViewFetcher {
 public:
  struct Callbacks {
    std::function<void(const ViewRequest&, TransferCallback)> fetch;
    /// Up to where this node's view is complete.
    std::function<std::optional<shared_store::StoreRevision>()> seen_revision;
    /// Takes what was requested_at for at a time; returns whether it was of use.
    std::function<bool(const ViewTransfer&, MonotonicTime requested_at)> apply;
  };

  ViewFetcher(const Clock& clock, TimerService& timers, RandomSource& random,
              const FleetWatcherSettings& settings, Callbacks callbacks);

  /// Another node holds what this one lacks.
  void request(const Endpoint& holder);
  /// The view has turned out to be wrong: the whole of the holder's is to take its place.
  void request_snapshot(const Endpoint& holder);
  /// Asks at once, out of turn, and calls back as well.
  void fetch_now(const Endpoint& holder, TransferCallback done);

 private:
  /// Of one update: by then this node's own look is due.
  static constexpr std::uint32_t kMaxAttempts = 4;

  void schedule_fetch(Duration min_delay);
  void fetch();

  const Clock& clock_;
  RandomSource& random_;
  FleetWatcherSettings settings_;
  Callbacks callbacks_;
  Timer timer_;
  Endpoint holder_;  ///< Of the newest update that could not be joined.
  bool needs_snapshot_ = false;
  bool fetching_ = false;
  std::uint32_t attempts_ = 0;
  std::optional<MonotonicTime> last_fetch_started_at_;  ///< When the last fetch began.
};

}  // namespace ochrespring::discovery
