#include "stream_records/stream_records.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "metrics/counter_table.h"

namespace ochrespring::stream_records {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kComponent = "stream_records";
/// A query is sent again after this time, in case a datagram was lost: a round trip between zones
/// takes about 10 ms.
constexpr Duration kRetryDelay = milliseconds(50);
/// A look-up that still lacks answers ends after this time: the caller waits, and nodes that have
/// terminated do not answer.
constexpr Duration kLookupTimeout = milliseconds(150);

constexpr metrics::CounterRow<StreamRecordStatistics> kCounters[] = {
    {"stream_records_sent", "Records of begun streams sent to other nodes",
     &StreamRecordStatistics::records_sent},
    {"stream_lookups_found_here", "Streams taken up whose record this node holds",
     &StreamRecordStatistics::found_locally},
    {"stream_lookups_found_elsewhere", "Streams taken up whose record another node holds",
     &StreamRecordStatistics::found_remotely},
    {"stream_lookups_not_found", "Streams taken up without a record at any node asked",
     &StreamRecordStatistics::not_found},
    {"stream_lookups_conflicting", "Streams taken up whose records name different software",
     &StreamRecordStatistics::conflicting},
    {"stream_lookups_unanswered", "Look-ups of streams that nodes did not answer in time",
     &StreamRecordStatistics::lookups_unanswered},
    {"stream_lookups_rejected", "Look-ups of streams rejected because too many were in progress",
     &StreamRecordStatistics::lookups_rejected},
    {"streams_of_sole_software", "Streams without a record whose service has had one software",
     &StreamRecordStatistics::sole_software},
    {"streams_of_several_software",
     "Streams without a record whose service has had several software",
     &StreamRecordStatistics::several_software},
    {"streams_of_unknown_history",
     "Streams without a record while this node does not know all software of the service",
     &StreamRecordStatistics::unknown_history},
    {"streams_beside_outdated_view", "Streams without a record while this node's view is too old",
     &StreamRecordStatistics::outdated_view},
};

std::uint64_t StreamRecordStatistics::*counter_of(gateway::OriginEvidence evidence) {
  switch (evidence) {
    case gateway::OriginEvidence::kSoleSoftware:
      return &StreamRecordStatistics::sole_software;
    case gateway::OriginEvidence::kSeveralSoftware:
      return &StreamRecordStatistics::several_software;
    case gateway::OriginEvidence::kOutdatedView:
      return &StreamRecordStatistics::outdated_view;
    default:
      return &StreamRecordStatistics::unknown_history;
  }
}

}  // namespace

StreamRecords::StreamRecords(Dependencies deps, Channel channel)
    : deps_(deps),
      channel_(std::move(channel)),
      holders_(deps.clock, deps.nodes),
      history_(deps.clock, deps.fleet),
      next_sequence_(deps.random.next()) {}

void StreamRecords::note_begun(const gateway::StreamKey& stream, gateway::SoftwareId software,
                               Duration lifetime) {
  const StreamRecord record{stream, software, lifetime};
  table_.put(record, deps_.clock.now());
  for (const discovery::NodeRecord* holder : holders_.select(stream, kHolders)) {
    channel_.send_record(holder->peer_address, record);
    ++statistics_.records_sent;
  }
}

void StreamRecords::find(const gateway::StreamQuery& query, FindCallback done) {
  if (!query.stream) {
    conclude(query, std::move(done));
    return;
  }
  const RecordTable::Entry known = table_.find(*query.stream, deps_.clock.now());
  if (known.state == RecordState::kKnown) {
    ++statistics_.found_locally;
    done({known.software, gateway::OriginEvidence::kOwnRecord});
    return;
  }
  if (known.state == RecordState::kConflicting) {
    ++statistics_.conflicting;
    done({{}, gateway::OriginEvidence::kConflicting});
    return;
  }
  if (lookups_.size() >= kMaxLookups) {
    ++statistics_.lookups_rejected;
    conclude(query, std::move(done));
    return;
  }
  const auto asked = holders_.select(*query.stream, kNodesAsked);
  if (asked.empty()) {
    ++statistics_.not_found;
    conclude(query, std::move(done));
    return;
  }
  const std::uint64_t sequence = next_sequence_++;
  Lookup& lookup = lookups_.try_emplace(sequence, deps_.timers).first->second;
  lookup.query = query;
  for (const discovery::NodeRecord* node : asked) {
    lookup.unanswered.emplace(node->node, node->peer_address);
  }
  lookup.started = deps_.clock.now();
  lookup.done = std::move(done);
  send_queries(sequence);
}

