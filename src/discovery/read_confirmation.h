// Requests that wait until something was read from the store as of a moment or later.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::discovery {

/// Confirms that this node knows everything that the store held at a moment. Only a read of the
/// store by this node that began at that moment or later shows that: news of other nodes may have
/// been under way for any time. Many waiters share one read, and reads keep a distance that grows
/// with the fleet, since all nodes may need them at the same time.
///
///     confirmation.await(request.arrived, [](bool confirmed) { ... });
///
/// Used on one event loop.
class ReadConfirmation {
 public:
  using Done = std::function<void(bool confirmed)>;

  /// Waiters beyond this number are turned away.
  static constexpr std::size_t kMaxWaiters = 1'024;
  /// Shortest distance between the beginnings of two reads for waiters, and its growth with the
  /// fleet, within the time for which requests wait.
  static constexpr Duration kMinReadDistance{std::chrono::milliseconds(20)};
  static constexpr Duration kReadDistancePerNode{std::chrono::microseconds(300)};

  /// For this long after a read has failed, requests are turned away at once.
  static constexpr Duration kRetryDelay{std::chrono::milliseconds(300)};

  struct Source {
    /// Begins a read of the store unless a call is running, whose end leads to note_read(),
    /// note_stale() or note_unconfirmed(). Returns whether it began.
    std::function<bool()> read;
    std::function<std::size_t()> node_count;
  };

  /// `timeout`: how long a waiter waits at most.
  ReadConfirmation(const Clock& clock, TimerService& timers, Duration timeout, Source source)
      : clock_(clock),
        timeout_(timeout),
        source_(std::move(source)),
        read_timer_(timers),
        timeout_timer_(timers) {}

  bool has_waiters() const { return !waiters_.empty(); }
  /// Calls `done`, possibly before it returns, with whether this node knows everything that the
  /// store held at `as_of`. It calls back with false at once while reads fail.
  void await(MonotonicTime as_of, Done done);
  /// A read that began at `begun` has ended.
  void note_read(MonotonicTime begun, bool succeeded);
  /// The store has answered, but the view could not be brought up to date. Further reads would not
  /// help either, so requests are turned away until a call of the usual schedule does.
  void note_stale();
  /// A call has ended that confirms nothing, for example since another node has answered.
  void note_unconfirmed();

 private:
  struct Waiter {
    MonotonicTime as_of{};
    MonotonicTime deadline{};
    Done done;
  };

  void schedule_read();
  void arm_timeout();
  void on_timeout();
  /// Calls back those for which `ended` holds.
  void complete(const std::function<bool(const Waiter&)>& ended, bool confirmed);

  const Clock& clock_;
  Duration timeout_;
  Source source_;
  Timer read_timer_;
  Timer timeout_timer_;
  std::optional<MonotonicTime> confirmed_at_;
  std::optional<MonotonicTime> last_read_;     ///< Begin of the latest read for waiters.
  std::optional<MonotonicTime> failed_until_;  ///< End of kRetryDelay after a failed read.
  bool stale_ = false;                         ///< The latest call ended by note_stale().
  bool slow_ = false;  ///< A waiter has timed out, and no read has ended since.
  std::vector<Waiter> waiters_;
};

}  // namespace ochrespring::discovery
