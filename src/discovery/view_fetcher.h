// Fetches from other nodes what their updates told of and could not carry.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"
#include "discovery/look_schedule.h"
#include "discovery/view_transfer.h"

namespace ochrespring::discovery {

/// What is asked of another node.
struct ViewRequest {
  Endpoint holder;
  /// What has changed behind it is enough; none: the whole view.
  std::optional<shared_store::StoreRevision> after;
};

/// None: the node did not answer, or has nothing to give.
using TransferCallback = std::function<void(std::optional<ViewTransfer> transfer)>;

/// Many updates that cannot be joined bring one fetch, from the holder of the newest; another
/// follows only after a pause. A holder that cannot serve is asked again a few times: it serves
/// others first. Whoever gets nothing looks itself in time. One loop.
class ViewFetcher {
 public:
  struct Links {
    std::function<void(const ViewRequest&, TransferCallback)> fetch;
    /// Up to where this node's view is complete.
    std::function<std::optional<shared_store::StoreRevision>()> seen;
    /// Takes what was asked for at a time; returns whether it was of use.
    std::function<bool(const ViewTransfer&, MonotonicTime asked)> take;
  };

  ViewFetcher(const Clock& clock, TimerService& timers, RandomSource& random,
              const FleetWatcherSettings& settings, Links links);

  /// Another node holds what this one lacks.
  void want(const Endpoint& holder);
  /// The view has turned out to be wrong: the whole of the holder's is to take its place.
  void want_whole(const Endpoint& holder);
  /// Asks at once, out of turn, and calls back as well.
  void ask(const Endpoint& holder, TransferCallback done);

 private:
  /// Of one update: by then this node's own look is due.
  static constexpr std::uint32_t kTries = 4;

  void fetch_later(Duration least);
  void fetch();

  const Clock& clock_;
  RandomSource& random_;
  FleetWatcherSettings settings_;
  Links links_;
  Timer timer_;
  Endpoint holder_;  ///< Of the newest update that could not be joined.
  bool whole_ = false;
  bool fetching_ = false;
  std::uint32_t tries_ = 0;
  std::optional<MonotonicTime> fetched_at_;  ///< When the last fetch began.
};

}  // namespace ochrespring::discovery
