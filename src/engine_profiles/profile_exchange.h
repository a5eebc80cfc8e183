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
  std::uint64_t told = 0;      ///< Datagrams for other nodes, relayed ones not counted.
  std::uint64_t taken = 0;     ///< News of other nodes that were new.
  std::uint64_t repeated = 0;  ///< News that came again, or late.
  std::uint64_t dropped = 0;   ///< Engines whose changes were too many to be told.
};

/// Once a second tells what has changed at up to as many engines as fit into one datagram, in turn.
/// As a relay it gathers the news of others and passes several on in one datagram.
///
/// Does no input or output itself; one loop.
class ProfileExchange {
 public:
  /// Encoded messages are no longer than this.
  static constexpr std::size_t kMostBytes = 1'200;

  /// References outlive it.
  struct World {
    const Clock& clock;
    TimerService& timers;
    RandomSource& random;
    EngineProfileTable& table;
  };
  struct Peers {
    std::function<void(const ProfileNews&)> tell_all;          ///< To all other nodes.
    std::function<void(const RelayedProfileNews&)> tell_zone;  ///< As a relay.
  };

  ProfileExchange(World world, NodeId node, Peers peers);

  void start();
  void take(const ProfileNews& news);
  void take(const RelayedProfileNews& relayed);
  /// As a relay: takes the news and passes it on to the zone.
  void take_to_relay(const ProfileNews& news);
  /// Tells a node that has just started all that is known, by calls of `send`.
  void tell_all(const std::function<void(const ProfileNews&)>& send);
  /// The engine has ended.
  void forget(const gateway::BackendId& engine);

  const ProfileExchangeStatistics& statistics() const { return statistics_; }
  void add_metrics(metrics::SampleSink& sink) const;

 private:
  static constexpr Duration kPeriod = std::chrono::seconds(1);
  /// Long streams that go on are told again after this time; see LongStreams::kBelief.
  static constexpr Duration kRepeat = std::chrono::milliseconds(1900);
  /// How long a relay gathers news.
  static constexpr Duration kGather = std::chrono::milliseconds(200);
  /// Changes that wait to be told. One datagram holds some 25, and what has waited for a half-life
  /// of the samples is worth little.
  static constexpr std::size_t kMostChanges = 256;
  /// Nodes whose news are told apart, and after which silence one is forgotten.
  static constexpr std::size_t kMostPeers = 4'096;
  static constexpr Duration kPeerSilence = std::chrono::seconds(60);
  /// To one node that asks: about 1,600 engines, after which the others have the median.
  static constexpr std::size_t kMostAnswers = 64;

  struct Peer {
    NodeIndex index = 0;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    MonotonicTime heard_at{};
  };

  void note_change(const gateway::BackendId& engine);
  void tell_changes();
  void repeat_long_streams();
  ProfileNews make_news();
  /// Whether the news is new and of another node.
  const Peer* note_peer(const ProfileNews& news);
  void flush_relayed();

  World world_;
  NodeId node_;
  std::uint64_t life_;
  std::uint64_t sequence_ = 0;
  Peers peers_;
  std::set<gateway::BackendId> changed_;
  gateway::BackendId told_last_;                           ///< The next datagram goes on behind it.
  std::map<gateway::BackendId, MonotonicTime> streaming_;  ///< With long streams; when told last.
  std::map<NodeId, Peer> heard_;
  NodeIndex next_index_ = 0;
  RelayedProfileNews to_zone_;
  std::size_t to_zone_bytes_ = 0;
  Timer period_;
  Timer gather_;
  ProfileExchangeStatistics statistics_;
};

}  // namespace ochrespring::engine_profiles
