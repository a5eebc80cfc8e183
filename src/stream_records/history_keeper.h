// Keeps the history of software in the shared store, so that it outlives all nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/random.h"
#include "base/timer.h"
#include "discovery/read_confirmation.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "shared_store/store.h"
#include "stream_records/software_history.h"

namespace ochrespring::stream_records {

struct HistoryKeeperStatistics {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t failed_calls = 0;  ///< Conflicts with writes of other nodes are not counted.
};

/// Reads the history when a node lacks what the store has, and writes it when software joins or
/// leaves a service or a caller waits longer than any before. Every write is conditional on what
/// was read. One node writes; the others do so only if nobody else has for a while. But software
/// that joins is written at once by each node that has read it from the store, since others learn
/// of it from that node, and nodes that start know only from the store what has left. Makes no
/// calls while nothing changes.
///
/// Performs no input or output itself; must be used from one event loop.
class HistoryKeeper {
 public:
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    shared_store::SharedStore& store;
    logging::Logger& logger;
    SoftwareHistory& history;
    const gateway::FleetState& fleet;
  };
  struct Options {
    std::string key;                          ///< Of the StoredHistory.
    std::function<bool()> is_first_choice;    ///< Whether this node writes before all others.
    std::function<std::size_t()> node_count;  ///< Calls of a large fleet are spread over more time.
  };

  HistoryKeeper(Dependencies deps, Options options);

  void start();
  void note_added(const gateway::Backend& backend);
  /// Called when the view is known to match the store, also by news of other nodes.
  void on_view_current();
  /// Calls back, possibly before it returns, with whether the history contains what the store's
  /// entry held at `as_of`; if necessary, reads it.
  void confirm(MonotonicTime as_of, discovery::ReadConfirmation::Done done) {
    confirmation_.await(as_of, std::move(done));
  }
  /// Called when the store was restored from an older copy.
  void on_store_rolled_back();
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  /// The entry as this node last read or wrote it.
  struct Entry {
    StoredHistory history;
    shared_store::StoreRevision revision;  ///< Zero: the store holds none.
  };

  Duration interval() const;
  /// What any node noticed at this time or earlier is in the store now, unless calls have failed.
  MonotonicTime written_before() const;
  void schedule();
  void check();
  void read();
  /// Reads now unless a call is running. Returns whether it began one.
  bool read_now();
  /// When a read began, and what it therefore shows.
  struct ReadBegin {
    MonotonicTime at{};
    MonotonicTime written_before{};  ///< What any node noticed until then is in the answer.
    std::uint64_t gaps = 0;          ///< SoftwareHistory::gaps() until then.
  };
  void handle_read(const Result<shared_store::Change, shared_store::StoreError>& result,
                   const ReadBegin& begin);
  /// Writes what this node knows better than the entry just read, if it is this node's turn.
  void write_if_outdated();
  /// Whether the store lacks software at which streams that callers may take up can begin.
  bool lacks_joined() const;
  void write(StoredHistory updated);
  void note_failure(const std::string& call, const shared_store::StoreError& error);

  Dependencies deps_;
  Options options_;
  Timer timer_;
  discovery::ReadConfirmation confirmation_;
  std::optional<Entry> entry_;
  /// Software that has joined and that the store is not known to have.
  std::set<std::pair<ServiceName, gateway::SoftwareId>> joined_;
  std::optional<MonotonicTime> view_confirmed_at_;  ///< As of the last on_view_current().
  std::uint32_t outdated_reads_ = 0;  ///< Reads in a row that found the store not up to date.
  HistoryKeeperStatistics statistics_;
};

}  // namespace ochrespring::stream_records