void StreamRecords::send_queries(std::uint64_t sequence) {
  Lookup& lookup = lookups_.at(sequence);
  for (const auto& [node, address] : lookup.unanswered) {
    channel_.send_query(address, {deps_.nodes.self().peer_address, sequence, *lookup.query.stream});
  }
  const Duration passed = deps_.clock.now() - lookup.started;
  if (passed < kRetryDelay) {
    lookup.timer.arm(kRetryDelay, [this, sequence] { send_queries(sequence); });
  } else {
    lookup.timer.arm(std::max(kLookupTimeout - passed, Duration::zero()),
                     [this, sequence] { on_unanswered(sequence); });
  }
}

void StreamRecords::on_unanswered(std::uint64_t sequence) {
  std::string nodes;
  for (const auto& [node, address] : lookups_.at(sequence).unanswered) {
    nodes += (nodes.empty() ? "" : " ") + node.value();
  }
  deps_.logger.write({logging::Level::kInfo,
                      kComponent,
                      "nodes did not answer a look-up of a stream",
                      {{"nodes", std::move(nodes)}}});
  ++statistics_.lookups_unanswered;
  complete_without_record(sequence);
}

void StreamRecords::complete(std::uint64_t sequence, const gateway::StreamOrigin& origin) {
  auto lookup = lookups_.extract(sequence);
  lookup.mapped().timer.disarm();
  lookup.mapped().done(origin);
}

void StreamRecords::complete_without_record(std::uint64_t sequence) {
  auto lookup = lookups_.extract(sequence);
  lookup.mapped().timer.disarm();
  conclude(lookup.mapped().query, std::move(lookup.mapped().done));
}

void StreamRecords::conclude(const gateway::StreamQuery& query, FindCallback done) {
  const gateway::StreamOrigin origin = origin_without_record(query);
  if (origin.evidence != gateway::OriginEvidence::kOutdatedView) {
    report(origin, done);
    return;
  }
  deps_.confirm(query.arrived, [this, query, done = std::move(done)] {
    report(origin_without_record(query), done);
  });
}

gateway::StreamOrigin StreamRecords::origin_without_record(
    const gateway::StreamQuery& query) const {
  if (!query.service) {
    return {{}, gateway::OriginEvidence::kSeveralSoftware};
  }
  if (query.routes != deps_.fleet.routes()) {
    // Under the newer configuration, other nodes may have begun the stream at another service.
    return {{}, gateway::OriginEvidence::kOutdatedView};
  }
  return history_.conclude(*query.service, query.arrived);
}

void StreamRecords::report_history(std::function<void(const SoftwareHistoryReport&)> send) {
  if (!history_.is_informed()) {
    return;
  }
  const MonotonicTime now = deps_.clock.now();
  deps_.confirm(now, [this, now, send = std::move(send)]() {
    if (const auto report = history_.report(now)) {
      send(*report);
    }
  });
}

void StreamRecords::report(const gateway::StreamOrigin& origin, const FindCallback& done) {
  ++(statistics_.*counter_of(origin.evidence));
  done(origin);
}

void StreamRecords::receive(const RecordQuery& query) {
  const RecordTable::Entry known = table_.find(query.stream, deps_.clock.now());
  channel_.send_reply(query.reply_to,
                      {deps_.nodes.self().node, query.sequence, known.state, known.software});
}

void StreamRecords::receive(const RecordReply& reply) {
  const auto found = lookups_.find(reply.sequence);
  if (found == lookups_.end() || found->second.unanswered.erase(reply.node) == 0) {
    return;
  }
  switch (reply.state) {
    case RecordState::kKnown:
      ++statistics_.found_remotely;
      complete(reply.sequence, {reply.software, gateway::OriginEvidence::kPeerRecord});
      return;
    case RecordState::kConflicting:
      ++statistics_.conflicting;
      complete(reply.sequence, {{}, gateway::OriginEvidence::kConflicting});
      return;
    case RecordState::kNone:
      break;
  }
  if (found->second.unanswered.empty()) {
    ++statistics_.not_found;
    complete_without_record(reply.sequence);
  }
}

void StreamRecords::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
  sink.gauge({"stream_records_held", "Records of begun streams that this node holds"},
             static_cast<double>(table_.size()));
  sink.counter({"stream_records_evicted", "Records of begun streams dropped before they expired"},
               static_cast<double>(table_.evicted()));
  sink.counter({"stream_records_conflicting", "Streams whose records name different software"},
               static_cast<double>(table_.conflicts()));
}

}  // namespace ochrespring::stream_records
