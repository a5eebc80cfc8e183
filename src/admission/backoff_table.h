// Which back ends have asked this node to back off, and until when.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "gateway/types.h"

namespace ochrespring::admission {

/// A back end that has asked for a pause gets nothing until it is over. Then it gets one request,
/// and with each good answer to one of these twice as many, so that it is not given at once all
/// that waited for it. Of two pauses that overlap the later end counts.
///
/// Entries hang on the life of a back end and outlive its registration: one that is registered
/// again has still asked, one that has started again has not. But a life that comes to be known
/// soon after may be the one that asked: an answer does not tell its life, and may come before the
/// registration. Pure; one loop.
class BackoffTable {
 public:
  /// The back end asks for a pause of `span` from `now` on; returns whether it ends later than what
  /// was known.
  bool note_backoff(const gateway::BackendId& backend, Duration span, MonotonicTime now);
  /// Whether a request may be sent now, as far as pauses go.
  bool has_room(const gateway::BackendId& backend, MonotonicTime now) const {
    return time_to_room(backend, now) == Duration::zero();
  }
  void note_send(const gateway::BackendId& backend, MonotonicTime now);
  /// An answer that turned nothing away, to a request that was sent at `sent`; returns whether all
  /// that is left of the pause has ended with it.
  bool note_good_answer(const gateway::BackendId& backend, MonotonicTime sent);

  /// A life of a back end has come to be known: see above.
  void note_added(const gateway::BackendId& backend, MonotonicTime now);
  /// Whether the back end has asked for nothing, as yet.
  bool is_backing_off(const gateway::BackendId& backend, MonotonicTime now) const;
  /// What has_room() waits for; zero: nothing.
  Duration time_to_room(const gateway::BackendId& backend, MonotonicTime now) const;
  /// All that have no room now.
  template <class Visit>
  void for_each_without_room(MonotonicTime now, const Visit& visit) const {
    for (const auto& [backend, entry] : entries_) {
      if (time_to_room(entry, now) > Duration::zero()) {
        visit(backend);
      }
    }
  }
  std::size_t active_count(MonotonicTime now) const;

 private:
  /// Answered so often, a back end is believed to be well.
  static constexpr std::uint32_t kRecoveredWindow = 8;
  /// A request whose answer does not come does not keep the back end closed for longer.
  static constexpr Duration kProbeInterval{std::chrono::milliseconds(100)};
  /// The back end has had requests for so long since its pause, or nobody has asked for it.
  static constexpr Duration kRecoveryPeriod{std::chrono::seconds(2)};
  static constexpr std::size_t kMinPruneSize = 1024;
  /// A back end that has started again is registered within this time of its first answers.
  static constexpr Duration kRegistrationLag{std::chrono::seconds(3)};
  /// Of a pause that another life may have asked for: then that one is asked itself.
  static constexpr Duration kMaxInheritedBackoff{std::chrono::seconds(10)};

  struct Entry {
    MonotonicTime until{};
    std::uint32_t window = 1;  ///< Requests that may be sent in all since the pause.
    std::uint32_t sent = 0;
    MonotonicTime last_sent{};
  };

  static Duration time_to_room(const Entry& entry, MonotonicTime now);
  void prune(MonotonicTime now);

  /// The last pause that was asked for under a name.
  struct LastBackoff {
    MonotonicTime received_at{};
    MonotonicTime until{};
  };

  std::map<gateway::BackendId, Entry> entries_;
  std::map<std::string, LastBackoff> last_backoffs_;  ///< By name of back ends that have lives.
  std::size_t prune_at_ = kMinPruneSize;              ///< Size at which ended entries are dropped.
};

}  // namespace ochrespring::admission
