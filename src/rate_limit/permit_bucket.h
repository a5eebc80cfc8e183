// The permits for one rate-limited back end, as its coordinator grants them to nodes.
#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/send_gate.h"

namespace ochrespring::rate_limit {

/// Whether a node may send now and, if not, when to ask again.
struct PermitDecision {
  bool granted = false;
  Duration wait{};
};

/// A token bucket that starts empty and is filled at the rate of the limit. It holds the tokens of
/// one second plus one: the limit allows the requests of one second at once, and a limit below one
/// per second has to accumulate a whole token.
///
/// Denied nodes are assigned successive times to ask again, up to kMaxAssignedWait, so that waiting
/// nodes do not all ask when one token arrives. A request takes the last token only if no more
/// urgent one was denied recently. Performs no I/O and uses no timers; must be used from one event
/// loop.
class PermitBucket {
 public:
  /// `now` is the time at which the bucket starts.
  explicit PermitBucket(gateway::RequestRate limit, MonotonicTime now)
      : limit_(limit), refilled_at_(now) {}

  /// Changes the limit. Existing tokens are kept up to the new capacity.
  void set_limit(gateway::RequestRate limit, MonotonicTime now);
  /// Takes a token for one send of `node`, or assigns the time after which the node should ask
  /// again. A lower rank is more urgent.
  PermitDecision request_permit(const NodeId& node, gateway::SendRank rank, MonotonicTime now);

 private:
  /// A back end whose limit is zero still gets one request in five seconds: its answer shows
  /// whether the limit has ended.
  static constexpr double kMinPermitsPerSecond = 0.2;
  static constexpr Duration kBurstSpan{std::chrono::seconds(1)};
  /// How long a denied request reserves the last token against less urgent ones.
  static constexpr Duration kUrgentReservation{std::chrono::seconds(1)};
  /// Upper bound on an assigned wait, unless no token can arrive by then: nodes with earlier times
  /// may have stopped waiting, and their tokens would be left unused.
  static constexpr Duration kMaxAssignedWait{std::chrono::seconds(1)};
  /// Minimum wait, so that a node does not ask again before anything can have changed.
  static constexpr Duration kMinWait{std::chrono::milliseconds(10)};

  double per_second() const;
  double capacity() const { return 1 + per_second() * to_seconds(kBurstSpan); }
  void refill(MonotonicTime now);
  double tokens_needed(gateway::SendRank rank, MonotonicTime now) const;
  Duration assign_wait(const NodeId& node, double missing, MonotonicTime now);

  gateway::RequestRate limit_;
  double tokens_ = 0;
  MonotonicTime refilled_at_;
  std::map<gateway::SendRank, MonotonicTime> denied_at_;  ///< Last denial per rank.
  std::map<NodeId, MonotonicTime> next_request_at_;       ///< When each waiting node may ask again.
};

}  // namespace ochrespring::rate_limit
