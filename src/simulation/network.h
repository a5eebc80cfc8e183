// The simulated network: delays, loss, duplication, reordering and partitions between hosts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/random.h"
#include "base/time.h"
#include "simulation/faults.h"
#include "simulation/virtual_time.h"

namespace ochrespring::simulation {

/// A host's name on the network: the endpoint it listens on.
using HostName = std::string;

/// Behaviour of every link that is not cut.
struct LinkQuality {
  Duration base_delay{std::chrono::microseconds(300)};  ///< One way.
  double jitter = 0.5;                                  ///< Fraction of the base delay.
  double loss = 0;                                      ///< Of datagrams.
  double duplication = 0;                               ///< Of datagrams.
  double spike = 0;                                     ///< Chance of a long delay.
  Duration longest_spike{std::chrono::seconds(4)};
};

/// Carries closures between hosts. Datagrams may be lost, repeated and reordered; streams keep
/// their order and stall while their link is cut.
class Network {
 public:
  Network(VirtualTime& time, RandomSource& random, FaultCounters& counters)
      : time_(time), random_(random), counters_(counters) {}

  /// Replaces the behaviour of all links.
  void set_quality(const LinkQuality& quality) { quality_ = quality; }
  const LinkQuality& quality() const { return quality_; }

  /// Cuts one direction of one link; cuts add up, each is undone by one unblock().
  void block(const HostName& from, const HostName& to) { ++blocked_[{from, to}]; }
  void unblock(const HostName& from, const HostName& to);
  void unblock_all() { blocked_.clear(); }
  bool blocked(const HostName& from, const HostName& to) const {
    return !blocked_.empty() && blocked_.contains({from, to});
  }

  /// Best effort: `deliver` runs zero, one or two times.
  void send_datagram(const HostName& from, const HostName& to, std::function<void()> deliver);
  /// Time until a segment sent now arrives; one draw per segment.
  Duration draw_delay();

  VirtualTime& time() { return time_; }
  RandomSource& random() { return random_; }
  FaultCounters& counters() { return counters_; }

 private:
  VirtualTime& time_;
  RandomSource& random_;
  FaultCounters& counters_;
  LinkQuality quality_;
  std::map<std::pair<HostName, HostName>, std::uint32_t> blocked_;  ///< Number of cuts.
};

/// One direction of a byte stream: segments arrive once and in order, late if the link is cut
/// meanwhile. Destroying it loses what is under way. Held by shared_ptr.
class StreamDirection : public std::enable_shared_from_this<StreamDirection> {
 public:
  StreamDirection(Network& network, HostName from, HostName to)
      : network_(network), from_(std::move(from)), to_(std::move(to)) {}

  /// Sends a segment; `deliver` runs at the receiver.
  void send(std::function<void()> deliver);
  /// Loses everything under way and to come.
  void close() { closed_ = true; }
  bool closed() const { return closed_; }

 private:
  void attempt(std::uint64_t sequence, std::function<void()> deliver);

  Network& network_;
  HostName from_;
  HostName to_;
  bool closed_ = false;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_delivery_ = 0;
  std::map<std::uint64_t, std::function<void()>> arrived_;  ///< Out of order.
};

}  // namespace ochrespring::simulation
