// Tells other nodes what this one has learned of engines, and takes what they tell.
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
  std::uint64_t reports_sent = 0;      ///< Datagrams for other nodes, relayed ones not counted.
  std::uint64_t reports_received = 0;  ///< News of other nodes that were new.
  std::uint64_t duplicates = 0;        ///< News that came again, or late.
  std::uint64_t changes_dropped = 0;   ///< Engines whose changes were too many to be told.
};

/// Once a second tells what has changed at up to as many engines as fit into one datagram, in turn.
/// As a relay it gathers the news of others and passes several on in one datagram.
///
/// Does no input or output itself; one loop.
class ProfileExchange {
 public:
  /// Encoded messages are no longer than this.
  static constexpr std::size_t kMaxMessageBytes = 1'200;

  /// References outlive it.
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
  /// As a relay: takes the news and passes it on to the zone.
  void receive_for_relay(const ProfileReport& report);
  /// Tells a node that has just started all that is known, by calls of `send`.
  void send_all(const std::function<void(const ProfileReport&)>& send);
  /// The engine has ended.
  void forget(const gateway::BackendId& engine);

  const ProfileExchangeStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  static constexpr Duration kReportPeriod = std::chrono::seconds(1);
  /// Long streams that go on are told again after this time; see LongStreams::kBelief.
  static constexpr Duration kLongStreamRepeatPeriod = std::chrono::milliseconds(1900);
  /// How long a relay gathers news.
  static constexpr Duration kRelayBatchDelay = std::chrono::milliseconds(200);
  /// Changes that wait to be told. One datagram holds some 25, and what has waited for a half-life
  /// of the samples is worth little.
  static constexpr std::size_t kMaxPendingChanges = 256;
  /// Nodes whose news are told apart, and after which silence one is forgotten.
  static constexpr std::size_t kMaxPeers = 4'096;
  static constexpr Duration kPeerTimeout = std::chrono::seconds(60);
  /// To one node that asks: about 1,600 engines, after which the others have the median.
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
  /// Whether the news is new and of another node.
  const Peer* accept_report(const ProfileReport& report);
  void flush_relay_batch();

  Dependencies deps_;
  NodeId node_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  Transport transport_;
  std::set<gateway::BackendId> pending_changes_;
  gateway::BackendId last_reported_;  ///< The next datagram goes on behind it.
  std::map<gateway::BackendId, MonotonicTime>
      long_stream_engines_;  ///< With long streams; when told last.
  std::map<NodeId, Peer> peers_by_node_;
  NodeIndex next_index_ = 0;
  RelayedProfileReports relay_batch_;
  std::size_t relay_batch_bytes_ = 0;
  Timer report_timer_;
  Timer relay_timer_;
  ProfileExchangeStatistics statistics_;
};

}  // namespace ochrespring::engine_profiles
