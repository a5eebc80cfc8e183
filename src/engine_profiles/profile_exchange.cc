#include "engine_profiles/profile_exchange.h"

#include <utility>

#include "metrics/counter_table.h"
#include "wire/codec.h"

namespace ochrespring::engine_profiles {

namespace {

/// Encoded size of the kind of a message and the length of its lists.
constexpr std::size_t kEnvelopeBytes = 8;

constexpr metrics::CounterRow<ProfileExchangeStatistics> kCounters[] = {
    {"engine_profile_news_told", "Engine profile reports sent to other nodes",
     &ProfileExchangeStatistics::reports_sent},
    {"engine_profile_news_taken", "Engine profile reports received from other nodes",
     &ProfileExchangeStatistics::reports_received},
    {"engine_profile_news_repeated", "Engine profile reports received again or out of order",
     &ProfileExchangeStatistics::duplicates},
    {"engine_profile_changes_dropped", "Engine changes not reported because too many were pending",
     &ProfileExchangeStatistics::changes_dropped},
};

}  // namespace

ProfileExchange::ProfileExchange(Dependencies deps, NodeId node, Transport transport)
    : deps_(deps),
      node_(std::move(node)),
      incarnation_(deps.random.next()),
      transport_(std::move(transport)),
      report_timer_(deps.timers),
      relay_timer_(deps.timers) {
  deps_.table.on_change([this](const gateway::BackendId& engine) { note_change(engine); });
}

/// The first report is delayed at random so that nodes started together do not send at the same
/// time.
void ProfileExchange::start() {
  report_timer_.arm(deps_.random.part_of(kReportPeriod), [this] { send_changes(); });
}

void ProfileExchange::note_change(const gateway::BackendId& engine) {
  if (pending_changes_.size() < kMaxPendingChanges || pending_changes_.contains(engine)) {
    pending_changes_.insert(engine);
  } else {
    ++statistics_.changes_dropped;
  }
}

void ProfileExchange::send_changes() {
  report_timer_.arm(kReportPeriod, [this] { send_changes(); });
  requeue_long_streams();
  ProfileReport report = make_report();
  std::size_t bytes = kEnvelopeBytes + wire::encode(report).size();
  auto next = pending_changes_.upper_bound(last_reported_);
  while (!pending_changes_.empty()) {
    if (next == pending_changes_.end()) {
      next = pending_changes_.begin();
    }
    EngineProfileReport engine_report = deps_.table.own_report(*next);
    const std::size_t added_bytes = wire::encode(engine_report).size();
    if (bytes + added_bytes > kMaxMessageBytes) {
      break;
    }
    bytes += added_bytes;
    deps_.table.mark_reported(*next);
    if (engine_report.long_streams != 0) {
      long_stream_engines_[*next] = deps_.clock.now();
    } else {
      long_stream_engines_.erase(*next);
    }
    last_reported_ = *next;
    next = pending_changes_.erase(next);
    report.engines.push_back(std::move(engine_report));
  }
  if (!report.engines.empty()) {
    ++statistics_.reports_sent;
    transport_.broadcast(report);
  }
}

void ProfileExchange::requeue_long_streams() {
  const MonotonicTime now = deps_.clock.now();
  for (const auto& [engine, reported_at] : long_stream_engines_) {
    if (now - reported_at >= kLongStreamRepeatPeriod) {
      note_change(engine);
    }
  }
}

ProfileReport ProfileExchange::make_report() {
  return {.node = node_, .incarnation = incarnation_, .sequence = ++sequence_, .engines = {}};
}

void ProfileExchange::receive(const ProfileReport& report) {
  const Peer* peer = accept_report(report);
  if (peer == nullptr) {
    return;
  }
  const MonotonicTime now = deps_.clock.now();
  for (const EngineProfileReport& engine_report : report.engines) {
    deps_.table.receive(engine_report, peer->index, now);
  }
}

void ProfileExchange::receive(const RelayedProfileReports& relayed) {
  for (const ProfileReport& report : relayed.reports) {
    receive(report);
  }
}

void ProfileExchange::receive_for_relay(const ProfileReport& report) {
  const std::size_t bytes = wire::encode(report).size();
  if (kEnvelopeBytes + bytes > kMaxMessageBytes) {
    // Other nodes never send a message of this size.
    return;
  }
  receive(report);
  if (kEnvelopeBytes + relay_batch_bytes_ + bytes > kMaxMessageBytes) {
    flush_relay_batch();
  }
  relay_batch_.reports.push_back(report);
  relay_batch_bytes_ += bytes;
  if (!relay_timer_.armed()) {
    relay_timer_.arm(kRelayBatchDelay, [this] { flush_relay_batch(); });
  }
}

void ProfileExchange::flush_relay_batch() {
  relay_timer_.disarm();
  relay_batch_bytes_ = 0;
  const RelayedProfileReports relayed = std::exchange(relay_batch_, {});
  if (!relayed.reports.empty()) {
    transport_.send_to_zone(relayed);
  }
}

const ProfileExchange::Peer* ProfileExchange::accept_report(const ProfileReport& report) {
  if (report.node == node_) {
    return nullptr;
  }
  const MonotonicTime now = deps_.clock.now();
  if (peers_by_node_.size() >= kMaxPeers && !peers_by_node_.contains(report.node)) {
    std::erase_if(peers_by_node_, [&](const auto& peer) {
      return now - peer.second.last_received_at > kPeerTimeout;
    });
    if (peers_by_node_.size() >= kMaxPeers) {
      return nullptr;
    }
  }
  const auto [entry, is_new] = peers_by_node_.try_emplace(report.node);
  Peer& peer = entry->second;
  if (is_new) {
    peer.index = next_index_++;
  } else if (peer.incarnation == report.incarnation && report.sequence <= peer.sequence) {
    ++statistics_.duplicates;
    return nullptr;
  }
  peer.incarnation = report.incarnation;
  peer.sequence = report.sequence;
  peer.last_received_at = now;
  ++statistics_.reports_received;
  return &peer;
}

void ProfileExchange::send_all(const std::function<void(const ProfileReport&)>& send) {
  const MonotonicTime now = deps_.clock.now();
  ProfileReport report = make_report();
  std::size_t bytes = kEnvelopeBytes + wire::encode(report).size();
  std::size_t messages_sent = 0;
  const auto flush = [&] {
    if (!report.engines.empty()) {
      ++messages_sent;
      send(report);
    }
    report = make_report();
    bytes = kEnvelopeBytes + wire::encode(report).size();
  };
  deps_.table.for_each_known(now, [&](EngineProfileReport engine_report) {
    const std::size_t added_bytes = wire::encode(engine_report).size();
    if (bytes + added_bytes > kMaxMessageBytes) {
      flush();
    }
    bytes += added_bytes;
    report.engines.push_back(std::move(engine_report));
    return messages_sent < kMaxFullReportMessages;
  });
  if (messages_sent < kMaxFullReportMessages) {
    flush();
  }
}

void ProfileExchange::forget(const gateway::BackendId& engine) {
  pending_changes_.erase(engine);
  long_stream_engines_.erase(engine);
  deps_.table.forget(engine);
}

void ProfileExchange::add_metrics(metrics::SampleSink& sink) const {
  metrics::add_counters(kCounters, statistics_, sink);
}

}  // namespace ochrespring::engine_profiles
