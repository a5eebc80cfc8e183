#include "discovery/view_fetcher.h"

#include <algorithm>
#include <utility>

namespace ochrespring::discovery {

ViewFetcher::ViewFetcher(const Clock& clock, TimerService& timers, RandomSource& random,
                         const FleetWatcherSettings& settings, Links links)
    : clock_(clock),
      random_(random),
      settings_(settings),
      links_(std::move(links)),
      timer_(timers) {}

void ViewFetcher::want(const Endpoint& holder) {
  if (holder.empty()) {
    return;
  }
  holder_ = holder;
  tries_ = 0;
  if (!fetching_ && !timer_.armed()) {
    fetch_later(Duration::zero());
  }
}

void ViewFetcher::want_whole(const Endpoint& holder) {
  whole_ = true;
  want(holder);
}

/// While more changes than can be told, one fetch in a part of the period has to do.
void ViewFetcher::fetch_later(Duration least) {
  Duration wait = least + random_.part_of(settings_.fetch_spread);
  if (fetched_at_) {
    const Duration pause =
        whole_ ? std::max(settings_.fetch_pause, settings_.period / 2) : settings_.fetch_pause;
    wait += std::max(*fetched_at_ + pause - clock_.now(), Duration::zero());
  }
  timer_.arm(wait, [this] { fetch(); });
}

void ViewFetcher::fetch() {
  fetching_ = true;
  fetched_at_ = clock_.now();
  ++tries_;
  const ViewRequest request{holder_, whole_ ? std::nullopt : links_.seen()};
  links_.fetch(request, [this, asked = *fetched_at_](std::optional<ViewTransfer> transfer) {
    fetching_ = false;
    if (transfer && links_.take(*transfer, asked)) {
      whole_ = false;
      return;
    }
    if (!transfer && tries_ < kTries) {
      fetch_later(settings_.fetch_spread);
    }
  });
}

void ViewFetcher::ask(const Endpoint& holder, TransferCallback done) {
  links_.fetch({holder, links_.seen()}, std::move(done));
}

}  // namespace ochrespring::discovery
