// Lists the whole store page by page, reading several key ranges concurrently.
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

/// Read sequentially, the pages of a large fleet take longer than a view may be old while the store
/// answers slowly: 55 pages of 200 keys at 200 ms take 11 s, in eight ranges 1.4 s. A failed page
/// is retried; the pages before it are kept. Runs one listing at a time on one event loop.
class FleetLister {
 public:
  using ListingCallback =
      std::function<void(Result<shared_store::Listing, shared_store::StoreError>)>;

  FleetLister(shared_store::SharedStore& store, TimerService& timers)
      : store_(store), timers_(timers) {}

  /// Starts listing all keys. `boundaries` are sorted keys at which one range ends and the next one
  /// begins; empty means a single range. Cancels a listing that is running.
  void start(const std::vector<std::string>& boundaries, ListingCallback done);
  /// Continues a listing after a first page that has already been read.
  void resume(shared_store::ListPage first, ListingCallback done);
  /// Cancels the running listing, if any; its callback is not called.
  void stop() { run_.reset(); }
  bool running() const { return run_ != nullptr; }

 private:
  /// A page is retried, because single failed calls are more frequent than outages.
  static constexpr std::uint32_t kMaxPageAttempts = 3;
  static constexpr Duration kRetryDelay{std::chrono::milliseconds(100)};

  /// The keys after `after` up to and including `last`.
  struct Range {
    std::string after;
    std::string last;  ///< Empty: no upper limit.
    std::uint32_t failed_attempts = 0;
    std::vector<shared_store::Change> items;
    std::unique_ptr<Timer> retry;
  };
  struct Run {
    std::vector<Range> ranges;
    std::size_t unfinished = 0;
    std::optional<shared_store::StoreRevision> revision;  ///< The oldest of all pages.
    ListingCallback done;
  };

  void read(const std::shared_ptr<Run>& run, std::size_t index);
  void handle_page(const std::shared_ptr<Run>& run, std::size_t index, shared_store::ListPage page);
  void handle_page_failure(const std::shared_ptr<Run>& run, std::size_t index,
                           const shared_store::StoreError& error);
  /// Completes the run if this was its last unfinished range.
  void finish_range(const std::shared_ptr<Run>& run);
  void fail_run(const std::shared_ptr<Run>& run, shared_store::StoreError error);

  shared_store::SharedStore& store_;
  TimerService& timers_;
  std::shared_ptr<Run> run_;  ///< Answers to a run other than this one are ignored.
};

}  // namespace ochrespring::discovery
