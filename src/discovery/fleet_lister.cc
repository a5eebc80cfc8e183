#include "discovery/fleet_lister.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ochrespring::discovery {

using shared_store::Change;
using shared_store::Listing;
using shared_store::ListPage;
using shared_store::StoreError;

void FleetLister::start(const std::vector<std::string>& boundaries, ListingCallback done) {
  run_ = std::make_shared<Run>();
  run_->done = std::move(done);
  run_->ranges.resize(boundaries.size() + 1);
  for (std::size_t index = 0; index != boundaries.size(); ++index) {
    run_->ranges[index].last = boundaries[index];
    run_->ranges[index + 1].after = boundaries[index];
  }
  run_->unfinished = run_->ranges.size();
  const std::shared_ptr<Run> run = run_;
  for (std::size_t index = 0; index != run->ranges.size(); ++index) {
    read(run, index);
  }
}

void FleetLister::resume(ListPage first, ListingCallback done) {
  run_ = std::make_shared<Run>();
  run_->done = std::move(done);
  run_->revision = first.revision;
  run_->ranges.emplace_back();
  run_->unfinished = 1;
  handle_page(run_, 0, std::move(first));
}

void FleetLister::read(const std::shared_ptr<Run>& run, std::size_t index) {
  const shared_store::PageRequest request{.prefix = {}, .after = run->ranges[index].after};
  store_.list_page(request, [this, run, index](Result<ListPage, StoreError> page) {
    if (run != run_) {
      return;
    }
    if (page) {
      handle_page(run, index, std::move(page.value()));
    } else {
      handle_page_failure(run, index, page.error());
    }
  });
}

void FleetLister::handle_page(const std::shared_ptr<Run>& run, std::size_t index, ListPage page) {
  Range& range = run->ranges[index];
  range.failed_attempts = 0;
  if (run->revision && run->revision->era() != page.revision.era()) {
    fail_run(run, {shared_store::StoreErrc::kNotExecuted,
                   "the store was restored from an older copy between two pages"});
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

void FleetLister::handle_page_failure(const std::shared_ptr<Run>& run, std::size_t index,
                                      const StoreError& error) {
  Range& range = run->ranges[index];
  if (++range.failed_attempts >= kMaxPageAttempts) {
    fail_run(run, error);
    return;
  }
  range.retry = std::make_unique<Timer>(timers_);
  // The run owns the timer; a strong reference would form a cycle.
  range.retry->arm(kRetryDelay, [this, weak_run = std::weak_ptr<Run>(run), index] {
    const std::shared_ptr<Run> waiting = weak_run.lock();
    if (waiting != nullptr && waiting == run_) {
      read(waiting, index);
    }
  });
}

void FleetLister::fail_run(const std::shared_ptr<Run>& run, StoreError error) {
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
