// Distributes records of the software that began streams over the nodes, and finds them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "base/random.h"
#include "base/timer.h"
#include "discovery/node_directory.h"
#include "gateway/stream_registry.h"
#include "logging/logger.h"
#include "metrics/metrics.h"
#include "stream_records/holder_selector.h"
#include "stream_records/record_table.h"
#include "stream_records/software_history.h"
#include "stream_records/types.h"

namespace ochrespring::stream_records {

struct StreamRecordStatistics {
  std::uint64_t records_sent = 0;        ///< To other nodes, each counted.
  std::uint64_t found_locally = 0;       ///< Look-ups that this node's own records answered.
  std::uint64_t found_remotely = 0;      ///< Look-ups that another node answered.
  std::uint64_t not_found = 0;           ///< Look-ups without a record at any node asked.
  std::uint64_t conflicting = 0;         ///< Look-ups of streams with conflicting records.
  std::uint64_t lookups_unanswered = 0;  ///< Look-ups that ended before all nodes had answered.
  std::uint64_t lookups_rejected = 0;    ///< Too many were in progress.
  /// Streams without a record, by what the history of their service shows.
  std::uint64_t sole_software = 0;
  std::uint64_t several_software = 0;
  std::uint64_t unknown_history = 0;
  std::uint64_t outdated_view = 0;
};

/// The node that begins a stream sends its record to kHolders other nodes; the node at which its
/// caller takes it up asks these. Records are sent once and not acknowledged, so a record may be
/// unknown, but it is never wrong.
///
/// Performs no input or output itself; must be used from one event loop.
class StreamRecords final : public gateway::StreamRegistry {
 public:
  /// Nodes that hold a record besides the one that began the stream. If a random half of the nodes
  /// is killed, one of 32 records is lost.
  static constexpr std::size_t kHolders = 5;
  /// More nodes are asked than hold a record, since nodes may know about different fleets.
  static constexpr std::size_t kNodesAsked = kHolders + 3;
  static constexpr std::size_t kMaxLookups = 1'024;  ///< In progress.

  /// All references must outlive the records.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    logging::Logger& logger;
    const discovery::NodeDirectory& nodes;
    const gateway::FleetState& fleet;
    /// Brings the view and the history up to date as of a moment, if possible, and calls back.
    std::function<void(MonotonicTime as_of, std::function<void()> done)> confirm;
  };

  /// Sends messages to other nodes; they may be lost, duplicated or delayed.
  struct Channel {
    std::function<void(const Endpoint& to, const StreamRecord&)> send_record;
    std::function<void(const Endpoint& to, const RecordQuery&)> send_query;
    std::function<void(const Endpoint& to, const RecordReply&)> send_reply;
  };

  StreamRecords(Dependencies deps, Channel channel);

  void note_begun(const gateway::StreamKey& stream, gateway::SoftwareId software,
                  Duration lifetime) override;
  void find(const gateway::StreamQuery& query, FindCallback done) override;
  void note_stream(const ServiceName& service, Duration lifetime) override {
    history_.note_stream(service, lifetime);
  }

  void receive(const StreamRecord& record) { table_.put(record, deps_.clock.now()); }
  void receive(const RecordQuery& query);
  void receive(const RecordReply& reply);

  SoftwareHistory& history() { return history_; }
  /// Calls `send` with what a node that starts now needs to know, once this node's view shows all
  /// software that has left by now; not at all if this node cannot know that.
  void report_history(std::function<void(const SoftwareHistoryReport&)> send);
  const StreamRecordStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  struct Lookup {
    explicit Lookup(TimerService& timers) : timer(timers) {}

    gateway::StreamQuery query;
    std::map<NodeId, Endpoint> unanswered;  ///< Nodes asked that have not answered yet.
    MonotonicTime started{};
    FindCallback done;
    Timer timer;
  };

  void send_queries(std::uint64_t sequence);
  void on_unanswered(std::uint64_t sequence);
  /// Ends a look-up with the result of a node that has a record.
  void complete(std::uint64_t sequence, const gateway::StreamOrigin& origin);
  /// Ends a look-up that has found no record.
  void complete_without_record(std::uint64_t sequence);
  /// Calls `done` with what the history of its service shows of a stream without a record. That no
  /// node knows a stream does not show that none began it, so this needs a view in which all
  /// software stands that can have begun it.
  void conclude(const gateway::StreamQuery& query, FindCallback done);
  gateway::StreamOrigin origin_without_record(const gateway::StreamQuery& query) const;
  void report(const gateway::StreamOrigin& origin, const FindCallback& done);

  Dependencies deps_;
  Channel channel_;
  RecordTable table_;
  HolderSelector holders_;
  SoftwareHistory history_;
  std::map<std::uint64_t, Lookup> lookups_;  ///< By sequence.
  std::uint64_t next_sequence_;
  StreamRecordStatistics statistics_;
};

}  // namespace ochrespring::stream_records
