// Back ends that have asked this node to back off.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::admission {

/// Tracks the backoff periods that back ends have asked this node for.
///
/// A back end gets no requests during its backoff period. Afterwards one request is allowed; each
/// good answer doubles the total number allowed, until the back end counts as recovered. So it does
/// not receive all waiting requests at once. Of two overlapping backoff periods the later end
/// applies.
///
/// Entries belong to an incarnation of a back end and outlive its registration: a back end that
/// registers again is still backing off, one that has restarted is not. An answer does not name the
/// incarnation, however, and may arrive before the incarnation registers. So an incarnation that
/// becomes known shortly after a backoff inherits it, because it may be the one that asked.
///
/// Performs no I/O. Not thread-safe.
class BackoffTable {
 public:
  /// Starts a backoff period of `span` at `now`; returns whether it ends later than the known one.
  bool note_backoff(const gateway::BackendId& backend, Duration span, MonotonicTime now);
  /// Returns whether the backoff state allows a request to be sent now.
  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const {
    return time_to_room(backend, now) == Duration::zero();
  }
  void note_send(const gateway::BackendId& backend, MonotonicTime now);
  /// Notes an answer that accepted a request sent at `sent`; returns whether the back end has now
  /// fully recovered.
  bool note_good_answer(const gateway::BackendId& backend, MonotonicTime sent);

  /// Called when an incarnation of a back end has become known; it may inherit a backoff, see
  /// above.
  void note_added(const gateway::BackendId& backend, MonotonicTime now);
  /// Returns whether the back end is in its backoff period.
  bool is_backing_off(const gateway::BackendId& backend, MonotonicTime now) const;
  /// Returns the time until has_room() may become true; zero if it is true now.
  Duration time_to_room(const gateway::BackendId& backend, MonotonicTime now) const;
  /// Visits all back ends without room at `now`.
  template <class Visit>
  void for_each_without_room(MonotonicTime now, const Visit& visit) const {
    for (const auto& [backend, entry] : entries_) {
      if (time_to_room(entry, now) > Duration::zero()) {
        visit(backend);
      }
    }
  }
  /// Returns the number of back ends in their backoff period.
  std::size_t active_count(MonotonicTime now) const;

 private:
  /// Window size at which a back end counts as recovered.
  static constexpr std::uint32_t kRecoveredWindow = 8;
  /// After this time without an answer, the back end gets another request.
  static constexpr Duration kProbeInterval{std::chrono::milliseconds(100)};
  /// Time after the end of the backoff period at which the window no longer applies.
  static constexpr Duration kRecoveryPeriod{std::chrono::seconds(2)};
  static constexpr std::size_t kMinPruneSize = 1024;
  /// A restarted back end registers within this time of its first answers.
  static constexpr Duration kRegistrationLag{std::chrono::seconds(3)};
  /// Limit of an inherited backoff; afterwards the new incarnation is sent a request, and can ask
  /// for its own backoff period.
  static constexpr Duration kMaxInheritedBackoff{std::chrono::seconds(10)};

  struct Entry {
    MonotonicTime until{};
    std::uint32_t window = 1;  ///< Total requests allowed since the backoff period.
    std::uint32_t sent = 0;
    MonotonicTime last_sent{};
  };

  static Duration time_to_room(const Entry& entry, MonotonicTime now);
  void prune(MonotonicTime now);

  /// The last backoff that was asked for under a back end's name.
  struct LastBackoff {
    MonotonicTime received_at{};
    MonotonicTime until{};
  };

  std::map<gateway::BackendId, Entry> entries_;
  /// By name; only for back ends whose incarnations are distinguished.
  std::map<std::string, LastBackoff> last_backoffs_;
  std::size_t prune_at_ = kMinPruneSize;  ///< Size at which expired entries are dropped.
};

}  // namespace ochrespring::admission
