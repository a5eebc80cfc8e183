#include "stream_records/history_keeper.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "metrics/counter_table.h"
#include "wire/codec.h"

namespace ochrespring::stream_records {

using shared_store::StoreErrc;

namespace {

constexpr std::string_view kComponent = "stream_records";
/// Interval between checks, which make a call only if there is a reason. In a large fleet all nodes
/// may have one at the same time.
constexpr Duration kMinInterval = std::chrono::milliseconds(500);
constexpr Duration kIntervalPerNode = std::chrono::milliseconds(3);
/// For how long requests wait for a read.
constexpr Duration kMaxConfirmationTime = std::chrono::milliseconds(400);
/// Number of reads after which a node that is not the first choice writes.
constexpr std::uint32_t kReadsBeforeWriting = 3;
/// Time for the calls of all these reads and the write.
constexpr Duration kMaxCallTime = std::chrono::seconds(2);

constexpr metrics::CounterRow<HistoryKeeperStatistics> kCounters[] = {
    {"software_history_reads", "Reads of the history of software from the store",
     &HistoryKeeperStatistics::reads},
    {"software_history_writes", "Changes of the history of software written to the store",
     &HistoryKeeperStatistics::writes},
    {"software_history_failures", "Reads and writes of the history of software that failed",
     &HistoryKeeperStatistics::failed_calls},
};

}  // namespace

HistoryKeeper::HistoryKeeper(Dependencies deps, Options options)
    : deps_(deps),
      options_(std::move(options)),
      timer_(deps.timers),
      confirmation_(deps.clock, deps.timers, kMaxConfirmationTime,
                    {.read = [this] { return read_now(); }, .node_count = options_.node_count}) {}

void HistoryKeeper::start() {
  schedule();
}

void HistoryKeeper::note_added(const gateway::Backend& backend) {
  const gateway::SoftwareId software = software_of(backend);
  if (backend.role != gateway::EngineRole::kPrefill &&
      !(entry_ && entry_->history.covers(backend.service, software))) {
    joined_.insert({backend.service, software});
  }
}

void HistoryKeeper::on_view_current() {
  const bool has_read =
      std::exchange(view_confirmed_at_, deps_.fleet.confirmed_at()) != view_confirmed_at_;
  // Without an entry, nodes write only once they know all streams.
  const bool has_entry = entry_ && !entry_->history.services.empty();
  if (has_read && has_entry && lacks_joined()) {
    read_now();
  }
}

bool HistoryKeeper::lacks_joined() const {
  return std::any_of(joined_.begin(), joined_.end(),
                     [this](const auto& item) { return deps_.history.is_resumable(item.first); });
}

bool HistoryKeeper::read_now() {
  const bool idle = timer_.armed();
  if (idle) {
    timer_.disarm();
    read();
  }
  return idle;
}

void HistoryKeeper::on_store_rolled_back() {
  deps_.history.on_store_rolled_back();
  entry_.reset();
}

Duration HistoryKeeper::interval() const {
  return std::max(kMinInterval,
                  kIntervalPerNode * static_cast<std::int64_t>(options_.node_count()));
}

MonotonicTime HistoryKeeper::written_before() const {
  return deps_.clock.now() - (kReadsBeforeWriting + 1) * interval() - kMaxCallTime;
}

void HistoryKeeper::schedule() {
  const Duration shortest = interval() / 2;
  timer_.arm(shortest + deps_.random.part_of(shortest), [this] { check(); });
  confirmation_.note_unconfirmed();
}

void HistoryKeeper::check() {
  const bool is_outdated = entry_ && deps_.history.update(entry_->history) != entry_->history;
  if (deps_.history.needs_store(written_before()) || is_outdated) {
    read();
  } else {
    outdated_reads_ = 0;
    schedule();
  }
}

void HistoryKeeper::read() {
  ++statistics_.reads;
  const ReadBegin begin{deps_.clock.now(), written_before(), deps_.history.gaps()};
  deps_.store.get(options_.key, [this, begin](const auto& result) { handle_read(result, begin); });
}

void HistoryKeeper::handle_read(
    const Result<shared_store::Change, shared_store::StoreError>& result, const ReadBegin& begin) {
  if (begin.gaps != deps_.history.gaps()) {
    schedule();
    return;
  }
  if (result) {
    const auto decoded = wire::decode<StoredHistory>(result.value().value.value_or(""));
    if (!decoded) {
      entry_.reset();
      confirmation_.note_read(begin.at, false);
      note_failure("decode", {StoreErrc::kMalformed, decoded.error().message});
      return;
    }
    entry_ = Entry{decoded.value(), result.value().revision};
    deps_.history.apply(entry_->history, begin.written_before);
  } else if (result.error().code == StoreErrc::kNotFound) {
    entry_ = Entry();
    deps_.history.apply_nothing_stored(begin.written_before);
  } else {
    confirmation_.note_read(begin.at, false);
    note_failure("read", result.error());
    return;
  }
  deps_.history.note_entry_read(begin.at);
  confirmation_.note_read(begin.at, true);
  write_if_outdated();
}

void HistoryKeeper::write_if_outdated() {
  std::erase_if(joined_, [this](const auto& item) {
    return entry_->history.covers(item.first, item.second);
  });
  StoredHistory updated = deps_.history.update(entry_->history);
  const bool is_outdated = updated != entry_->history;
  outdated_reads_ = is_outdated ? outdated_reads_ + 1 : 0;
  if (!is_outdated && deps_.history.is_view_current()) {
    joined_.clear();
  }
  if (is_outdated &&
      (lacks_joined() || options_.is_first_choice() || outdated_reads_ > kReadsBeforeWriting)) {
    write(std::move(updated));
  } else {
    schedule();
  }
}

void HistoryKeeper::write(StoredHistory updated) {
  const shared_store::Transaction transaction{
      .conditions = {{options_.key, entry_->revision}},
      .writes = {{options_.key, wire::encode(updated), std::nullopt}},
      .removals = {}};
  deps_.store.commit(transaction, [this, updated = std::move(updated)](const auto& result) {
    if (result) {
      ++statistics_.writes;
      entry_ = Entry{updated, result.value()};
      deps_.logger.write({logging::Level::kInfo,
                          kComponent,
                          "history of software stored",
                          {{"services", static_cast<std::uint64_t>(updated.services.size())}}});
      write_if_outdated();
    } else if (result.error().code != StoreErrc::kConflict) {
      note_failure("write", result.error());
    } else if (lacks_joined()) {
      read();
    } else {
      schedule();
    }
  });
}

void HistoryKeeper::note_failure(const std::string& call, const shared_store::StoreError& error) {
  ++statistics_.failed_calls;
  deps_.logger.write({logging::Level::kWarning,
                      kComponent,
                      "history of software not kept in the store",
                      {{"call", call}, {"reason", error.message}}});
  schedule();
}

void HistoryKeeper::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
}

}  // namespace ochrespring::stream_records
