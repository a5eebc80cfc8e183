#include "discovery/view_fetcher.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

ViewFetcher::ViewFetcher(const Clock& clock, TimerService& timers, RandomSource& random,
                         const FleetWatcherSettings& settings, Callbacks callbacks)
    : clock_(clock),
      random_(random),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      timer_(timers) {}

void ViewFetcher::request(const Endpoint& holder) {
  if (holder.empty()) {
    return;
  }
  holder_ = holder;
  attempts_ = 0;
  if (!fetching_ && !timer_.armed()) {
    schedule_fetch(Duration::zero());
  }
}

void ViewFetcher::request_snapshot(const Endpoint& holder) {
  needs_snapshot_ = true;
  request(holder);
}

/// Limits fetches to one per `fetch_interval`, also while there are more changes than updates can
/// carry.
void ViewFetcher::schedule_fetch(Duration min_delay) {
  Duration wait = min_delay + random_.part_of(settings_.fetch_spread);
  if (last_fetch_started_at_) {
    const Duration interval =
        needs_snapshot_ ? std::max(settings_.fetch_interval, settings_.symmetric_period / 2)
                        : settings_.fetch_interval;
    wait += std::max(*last_fetch_started_at_ + interval - clock_.now(), Duration::zero());
  }
  timer_.arm(wait, [this] { fetch(); });
}

void ViewFetcher::fetch() {
  fetching_ = true;
  last_fetch_started_at_ = clock_.now();
  ++attempts_;
  const ViewRequest view_request{holder_,
                                 needs_snapshot_ ? std::nullopt : callbacks_.seen_revision()};
  callbacks_.fetch(view_request, [this, requested_at = *last_fetch_started_at_](
                                     std::optional<ViewTransfer> transfer) {
    fetching_ = false;
    if (transfer && callbacks_.apply(*transfer, requested_at)) {
      needs_snapshot_ = false;
      return;
    }
    if (!transfer && attempts_ < kMaxAttempts) {
      schedule_fetch(settings_.fetch_spread);
    }
  });
}

void ViewFetcher::fetch_now(const Endpoint& holder, TransferCallback done) {
  callbacks_.fetch({holder, callbacks_.seen_revision()}, std::move(done));
}

}  // namespace ochrespring::discovery
