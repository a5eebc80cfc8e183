// Notices that no back end sends anything although requests wait for answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "base/timer.h"

namespace ochrespring::links {

/// Watches all exchanges of a node together: a single back end may be slow, but silence of all of
/// them suggests that the node's links are cut. Not thread-safe; used on one event loop.
class SilenceWatch {
 public:
  using ExchangeId = std::uint64_t;

  /// `on_silence` is called with the back end of one of the exchanges that wait, at growing
  /// intervals while the silence lasts.
  SilenceWatch(const Clock& clock, TimerService& timers, RandomSource& random,
               std::function<void(const Endpoint& backend)> on_silence)
      : clock_(clock), random_(random), on_silence_(std::move(on_silence)), timer_(timers) {}

  /// An exchange begins to wait for `backend`.
  ExchangeId begin(const Endpoint& backend);
  /// Bytes have arrived from any back end.
  void note_heard();
  void end(ExchangeId exchange) { waiting_.erase(exchange); }

 private:
  void schedule(Duration delay);
  void on_timer();

  const Clock& clock_;
  RandomSource& random_;
  std::function<void(const Endpoint&)> on_silence_;
  Timer timer_;
  struct Waiting {
    Endpoint backend;
    MonotonicTime since{};
  };
  std::map<ExchangeId, Waiting> waiting_;
  ExchangeId next_ = 1;
  MonotonicTime heard_at_{};
  Duration interval_{};  ///< Until the next call, zero if the last check found no silence.
};

}  // namespace ochrespring::links
