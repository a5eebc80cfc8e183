// Exchange of engine profiles between nodes.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "base/random.h"
#include "base/timer.h"
#include "engine_profiles/engine_profile_table.h"
#include "engine_profiles/types.h"
#include "metrics/metrics.h"

namespace ochrespring::engine_profiles {

struct ProfileExchangeStatistics {
  std::uint64_t reports_sent = 0;      ///< Own reports to other nodes, without relayed ones.
  std::uint64_t reports_received = 0;  ///< New reports of other nodes.
  std::uint64_t duplicates = 0;        ///< Reports received again or out of order.
  std::uint64_t changes_dropped = 0;   ///< Changes not reported because too many were pending.
};

/// Once a second, reports the changed engines to the other nodes, as many as fit into one datagram,
/// in round-robin order. As a relay it collects the reports of other nodes and forwards several in
/// one datagram.
///
/// Performs no input or output itself; must be used from one event loop.
class ProfileExchange {
 public:
  /// Maximum size of an encoded message.
  static constexpr std::size_t kMaxMessageBytes = 1'200;

  /// All references must outlive the exchange.
  struct Dependencies {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    EngineProfileTable& table;
  };
  struct Transport {
    std::function<void(const ProfileReport&)> broadcast;             ///< To all other nodes.
    std::function<void(const RelayedProfileReports&)> send_to_zone;  ///< As a relay.
  };

  ProfileExchange(Dependencies deps, NodeId node, Transport transport);

  void start();
  void receive(const ProfileReport& report);
  void receive(const RelayedProfileReports& relayed);
  /// As a relay: merges the report and forwards it to the zone.
  void receive_for_relay(const ProfileReport& report);
  /// Sends everything known to a node that has just started, by calls of `send`.
  void send_all(const std::function<void(const ProfileReport&)>& send);
  /// Removes an engine that has terminated.
  void forget(const gateway::BackendId& engine);

  const ProfileExchangeStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  static constexpr Duration kReportPeriod = std::chrono::seconds(1);
  /// Running long streams are reported again after this time; see LongStreams::kReportLifetime.
  static constexpr Duration kLongStreamRepeatPeriod = std::chrono::milliseconds(1900);
  /// How long a relay collects reports before it forwards them.
  static constexpr Duration kRelayBatchDelay = std::chrono::milliseconds(200);
  /// Maximum number of changes that wait to be reported. One datagram holds about 25, and a change
  /// that has waited for a half-life of the samples has little value.
  static constexpr std::size_t kMaxPendingChanges = 256;
  /// Maximum number of tracked nodes. When it is reached, nodes without a report for kPeerTimeout
  /// are removed; if there are none, reports from new nodes are dropped.
  static constexpr std::size_t kMaxPeers = 4'096;
  static constexpr Duration kPeerTimeout = std::chrono::seconds(60);
  /// Maximum number of messages to one node that asks: about 1,600 engines. The node uses the
  /// median for all others.
  static constexpr std::size_t kMaxFullReportMessages = 64;

  struct Peer {
    NodeIndex index = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    MonotonicTime last_received_at{};
  };

  void note_change(const gateway::BackendId& engine);
  void send_changes();
  void requeue_long_streams();
  ProfileReport make_report();
  /// Returns the sender if the report is new and from another node, else null.
  const Peer* accept_report(const ProfileReport& report);
  void flush_relay_batch();

  Dependencies deps_;
  NodeId node_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  Transport transport_;
  std::set<gateway::BackendId> pending_changes_;
  gateway::BackendId last_reported_;  ///< The next report continues after it.
  /// Engines with long streams, and when they were last reported.
  std::map<gateway::BackendId, MonotonicTime> long_stream_engines_;
  std::map<NodeId, Peer> peers_by_node_;
  NodeIndex next_index_ = 0;
  RelayedProfileReports relay_batch_;
  std::size_t relay_batch_bytes_ = 0;
  Timer report_timer_;
  Timer relay_timer_;
  ProfileExchangeStatistics statistics_;
};

}  // namespace ochrespring::engine_profiles
