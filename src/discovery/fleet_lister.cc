#include "discovery/fleet_lister.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ochrespring::discovery {

using shared_store::Change;
using shared_store::Listing;
using shared_store::ListPage;
using shared_store::StoreError;

void FleetLister::start(const std::vector<std::string>& ends, Done done) {
  run_ = std::make_shared<Run>();
  run_->done = std::move(done);
  run_->ranges.resize(ends.size() + 1);
  for (std::size_t index = 0; index != ends.size(); ++index) {
    run_->ranges[index].last = ends[index];
    run_->ranges[index + 1].after = ends[index];
  }
  run_->unfinished = run_->ranges.size();
  const std::shared_ptr<Run> run = run_;
  for (std::size_t index = 0; index != run->ranges.size(); ++index) {
    read(run, index);
  }
}

void FleetLister::resume(ListPage first, Done done) {
  run_ = std::make_shared<Run>();
  run_->done = std::move(done);
  run_->revision = first.revision;
  run_->ranges.emplace_back();
  run_->unfinished = 1;
  take(run_, 0, std::move(first));
}

void FleetLister::read(const std::shared_ptr<Run>& run, std::size_t index) {
  const shared_store::PageRequest request{.prefix = {}, .after = run->ranges[index].after};
  store_.list_page(request, [this, run, index](Result<ListPage, StoreError> page) {
    if (run != run_) {
      return;
    }
    if (page) {
      take(run, index, std::move(page.value()));
    } else {
      fail_page(run, index, page.error());
    }
  });
}

void FleetLister::take(const std::shared_ptr<Run>& run, std::size_t index, ListPage page) {
  Range& range = run->ranges[index];
  range.failed_tries = 0;
  if (run->revision && run->revision->era() != page.revision.era()) {
    end(run, {shared_store::StoreErrc::kNotDone, "the store was set back between two pages"});
    return;
  }
  run->revision = std::min(run->revision.value_or(page.revision), page.revision);
  const auto end = range.last.empty()
                       ? page.items.end()
                       : std::find_if(page.items.begin(), page.items.end(),
                                      [&](const Change& item) { return item.key > range.last; });
  const bool passed_end = end != page.items.end();
  std::move(page.items.begin(), end, std::back_inserter(range.items));
  if (!page.more || passed_end || range.items.empty() || range.items.back().key == range.last) {
    finish_range(run);
    return;
  }
  range.after = range.items.back().key;
  read(run, index);
}

void FleetLister::fail_page(const std::shared_ptr<Run>& run, std::size_t index,
                            const StoreError& error) {
  Range& range = run->ranges[index];
  if (++range.failed_tries >= kTriesOfPage) {
    end(run, error);
    return;
  }
  range.retry = std::make_unique<Timer>(timers_);
  // The run owns the timer.
  range.retry->arm(kRetryPause, [this, weak_run = std::weak_ptr<Run>(run), index] {
    const std::shared_ptr<Run> waiting = weak_run.lock();
    if (waiting != nullptr && waiting == run_) {
      read(waiting, index);
    }
  });
}

void FleetLister::end(const std::shared_ptr<Run>& run, StoreError error) {
  run_.reset();
  run->done(outcome::failure(std::move(error)));
}

void FleetLister::finish_range(const std::shared_ptr<Run>& run) {
  if (--run->unfinished != 0) {
    return;
  }
  Listing listing;
  listing.revision = *run->revision;
  for (Range& range : run->ranges) {
    std::move(range.items.begin(), range.items.end(), std::back_inserter(listing.items));
  }
  run_.reset();
  run->done(std::move(listing));
}

}  // namespace ochrespring::discovery
