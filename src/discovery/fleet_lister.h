// Lists the whole store, page by page, several ranges of keys at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "base/timer.h"
#include "shared_store/store.h"

namespace ochrespring::discovery {

/// One after the other, the pages of a large fleet handle_page longer than a view may be old while
/// the store answers slowly: 55 pages of 200 keys at 200 ms are 11 s, in eight ranges 1.4 s. A page
/// that fails is asked for again; the pages before it are kept. One listing at a time; one loop.
class FleetLister {
 public:
  using Done = std::function<void(Result<shared_store::Listing, shared_store::StoreError>)>;

  FleetLister(shared_store::SharedStore& store, TimerService& timers)
      : store_(store), timers_(timers) {}

  /// Lists everything. `boundaries` are keys, in their order, at which one range boundaries and the
  /// next one begins; empty: one range. A listing that runs is dropped.
  void start(const std::vector<std::string>& boundaries, Done done);
  /// Goes on behind a first page that has been read.
  void resume(shared_store::ListPage first, Done done);
  /// Drops the listing that runs, if there is one; nothing is called back any more.
  void stop() { run_.reset(); }
  bool running() const { return run_ != nullptr; }

 private:
  /// Tries of one page; the store forgets single calls more often than it is out.
  static constexpr std::uint32_t kMaxPageAttempts = 3;
  static constexpr Duration kRetryDelay{std::chrono::milliseconds(100)};

  /// The keys behind `after` up to and including `last`.
  struct Range {
    std::string after;
    std::string last;  ///< Empty: no end.
    std::uint32_t failed_attempts = 0;
    std::vector<shared_store::Change> items;
    std::unique_ptr<Timer> retry;
  };
  struct Run {
    std::vector<Range> ranges;
    std::size_t unfinished = 0;
    std::optional<shared_store::StoreRevision> revision;  ///< The oldest of all pages.
    Done done;
  };

  void read(const std::shared_ptr<Run>& run, std::size_t index);
  void handle_page(const std::shared_ptr<Run>& run, std::size_t index, shared_store::ListPage page);
  void handle_page_failure(const std::shared_ptr<Run>& run, std::size_t index,
                           const shared_store::StoreError& error);
  void finish_range(const std::shared_ptr<Run>& run);
  void fail_run(const std::shared_ptr<Run>& run, shared_store::StoreError error);

  shared_store::SharedStore& store_;
  TimerService& timers_;
  std::shared_ptr<Run> run_;  ///< Answers to a run that is no longer this one are passed over.
};

}  // namespace ochrespring::discovery
