// The permits of one limited back end, as its coordinator gives them to nodes.
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

/// A token bucket that begins empty, is filled at the limit, and holds what comes in one second and
/// one request more: a second's requests are what the limit allows, and a limit below one a second
/// has to add up to a whole request.
///
/// A node that is denied is told a time of its own to ask again at, so that nodes that wait do not
/// all ask when one token has come. A request takes the last token only if no more urgent one was
/// denied of late. Pure; one loop.
class PermitBucket {
 public:
  /// `now`: when the bucket begins.
  explicit PermitBucket(gateway::RequestRate limit, MonotonicTime now)
      : limit_(limit), refilled_at_(now) {}

  /// The limit has changed; tokens that are there stay, up to what the bucket then holds.
  void set_limit(gateway::RequestRate limit, MonotonicTime now);
  PermitDecision request_permit(const NodeId& node, gateway::SendRank rank, MonotonicTime now);

 private:
  /// A back end that takes nothing gets one request in five seconds all the same: its answer tells
  /// whether the limit has ended.
  static constexpr double kMinPermitsPerSecond = 0.2;
  static constexpr Duration kBurstSpan{std::chrono::seconds(1)};
  /// How long a denied request keeps less urgent ones from the last token.
  static constexpr Duration kUrgentReservation{std::chrono::seconds(1)};
  /// A node that waits for its turn asks again after this long at the latest, unless no token can
  /// have come by then: others may have gone elsewhere.
  static constexpr Duration kMaxTurnWait{std::chrono::seconds(1)};
  /// Sooner than this nothing has changed.
  static constexpr Duration kMinWait{std::chrono::milliseconds(10)};

  double per_second() const;
  double capacity() const { return 1 + per_second() * to_seconds(kBurstSpan); }
  void refill(MonotonicTime now);
  double tokens_needed(gateway::SendRank rank, MonotonicTime now) const;
  Duration assign_wait(const NodeId& node, double missing, MonotonicTime now);

  gateway::RequestRate limit_;
  double tokens_ = 0;
  MonotonicTime refilled_at_;
  std::map<gateway::SendRank, MonotonicTime> denied_at_;  ///< Last denial of each rank.
  std::map<NodeId, MonotonicTime> turns_;                 ///< Of nodes that wait.
};

}  // namespace ochrespring::rate_limit
